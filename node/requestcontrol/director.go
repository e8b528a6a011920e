package requestcontrol

import (
	"context"
	"fmt"
	"hash/fnv"
	"time"

	"doorstack.dev/core/admission"
	"doorstack.dev/core/decision"
	"doorstack.dev/core/fault"
	"doorstack.dev/core/routing"
	"doorstack.dev/core/settings"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/target"
	"doorstack.dev/node/telemetry"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
)

// Claimer makes sure that a call with an idempotency key runs at most once in
// the whole fleet.
type Claimer interface {
	// Claim returns nil when this daemon, and no other, may send the call until
	// the permit ends. An earlier call's answer comes back as a Duplicate.
	Claim(ctx context.Context, c Claim) (*Permit, error)
	// Conclude tells how a claimed call ended, for duplicates to come.
	Conclude(c Claim, o blackboard.Outcome)
}

// Claim asks for the right to send a call.
type Claim struct {
	// Key is scoped to the account and the route.
	Key string
	// Stamp is the key as the caller wrote it; a UUIDv7 carries its time.
	Stamp   string
	Attempt string
	Request string
	// Region is the region of the call's targets.
	Region   string
	Deadline time.Time
}

// Permit is the right to send a call once, before it ends.
type Permit struct {
	// Ends is on the monotonic clock; it is checked last thing before the send.
	Ends time.Time
	// Attempt is the claim that won, which may be a later one than asked for.
	Attempt string
	// Tally is how the witnesses answered.
	Tally decision.ClaimTally
}

// Duplicate is the error for a key that an earlier call used; it carries that
// call's outcome.
type Duplicate struct {
	Outcome blackboard.Outcome
}

// Error implements error.
func (d *Duplicate) Error() string {
	return "an earlier call used this idempotency key: " + string(d.Outcome.Execution)
}

// ShareSeeker asks for a larger share of an account's limits.
type ShareSeeker interface {
	// Seek tells whether it asked, so that another look makes sense.
	Seek(ctx context.Context, account string, rules *settings.Rules, promptTokens int64) bool
}

// Placer asks the daemon that coordinates a pool, which knows of all daemons' calls.
type Placer interface {
	// Place returns the coordinator's placement, or false where this daemon decides.
	Place(ctx context.Context, t *blackboard.Ticket) (blackboard.Placement, bool)
	// Coordinates tells whether this daemon places a pool's calls for all.
	Coordinates(pool string) bool
	// PromptRead and Finished tell the coordinator of a call's progress; Finished also
	// of a target that nothing should be sent to for some time.
	PromptRead(attempt string)
	Finished(attempt string, result blackboard.CallResult, suspect string, suspectFor time.Duration)
}

// Director runs requests.
type Director struct {
	Board   *blackboard.Blackboard
	Targets *target.Client
	// Exchange sends forwarded calls; nil where none are taken.
	Exchange *target.Exchanger
	Record   *telemetry.Recorder
	// Placer is nil where each daemon decides by itself.
	Placer   Placer
	Claims   Claimer
	Shares   ShareSeeker
	Retrying RetryPolicy
}

// RetryPolicy bounds the attempts of one request.
type RetryPolicy struct {
	// MaxAttempts includes the first.
	MaxAttempts int
}

// DefaultRetryPolicy gives a request four attempts.
func DefaultRetryPolicy() RetryPolicy { return RetryPolicy{MaxAttempts: 4} }

// admit takes the request into its account's limits and refuses it early where
// its deadline cannot be met. Every admitted request needs one call of done.
func (d *Director) admit(ctx context.Context, r *Request) (done func(), err error) {
	r.prepare()
	if err := checkLength(r); err != nil {
		return nil, err
	}
	rules := &r.Route.Rules
	verdict := d.Board.Accounts.Admit(r.Account.Path, rules, r.promptTokens, r.Arrived)
	if verdict.Limit != admission.LimitNone && d.Shares.Seek(ctx, r.Account.Path, rules, r.promptTokens) {
		verdict = d.Board.Accounts.Admit(r.Account.Path, rules, r.promptTokens, time.Now())
	}
	if verdict.Limit != admission.LimitNone {
		err := limitError(verdict)
		d.record(r, decision.Record{Kind: decision.KindLimit, Outcome: decision.OutcomeRefused, Reason: err.Message, Limit: &verdict})
		return nil, err
	}
	done = func() { d.Board.Accounts.Done(r.Account.Path) }
	if err := d.checkEstimate(r); err != nil {
		done()
		return nil, err
	}
	return done, nil
}

func checkLength(r *Request) error {
	rules := &r.Route.Rules
	if r.promptTokens > rules.MaxPromptTokens {
		return fault.New(fault.TooLarge,
			fmt.Sprintf("the prompt has about %d tokens and the account allows %d", r.promptTokens, rules.MaxPromptTokens),
			"shorten the prompt, or have max_prompt_tokens raised in the settings")
	}
	if r.MaxTokens > rules.MaxOutputTokens {
		return fault.New(fault.BadRequest,
			fmt.Sprintf("max_tokens is %d and the account allows %d", r.MaxTokens, rules.MaxOutputTokens),
			"ask for fewer tokens, or have max_output_tokens raised in the settings")
	}
	return nil
}

func limitError(v admission.Verdict) *fault.Error {
	message := fmt.Sprintf("the account's limit %s is reached at this daemon", v.Limit)
	if v.Limit == admission.LimitConcurrent {
		message = fmt.Sprintf("%d requests of the account run here and its share is %d", v.Running, v.Allowed)
	}
	return fault.New(fault.RateLimited, message, "send again after the time in Retry-After, or have the limit raised").
		WithRetry(v.RetryAfter)
}

// checkEstimate refuses a request whose deadline passes before its first token
// can be expected, or whose account already fills its part of the queue.
func (d *Director) checkEstimate(r *Request) error {
	pool := r.Route.Pool
	waiting, ahead := d.Board.Queues.Waiting(pool.Name, r.Account.Path, r.Route.Rules.Level)
	if waiting >= r.Route.Rules.MaxWaiting {
		return fault.New(fault.QueueFull,
			fmt.Sprintf("%d requests of the account wait here already", waiting),
			"send again later, or have max_waiting raised").WithRetry(time.Second)
	}
	capacity := d.Board.Targets.Capacity(pool.Name, time.Now())
	rate := capacity.Rate / float64(max(1, d.Board.Members.Sharers()))
	estimate := admission.NewEstimate(ahead, r.promptTokens, rate, capacity.TargetRate, r.Deadline.Sub(r.Arrived))
	rec := decision.Record{Kind: decision.KindAdmit, Outcome: decision.OutcomeAdmitted, Estimate: &estimate}
	if !estimate.Late() {
		d.record(r, rec)
		return nil
	}
	rec.Outcome = decision.OutcomeRefused
	rec.Reason = fmt.Sprintf("the first token is expected after %v and the deadline is in %v", (estimate.Wait + estimate.Prefill).Round(time.Millisecond), estimate.Left.Round(time.Millisecond))
	d.record(r, rec)
	return fault.New(fault.DeadlineTooShort, rec.Reason, "send again later, or allow more time").
		WithRetry(estimate.RetryAfter())
}

// place waits in the queue until the request has a target.
func (d *Director) place(ctx context.Context, r *Request, attempt string, retry bool, exclude []string) (blackboard.Placement, error) {
	ticket := d.ticket(r, attempt, retry, exclude)
	if d.Placer != nil {
		if placement, ok := d.Placer.Place(ctx, ticket); ok {
			return placement, d.judgePlacement(r, ticket, &placement)
		}
		if ctx.Err() != nil {
			return blackboard.Placement{}, waitError(ctx, r)
		}
		ticket.Request.Blind = !d.Placer.Coordinates(r.Route.Pool.Name)
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
		placement = <-ticket.Placed()
		d.Board.Targets.Finish(attempt, blackboard.CallCancelled, time.Now())
		return placement, waitError(ctx, r)
	}
	return placement, d.judgePlacement(r, ticket, &placement)
}

// When a prompt that found no room should come back: a short one after about the time
// that an answer is written, a long one when a swing of the traffic may be over, and
// neither later than callers bear, who wait a third of their time at most.
const (
	busyRetryShort = 2 * time.Second
	busyRetryLong  = 4 * time.Second
	busyRetryShare = 0.3
)

func retryWhenBusy(r *Request) time.Duration {
	after := busyRetryShort
	if r.promptTokens >= r.Route.Pool.Policy.LongPromptTokens {
		after = busyRetryLong
	}
	return min(after, time.Duration(busyRetryShare*float64(time.Until(r.Deadline))))
}

// judgePlacement records a placement and tells whether it leads to a target.
func (d *Director) judgePlacement(r *Request, ticket *blackboard.Ticket, placement *blackboard.Placement) error {
	d.recordRoute(r, ticket, *placement)
	if placement.Decision.Verdict == routing.Refuse {
		return fault.New(fault.DeadlineTooShort, "the targets are too busy to answer in the time that the route asks for", "send again after the time in Retry-After").
			WithRetry(retryWhenBusy(r))
	}
	if placement.Decision.Verdict == routing.None {
		return fault.New(fault.NoTarget,
			fmt.Sprintf("none of the %d targets of pool %s can serve the request", placement.Decision.Considered, r.Route.Pool.Name),
			"see \"doorstack explain\" for what each target lacks; send again later").WithRetry(time.Second)
	}
	return nil
}

func (d *Director) ticket(r *Request, attempt string, retry bool, exclude []string) *blackboard.Ticket {
	pool := r.Route.Pool
	capacity := d.Board.Targets.Capacity(pool.Name, time.Now())
	params := ParamsOf(pool, capacity, d.Board.Members.Sharers())
	return &blackboard.Ticket{
		Pool:     pool,
		Attempt:  attempt,
		Deadline: r.Deadline,
		Params:   params,
		Holders:  d.Board.Prefixes.Lookup(r.prefixes),
		Request: routing.Request{
			ID:           r.ID,
			PromptTokens: r.promptTokens,
			OutputTokens: r.MaxTokens,
			DataCentre:   d.Board.Self.DataCentre,
			Exclude:      exclude,
			Seed:         seedOf(d.Board.Self.Name, attempt),
			Goal:         r.goal().Seconds(),
			GapGoal:      r.gapGoal().Seconds(),
		},
		Item: &admission.Item{
			ID:      r.ID,
			Account: r.Account.Path,
			Level:   r.Route.Rules.Level,
			Tokens:  max(1, r.promptTokens),
			Long:    params.IsLong(r.promptTokens),
			Retry:   retry,
			Arrived: r.Arrived,
			Work:    ReadingWork(&params, r.promptTokens),
		},
	}
}

// ParamsOf turns a pool's policy into routing parameters, when so many daemons
// share the pool. Long prompts may take LongShare of the targets, or more while
// short ones need less than what is left.
func ParamsOf(pool *settings.ResolvedPool, c blackboard.Capacity, sharers int) routing.Params {
	policy := &pool.Policy
	live := float64(c.Live)
	needed := 0.0
	if c.Rate > 0 {
		needed = live * c.ShortRate * float64(sharers) / c.Rate
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

// ReadingWork is the reading time of a prompt, in seconds, or zero where engines'
// timing is not known.
func ReadingWork(p *routing.Params, promptTokens int64) float64 {
	if p.Timing == nil || promptTokens <= 0 {
		return 0
	}
	return p.Timing.Read(promptTokens)
}

// seedOf makes daemons that see the same reports pick differently.
func seedOf(daemon, attempt string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(daemon))
	_, _ = h.Write([]byte(attempt))
	return h.Sum64()
}

func waitError(ctx context.Context, r *Request) *fault.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.New(fault.DeadlinePassed,
			fmt.Sprintf("no target had room for the request within %v", r.Deadline.Sub(r.Arrived).Round(time.Millisecond)),
			"send again later, or allow more time").WithRetry(0)
	}
	return fault.New(fault.Abandoned, "the caller went away while the request waited", "nothing to do")
}

// NewAttempt names a call to a target. A UUIDv7 sorts by time in engines' logs.
func NewAttempt() string { return uuid.Must(uuid.NewV7()).String() }

// mayRetry decides whether a failed attempt is followed by another one.
func (d *Director) mayRetry(ctx context.Context, r *Request, attempts int, err error) bool {
	if ctx.Err() != nil || attempts >= d.Retrying.MaxAttempts {
		return false
	}
	if !r.Route.Repeatable && target.ExecutionOf(err) != fault.NotRun {
		return false
	}
	if target.ExecutionOf(err) != fault.NotRun && !d.Board.Accounts.Retry(r.Account.Path) {
		return false // A call that did not run costs targets nothing and is free.
	}
	d.Record.Metrics.Retries.WithLabelValues(r.Route.Pool.Name).Inc()
	return true
}

// callError is the caller's view of a call that failed for good.
func (d *Director) callError(ctx context.Context, r *Request, err error) *fault.Error {
	var typed *fault.Error
	if errors.As(err, &typed) {
		return typed
	}
	execution := target.ExecutionOf(err)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.New(fault.DeadlinePassed,
			fmt.Sprintf("the answer was not whole within %v", r.Deadline.Sub(r.Arrived).Round(time.Millisecond)),
			"allow more time, or shorten the prompt").WithExecution(execution)
	}
	if ctx.Err() != nil {
		return fault.New(fault.Abandoned, "the caller went away", "nothing to do").WithExecution(execution)
	}
	failure := fault.New(fault.TargetFailed, err.Error(), "see \"doorstack explain\" with the request id").WithExecution(execution)
	if r.Route.Repeatable || execution == fault.NotRun {
		return failure.WithRetry(0)
	}
	return failure
}

// record fills in what all records of a request share.
func (d *Director) record(r *Request, rec decision.Record) {
	rec.Request = r.ID
	rec.Account = r.Account.Path
	rec.Route = r.Route.Name
	rec.Pool = r.Route.Pool.Name
	rec.Revision = r.Revision
	d.Record.Record(rec)
}

func (d *Director) recordRoute(r *Request, ticket *blackboard.Ticket, p blackboard.Placement) {
	if ticket.Waited() != nil {
		d.recordWait(r, ticket)
	}
	d.record(r, decision.Record{
		Kind: decision.KindRoute, At: p.At, Outcome: string(p.Decision.Verdict), Target: p.Decision.Chosen,
		Attempt: p.Attempt, Routing: &p.Decision,
		Reason: fmt.Sprintf("waited %v", p.At.Sub(r.Arrived).Round(time.Millisecond)), By: p.By,
	})
}

// recordWait records the last look at the targets that found no room.
func (d *Director) recordWait(r *Request, ticket *blackboard.Ticket) {
	waited := ticket.Waited()
	if waited == nil {
		return
	}
	d.record(r, decision.Record{
		Kind: decision.KindRoute, Outcome: string(waited.Verdict), Attempt: ticket.Attempt, Routing: waited,
		Reason: fmt.Sprintf("looked %d times without finding room", ticket.Looks()),
	})
}
