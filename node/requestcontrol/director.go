package requestcontrol

import (
	"context"
	"fmt"
	"hash/fnv"
	"time"

	"doorstack.dev/core/decision"
	"doorstack.dev/core/fault"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/target"
	"doorstack.dev/node/telemetry"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
)

// Director runs requests.
type Director struct {
	Board   *blackboard.Blackboard
	Targets *target.Client
	// Exchange sends forwarded calls; nil where none are taken.
	Exchanger *target.Exchanger
	Recorder  *telemetry.Recorder
	// Placer is nil where each daemon decides by itself.
	Placer         Placer
	Claimer        Claimer
	ShareRequester ShareRequester
	// Crashes is nil where no other daemon is told.
	CrashReporter CrashReporter
	RetryPolicy   RetryPolicy
	// Slept is for how long the host has slept so far, which the steady clock does not count.
	SuspendedTime func() time.Duration
}

// RetryPolicy bounds the attempts of one request.
type RetryPolicy struct {
	// MaxAttempts includes the first.
	MaxAttempts int
}

// DefaultRetryPolicy gives a request four attempts.
func DefaultRetryPolicy() RetryPolicy { return RetryPolicy{MaxAttempts: 4} }

// attemptSeed makes daemons that see the same reports pick differently.
func attemptSeed(daemon, attempt string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(daemon))
	_, _ = h.Write([]byte(attempt))
	return h.Sum64()
}

// NewAttemptID names a call to a target. A UUIDv7 sorts by time in engines' logs.
func NewAttemptID() string { return uuid.Must(uuid.NewV7()).String() }

// mayRetry decides whether a failed attempt is followed by another one.
func (d *Director) mayRetry(ctx context.Context, r *Request, attempts int, err error) bool {
	if ctx.Err() != nil || attempts >= d.RetryPolicy.MaxAttempts {
		return false
	}
	if !r.Route.Repeatable && target.ExecutionOf(err) != fault.NotRun {
		return false
	}
	if target.ExecutionOf(err) != fault.NotRun && !d.Board.Accounts.Retry(r.Account.Path) {
		return false // A call that did not run costs targets nothing and is free.
	}
	d.Recorder.Metrics.Retries.WithLabelValues(r.Route.Pool.Name).Inc()
	return true
}

// callError is the caller's view of a call that failed for good.
func (d *Director) errorForCaller(ctx context.Context, r *Request, err error) *fault.Error {
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
	d.Recorder.Record(rec)
}

func (d *Director) recordPlacement(r *Request, ticket *blackboard.Ticket, p blackboard.Placement) {
	if ticket.Waited() != nil {
		d.recordWait(r, ticket)
	}
	d.record(r, decision.Record{
		Kind: decision.KindRoute, At: p.At, Outcome: string(p.Decision.Verdict), Target: p.Decision.Chosen,
		Attempt: p.Attempt, Routing: &p.Decision,
		Reason: fmt.Sprintf("waited %v", p.At.Sub(r.Arrived).Round(time.Millisecond)), DecidedBy: p.By,
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
