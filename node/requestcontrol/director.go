package requestcontrol

import (
	"context"
	"fmt"
	"hash/fnv"
	"time"

	"doorstack.dev/core/decision"
	"doorstack.dev/core/fault"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/callmemory"
	"doorstack.dev/node/target"
	"doorstack.dev/node/telemetry"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
)

// Director runs requests through admission, claiming, placement and retries until
// they are answered or fail.
type Director struct {
	Board   *blackboard.Blackboard
	Targets *target.Client
	// Exchanger sends forwarded calls. It is nil if the daemon accepts none.
	Exchanger *target.Exchanger
	Recorder  *telemetry.Recorder
	// Placer is nil if each daemon places its calls itself.
	Placer         Placer
	Claimer        Claimer
	ShareRequester ShareRequester
	// CrashReporter is nil if crashes are not reported to other daemons.
	CrashReporter CrashReporter
	RetryPolicy   RetryPolicy
	// Memory bounds what is held of callers' bodies and unread answers; nil means no bound.
	Memory *callmemory.Budget
	// SuspendedTime returns the host's total suspended time, which the monotonic clock omits.
	SuspendedTime func() time.Duration
}

// RetryPolicy bounds the attempts of one request. Forwarded calls follow their path route's
// MaxAttempts instead.
type RetryPolicy struct {
	// MaxAttempts includes the first attempt.
	MaxAttempts int
}

// DefaultRetryPolicy returns a policy of at most four attempts per request.
func DefaultRetryPolicy() RetryPolicy { return RetryPolicy{MaxAttempts: 4} }

// attemptSeed returns the seed for an attempt's random choices. It is a hash that includes the
// daemon's name, so that daemons with the same load reports choose different targets.
func attemptSeed(daemon, attempt string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(daemon))
	_, _ = h.Write([]byte(attempt))
	return h.Sum64()
}

// NewAttemptID returns a new id for a call to a target: a UUIDv7, which sorts by time in the
// engines' logs.
func NewAttemptID() string { return uuid.Must(uuid.NewV7()).String() }

// mayRetry reports whether the request may be attempted again after an attempt failed with err. If
// a target may have run the failed call, it charges the account's retry budget; other calls cost
// the targets nothing.
func (d *Director) mayRetry(ctx context.Context, r *Request, attempts int, err error) bool {
	if ctx.Err() != nil || attempts >= d.RetryPolicy.MaxAttempts {
		return false
	}
	if !r.Route.Repeatable && target.ExecutionOf(err) != fault.NotRun {
		return false
	}
	if target.ExecutionOf(err) != fault.NotRun && !d.Board.Accounts.TakeRetry(r.Account.Path) {
		return false // The account's retry budget is used up.
	}
	d.Recorder.Metrics.Retries.WithLabelValues(r.Route.Pool.Name).Inc()
	return true
}

// errorForCaller returns the error that the caller receives for a call that is not retried.
func (d *Director) errorForCaller(ctx context.Context, r *Request, err error) *fault.Error {
	var typed *fault.Error
	if errors.As(err, &typed) {
		return typed
	}
	execution := target.ExecutionOf(err)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.New(fault.DeadlinePassed,
			fmt.Sprintf("the answer was not complete within %v", r.Deadline.Sub(r.Arrived).Round(time.Millisecond)),
			"allow more time, or shorten the prompt").WithExecution(execution)
	}
	if ctx.Err() != nil {
		return fault.New(fault.Abandoned, "the caller disconnected", "nothing to do").WithExecution(execution)
	}
	failure := fault.New(fault.TargetFailed, err.Error(), "see \"doorstack explain\" with the request id").WithExecution(execution)
	if r.Route.Repeatable || execution == fault.NotRun {
		return failure.WithRetry(0)
	}
	return failure
}

// record adds the request's fields to a decision record and stores it.
func (d *Director) record(r *Request, rec decision.Record) {
	rec.Request = r.ID
	rec.Account = r.Account.Path
	rec.Route = r.Route.Name
	rec.Pool = r.Route.Pool.Name
	rec.Revision = r.Revision
	d.Recorder.Record(rec)
}

// recordPlacement records a routing decision. If earlier decisions found no target with room, it
// records the latest of them first.
func (d *Director) recordPlacement(r *Request, ticket *blackboard.Ticket, p blackboard.Placement) {
	if ticket.WaitDecision() != nil {
		d.recordWait(r, ticket)
	}
	d.record(r, decision.Record{
		Kind: decision.KindRoute, At: p.DecidedAt, Outcome: string(p.Decision.Verdict), Target: p.Decision.Chosen,
		Attempt: p.Attempt, Routing: &p.Decision,
		Reason: fmt.Sprintf("waited %v", p.DecidedAt.Sub(r.Arrived).Round(time.Millisecond)), DecidedBy: p.DecidedBy,
	})
}

// recordWait records the latest routing decision that found no target with room.
func (d *Director) recordWait(r *Request, ticket *blackboard.Ticket) {
	waited := ticket.WaitDecision()
	if waited == nil {
		return
	}
	d.record(r, decision.Record{
		Kind: decision.KindRoute, Outcome: string(waited.Verdict), Attempt: ticket.Attempt, Routing: waited,
		Reason: fmt.Sprintf("%d routing decisions found no room", ticket.DispatchAttempts()),
	})
}
