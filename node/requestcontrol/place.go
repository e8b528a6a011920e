package requestcontrol

import (
	"context"
	"fmt"
	"slices"
	"time"

	"doorstack.dev/core/admission"
	"doorstack.dev/core/decision"
	"doorstack.dev/core/engine"
	"doorstack.dev/core/fault"
	"doorstack.dev/core/routing"
	"doorstack.dev/core/settings"
	"doorstack.dev/node/blackboard"
	"github.com/go-faster/errors"
)

// place waits until the request has a target and returns the placement. A quarantined request
// is refused, also if it was quarantined while it waited.
func (d *Director) place(ctx context.Context, r *Request, attempt string, retry bool, exclude []string) (blackboard.Placement, error) {
	if homes := r.Route.Rules.Homes; homes != nil && len(homes) == 0 {
		return blackboard.Placement{}, fault.New(fault.NoTarget, "the homes of the route and of the account have no region in common",
			"give the account or the route a home that the other has")
	}
	trial, err := d.checkQuarantine(ctx, r)
	if err != nil {
		return blackboard.Placement{}, err
	}
	for {
		if backoff, all := d.Board.Targets.BackoffLeft(r.Route.Pool.Name, exclude, r.Route.Rules.Homes, time.Now()); all {
			return blackboard.Placement{}, d.refuseInBackoff(r, backoff)
		}
		placement, err := d.awaitPlacement(ctx, r, attempt, retry, exclude)
		if err != nil {
			return placement, err
		}
		if err := d.recheckQuarantine(ctx, r, trial); err != nil {
			d.releasePlacement(r, &placement)
			return blackboard.Placement{}, err
		}
		if d.targetsAccept(r, &placement) {
			return placement, nil
		}
		d.releasePlacement(r, &placement) // A target began to drain or asked for backoff meanwhile; the next placement excludes it.
	}
}

// recheckQuarantine repeats the quarantine check after the request waited for its placement.
// An admitted trial is not checked again.
func (d *Director) recheckQuarantine(ctx context.Context, r *Request, trial bool) error {
	if trial {
		return nil
	}
	_, err := d.checkQuarantine(ctx, r)
	return err
}

// refuseInBackoff returns the error for a call that is refused because all targets have asked
// this daemon to back off, and records it.
func (d *Director) refuseInBackoff(r *Request, backoff time.Duration) error {
	refusal := fault.New(fault.NoTarget, "all targets of pool "+r.Route.Pool.Name+" have asked this host to back off",
		"retry after the time in Retry-After").WithRetry(backoff)
	d.record(r, decision.Record{Kind: decision.KindRoute, Outcome: decision.OutcomeRefused, Reason: refusal.Error()})
	return refusal
}

// targetsAccept reports whether all targets of a placement accept calls at present.
func (d *Director) targetsAccept(r *Request, p *blackboard.Placement) bool {
	chosen := append([]string{p.Decision.Chosen}, p.Decision.Helpers...)
	unwilling := d.Board.Targets.NotAccepting(r.Route.Pool.Name, time.Now())
	return !slices.ContainsFunc(chosen, func(id string) bool {
		return slices.Contains(unwilling, id) || d.Board.Targets.Evacuated(id)
	})
}

// awaitPlacement obtains a placement from the pool's coordinator, or else from this daemon's
// own queue.
func (d *Director) awaitPlacement(ctx context.Context, r *Request, attempt string, retry bool, exclude []string) (blackboard.Placement, error) {
	ticket := d.newTicket(r, attempt, retry, exclude)
	if d.Placer != nil {
		if placement, ok := d.Placer.Place(ctx, ticket); ok {
			return placement, d.checkPlacement(r, ticket, &placement)
		}
		if ctx.Err() != nil {
			return blackboard.Placement{}, waitError(ctx, r)
		}
		ticket.Request.Uncoordinated = !d.Placer.Coordinates(r.Route.Pool.Name)
		ticket.Request.DaemonCount = d.Board.Members.FleetSize()
	}
	d.Board.Queues.Push(ticket)
	var placement blackboard.Placement
	select {
	case placement = <-ticket.Placed():
	case <-ctx.Done():
		if d.Board.Queues.Remove(ticket) {
			d.recordWait(r, ticket)
			return placement, waitError(ctx, r)
		}
		placement = <-ticket.Placed() // The ticket was just placed, so the call counted at its target is ended.
		d.Board.Targets.Finish(attempt, blackboard.CallCancelled, time.Now())
		d.Board.Queues.Wake(r.Route.Pool.Name)
		return placement, waitError(ctx, r)
	}
	return placement, d.checkPlacement(r, ticket, &placement)
}

// checkPlacement records a placement and returns an error if it has no target.
func (d *Director) checkPlacement(r *Request, ticket *blackboard.Ticket, placement *blackboard.Placement) error {
	d.recordPlacement(r, ticket, *placement)
	if placement.Decision.Verdict == routing.Refuse {
		long := r.promptTokens >= r.Route.Pool.Policy.LongPromptTokens
		retry := admission.RefusalRetryAfter(engine.Duration(placement.Decision.RetryAfter), long, time.Until(r.Deadline))
		return fault.New(fault.DeadlineTooShort, "the targets are too busy to answer within the route's goal", "retry after the time in Retry-After").
			WithRetry(retry)
	}
	if placement.Decision.Blocked() {
		return blockedError(r, &placement.Decision)
	}
	if placement.Decision.Verdict == routing.None {
		return fault.New(fault.NoTarget,
			fmt.Sprintf("none of the %d targets of pool %s can serve the request", placement.Decision.Considered, r.Route.Pool.Name),
			"see \"doorstack explain\" for what each target lacks; retry later").WithRetry(time.Second)
	}
	return nil
}

// blockedError returns the error for a request that only the operators can help.
func blockedError(r *Request, decision *routing.Decision) error {
	pool, homes := r.Route.Pool.Name, r.Route.Rules.Homes
	if decision.Rejections.Evacuated == 0 {
		return fault.New(fault.NoTarget, "pool "+pool+" has no working target in the homes of the route and the account ("+homes.String()+")",
			"retry later; the operators can add targets there, or homes").WithRetry(time.Second)
	}
	return fault.New(fault.NoTarget, "all working targets of pool "+pool+" that may run the request are in evacuated data centres (homes: "+homes.String()+")",
		"retry later; the operators can end an evacuation").WithRetry(time.Second)
}

func (d *Director) newTicket(r *Request, attempt string, retry bool, exclude []string) *blackboard.Ticket {
	pool := r.Route.Pool
	unwilling := d.Board.Targets.NotAccepting(pool.Name, time.Now())
	capacity := d.Board.Targets.Capacity(pool.Name, time.Now())
	params := RoutingParams(pool, capacity, d.Board.Members.DaemonCount())
	return &blackboard.Ticket{
		Pool:     pool,
		Attempt:  attempt,
		Deadline: r.Deadline,
		Params:   params,
		Holders:  d.Board.Prefixes.Lookup(r.prefixes),
		Request: routing.Request{
			ID:            r.ID,
			PromptTokens:  r.promptTokens,
			OutputTokens:  r.MaxTokens,
			DataCentre:    d.Board.Self.DataCentre,
			Homes:         r.Route.Rules.Homes,
			Exclude:       slices.Concat(exclude, unwilling),
			Seed:          attemptSeed(d.Board.Self.Name, attempt),
			Goal:          r.firstEventGoal().Seconds(),
			GapGoal:       r.gapGoal().Seconds(),
			Retry:         retry,
			AnswerStarted: r.answerStarted,
		},
		Item: &admission.Item{
			ID:             r.ID,
			Account:        r.Account.Path,
			Level:          r.Route.Rules.Level,
			Tokens:         max(1, r.promptTokens),
			Cost:           admission.Cost(pool.Timing, capacity.Size(), r.promptTokens, r.MaxTokens),
			Long:           params.IsLong(r.promptTokens),
			Retry:          retry,
			Arrived:        r.Arrived,
			PrefillSeconds: PrefillSeconds(&params, r.promptTokens),
			LatestStart:    LatestStart(&params, r.promptTokens, r.Arrived, r.firstEventGoal().Seconds(), retry),
		},
	}
}

// RoutingParams returns the routing parameters of a pool that daemonCount daemons
// share. Long prompts may occupy LongShare of the targets or, if that is more, all
// but ShortRoom times the number of targets that short prompts need on average.
func RoutingParams(pool *settings.ResolvedPool, c blackboard.Capacity, daemonCount int) routing.Params {
	policy := &pool.Policy
	live := float64(c.LiveTargets)
	needed := 0.0
	if c.PrefillRate > 0 {
		needed = live * c.ShortPromptRate * float64(daemonCount) / c.PrefillRate
	}
	return routing.Params{
		LongPromptTokens: policy.LongPromptTokens,
		LongPerTarget:    policy.LongPerTarget,
		LongTargets:      int(max(1, policy.LongShare*live, live-policy.ShortRoom*needed)),
		MemoryHeadroom:   policy.MemoryHeadroom,
		PrefixWeight:     policy.PrefixWeight,
		RemotePenalty:    time.Duration(policy.RemotePenalty).Seconds(),
		MaxBacklog:       time.Duration(policy.MaxBacklog).Seconds(),
		Timing:           pool.Timing,
	}
}

// PrefillSeconds returns the prefill time of a prompt in seconds, or zero if the
// engines' timing is unknown.
func PrefillSeconds(p *routing.Params, promptTokens int64) float64 {
	if p.Timing == nil || promptTokens <= 0 {
		return 0
	}
	return p.Timing.PrefillTime(promptTokens)
}

// LatestStart returns the latest time at which a prompt can be placed and still meet a goal,
// given in seconds, for its first event. It is zero, which means no limit, if the engines' timing
// is unknown, if there is no goal, and for a retry, which is not refused for being late.
func LatestStart(p *routing.Params, promptTokens int64, arrived time.Time, goal float64, retry bool) time.Time {
	if p.Timing == nil || promptTokens <= 0 || goal <= 0 || retry {
		return time.Time{}
	}
	return arrived.Add(engine.Duration(routing.LongestWait(p, promptTokens, goal)))
}

// waitError returns the error for a request whose context ended while it waited for a target.
func waitError(ctx context.Context, r *Request) *fault.Error {
	if endedByShutdown(ctx) {
		return ShutdownError()
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.New(fault.DeadlinePassed,
			fmt.Sprintf("no target had room for the request within %v", r.Deadline.Sub(r.Arrived).Round(time.Millisecond)),
			"retry later, or allow more time").WithRetry(0)
	}
	return fault.New(fault.Abandoned, "the caller disconnected while the request waited", "nothing to do")
}
