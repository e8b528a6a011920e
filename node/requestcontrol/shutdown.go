package requestcontrol

import (
	"context"
	"time"

	"doorstack.dev/core/admission"
	"doorstack.dev/core/decision"
	"doorstack.dev/core/fault"
	"doorstack.dev/node/blackboard"
	"github.com/go-faster/errors"
)

// errShuttingDown is the cause of the end of what a daemon ends before the platform kills its process.
var errShuttingDown = errors.New("the process is about to be killed")

// untilShutdown returns a context that also ends when the daemon ends its calls.
func (d *Director) untilShutdown(ctx context.Context) (untilEnd context.Context, release func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := d.Board.Shutdown.AfterEndCalls(func() { cancel(errShuttingDown) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// untilLatestSend returns a context for what precedes a send: it also ends when it is too late for the send, as the daemon drains.
func (d *Director) untilLatestSend(ctx context.Context, r *Request) (untilLatest context.Context, release func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := d.Board.Shutdown.AfterBegin(func() {
		latest, limited := d.latestSend(r)
		if !limited {
			return
		}
		timer := time.NewTimer(time.Until(latest))
		defer timer.Stop()
		select {
		case <-timer.C:
			cancel(errShuttingDown)
		case <-ctx.Done():
		}
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// endedByShutdown reports whether a context of untilShutdown or untilLatestSend ended as the daemon drains.
func endedByShutdown(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errShuttingDown) }

// latestSend returns the latest time at which a forwarded call may be sent; limited is false if there is none.
func (d *Director) latestSend(r *Request) (latest time.Time, limited bool) {
	end, limited := d.Board.Shutdown.End()
	if !limited {
		return time.Time{}, false
	}
	return d.Board.AnswerTimes.LatestSend(r.Path.Name, admission.Closing{End: end, Deadline: r.Deadline, Repeatable: r.Route.Repeatable})
}

// tooLateToSend reports whether the answer to a call that is sent now cannot be expected before the daemon ends its calls.
func (d *Director) tooLateToSend(r *Request) bool {
	latest, limited := d.latestSend(r)
	return limited && !time.Now().Before(latest)
}

// beginSend claims a forwarded call that may run once, and refuses a call for which it is too late.
func (d *Director) beginSend(ctx context.Context, r *Request) error {
	if d.tooLateToSend(r) {
		refusal := ShutdownError()
		d.record(r, decision.Record{Kind: decision.KindAdmit, Outcome: decision.OutcomeRefused, Reason: "no answer is expected before the process is killed: " + refusal.Error()})
		return refusal
	}
	ctx, release := d.untilLatestSend(ctx, r)
	defer release()
	return d.claimSingleSend(ctx, r)
}

// placeBeforeShutdown is like place, but fails as soon as it is too late for the send.
func (d *Director) placeBeforeShutdown(ctx context.Context, r *Request, attempt string, retry bool, exclude []string) (blackboard.Placement, error) {
	ctx, release := d.untilLatestSend(ctx, r)
	defer release()
	placement, err := d.place(ctx, r, attempt, retry, exclude)
	if err == nil && d.tooLateToSend(r) {
		d.releasePlacement(r, &placement)
		return blackboard.Placement{}, ShutdownError()
	}
	return placement, err
}

// recordAnswerTime records how long a call took from its placement: to the end of the answer, or at least to its deadline.
func (d *Director) recordAnswerTime(ctx context.Context, r *Request, placed time.Time, err error) {
	if err == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		d.Board.AnswerTimes.Add(r.Path.Name, time.Since(placed))
	}
}

// shutdownRetryAfter is the Retry-After of a call that a draining daemon has not run. It is short, since another daemon can most
// likely run it.
const shutdownRetryAfter = 50 * time.Millisecond

// ShutdownError returns the error for a call that a draining daemon ends or does not run.
func ShutdownError() *fault.Error {
	return fault.New(fault.ShuttingDown, "this host is shutting down", "retry; another host will serve the request").WithRetry(shutdownRetryAfter)
}
