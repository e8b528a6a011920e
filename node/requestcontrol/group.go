package requestcontrol

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"doorstack.dev/core/decision"
	"doorstack.dev/core/fault"
	"doorstack.dev/core/group"
	"doorstack.dev/core/routing"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/target"
	"github.com/go-faster/errors"
)

// groupRun runs a prompt that does not fit into one engine's memory on several engines.
// Memory for every part is reserved first, all or nothing. The parts are prefilled
// in turn, each engine importing the KV cache of the preceding parts, and the last
// engine answers. However the run ends, all its reservations are released. Forwarded
// calls do not use it: for them, see heldReservations.
type groupRun struct {
	director *Director
	request  *Request
	attempt  string
	parts    []groupPart
}

// groupPart is one engine's part of the prompt.
type groupPart struct {
	group.Part
	reservation string
	address     string
	text        string
	gone        <-chan struct{} // closed when the target is considered gone
}

// errNoRoom means that the engines currently lack memory for all parts of the prompt.
var errNoRoom = errors.New("the engines have no room for all parts of the prompt")

// The backoff between attempts to reserve a group. It grows and is randomized, so
// that two long prompts do not keep taking memory from each other.
const (
	groupBackoffInitial = 100 * time.Millisecond
	groupBackoffMax     = 2 * time.Second
)

// reserveTimeout bounds the reservation of a part, which engines answer immediately.
const reserveTimeout = 3 * time.Second

// releaseTimeout bounds the release of a part. Parts that are not released in time are released
// by package cluster, which looks for reservations whose request has ended or whose owner is gone.
const releaseTimeout = 3 * time.Second

// generateInGroup runs one attempt of a generation on a group of engines.
func (d *Director) generateInGroup(ctx context.Context, g *generation, attempt string) error {
	run := &groupRun{director: d, request: g.request, attempt: attempt}
	defer run.release(ctx)
	if err := run.reserveWithBackoff(ctx); err != nil {
		return err
	}
	for i := range run.parts {
		var cancel context.CancelFunc
		ctx, cancel = cancelWhenGone(ctx, run.parts[i].gone)
		defer cancel()
	}
	if err := run.prefill(ctx); err != nil {
		return err
	}
	return run.generate(ctx, g)
}

// reserveWithBackoff reserves the memory of a group, retrying until it succeeds, the deadline
// passes or the prompt turns out to be too large for the pool.
func (run *groupRun) reserveWithBackoff(ctx context.Context) error {
	backoff := group.Backoff{Initial: groupBackoffInitial, Max: groupBackoffMax, Seed: attemptSeed(run.director.Board.Self.Name, run.attempt)}
	for attempts := 1; ; attempts++ {
		err := run.reserve(ctx)
		if err == nil {
			kv := run.request.promptTokens * run.request.Route.Pool.Kind.BytesPerToken
			run.record("reserved", fmt.Sprintf("%d parts after %d attempts, %d MB of KV cache in total", len(run.parts), attempts, kv>>20))
			return nil
		}
		run.release(ctx)
		if attempts == 1 {
			run.record("waiting", err.Error())
		}
		if errors.Is(err, group.ErrTooLarge) {
			return fault.New(fault.TooLarge, err.Error(), "shorten the prompt, or add engines to the pool")
		}
		timer := time.NewTimer(backoff.Next())
		select {
		case <-ctx.Done():
			timer.Stop()
			return waitError(ctx, run.request)
		case <-timer.C:
		}
	}
}

// reserve plans a group from the memory reported free and reserves its parts in the
// order of the engines' names, so that two groups cannot deadlock. If an engine does not
// reserve its part, it returns errNoRoom and the caller must release the parts reserved so far.
func (run *groupRun) reserve(ctx context.Context) error {
	d, r := run.director, run.request
	pool := r.Route.Pool
	views := d.Board.Targets.Views(pool.Name, time.Now())
	if homes := r.Route.Rules.Homes; homes != nil {
		views = slices.DeleteFunc(views, func(t routing.Target) bool { return !slices.Contains(homes, t.Region) })
	}
	plan, err := group.NewPlan(views, r.promptTokens, r.MaxTokens, pool.Policy.MemoryHeadroom, d.Board.Self.DataCentre)
	if err != nil {
		return err
	}
	run.split(plan)
	order := make([]*groupPart, 0, len(run.parts))
	for i := range run.parts {
		order = append(order, &run.parts[i])
	}
	slices.SortFunc(order, func(a, b *groupPart) int { return compareNames(a.Target, b.Target) })
	for _, p := range order {
		if err := run.reservePart(ctx, p); err != nil {
			return errors.Wrap(errNoRoom, p.Target+": "+err.Error())
		}
	}
	return nil
}

// compareNames orders the engines of a group, whose names differ.
func compareNames(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

// split cuts the prompt's text into the planned parts.
func (run *groupRun) split(plan []group.Part) {
	run.parts = run.parts[:0]
	texts := group.Split(run.request.Prompt, plan, target.BytesPerToken)
	for i, p := range plan {
		run.parts = append(run.parts, groupPart{
			Part:        p,
			reservation: fmt.Sprintf("%s/%d", run.attempt, i),
			address:     run.director.Board.Targets.Address(p.Target),
			text:        texts[i],
		})
	}
}

func (run *groupRun) reservePart(ctx context.Context, p *groupPart) error {
	d := run.director
	load := routing.Load{Requests: 1, MemoryTokens: p.MemoryTokens, BacklogTokens: p.PromptTokens, LongPrefills: 1}
	p.gone = d.Board.Targets.BeginPart(p.Target, p.reservation, load, time.Now())
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	err := d.Targets.Reserve(ctx, p.address, target.Reservation{
		ID:          p.reservation,
		Request:     run.request.ID,
		Owner:       d.Board.Self.Name,
		Incarnation: d.Board.Self.Incarnation,
		Tokens:      p.MemoryTokens,
		ExpiresAt:   run.request.Deadline,
	})
	return err
}

// prefill runs the prefill of all parts but the last, in order.
func (run *groupRun) prefill(ctx context.Context) error {
	last := len(run.parts) - 1
	for i := range run.parts[:last] {
		p := &run.parts[i]
		err := run.director.Targets.Prefill(ctx, p.address, &target.PrefillRequest{
			Reservation: p.reservation,
			Prompt:      p.text,
			Level:       run.request.Route.Rules.Level,
			Context:     run.precedingParts(i),
		})
		if err != nil {
			return errors.Wrap(err, fmt.Sprintf("prefill of part %d of %d at %s", i+1, len(run.parts), p.Target))
		}
		run.director.Board.Targets.RecordPrefillDone(p.reservation, time.Now())
		run.record("read", fmt.Sprintf("part %d of %d at %s, %d tokens", i+1, len(run.parts), p.Target, p.PromptTokens))
	}
	return nil
}

// precedingParts refers to the KV cache of the parts before part i.
func (run *groupRun) precedingParts(i int) []target.KVRef {
	refs := make([]target.KVRef, 0, i)
	for k := range run.parts[:i] {
		p := &run.parts[k]
		refs = append(refs, target.KVRef{Address: p.address, Reservation: p.reservation, Tokens: p.PromptTokens})
	}
	return refs
}

// generate prefills the last part at its engine and streams the answer from there.
func (run *groupRun) generate(ctx context.Context, g *generation) error {
	last := len(run.parts) - 1
	p := &run.parts[last]
	return g.streamAnswer(ctx, p.Target, p.address, &target.GenerateRequest{
		Attempt:      run.attempt,
		Model:        run.request.Route.Pool.Model,
		Prompt:       p.text,
		MaxTokens:    run.request.MaxTokens,
		Level:        run.request.Route.Rules.Level,
		FirstIndex:   g.nextIndex,
		Continuation: g.delivered.String(),
		Reservation:  p.reservation,
		Context:      run.precedingParts(last),
	})
}

// release releases every part, also after the caller has disconnected or the deadline
// has passed. The engines are called concurrently, so that one that does not answer
// does not delay the others. Releasing twice is harmless.
func (run *groupRun) release(ctx context.Context) {
	d := run.director
	var wg sync.WaitGroup
	for i := range run.parts {
		p := &run.parts[i]
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
			defer cancel()
			_ = d.Targets.Release(ctx, p.address, p.reservation)
			d.Board.Targets.Finish(p.reservation, blackboard.CallCancelled, time.Now())
		})
	}
	wg.Wait()
	run.parts = run.parts[:0]
	d.Board.Queues.Wake(run.request.Route.Pool.Name)
}

func (run *groupRun) record(outcome, reason string) {
	run.director.record(run.request, decision.Record{Kind: decision.KindGroup, Outcome: outcome, Attempt: run.attempt, Reason: reason})
}
