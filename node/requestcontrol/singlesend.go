package requestcontrol

import (
	"context"
	"time"

	"doorstack.dev/core/decision"
	"doorstack.dev/core/fault"
	"doorstack.dev/core/forward"
	"doorstack.dev/core/once"
	"doorstack.dev/node/blackboard"
	"github.com/go-faster/errors"
)

// Where it was noticed that a request had been sent before, as labels of the metric.
const (
	repeatSeenHere          = "daemon"
	repeatSeenByCoordinator = "coordinator"
	repeatSeenByHolder      = "holder" // a daemon that holds the claim to the earlier one
)

// claimSingleSend claims a forwarded call that may run once, so that it is sent for one of its arrivals only. If the same request
// is in progress at this daemon, it waits for its end: that one may turn out not to have run. The claim must be ended with
// endSingleSend.
func (d *Director) claimSingleSend(ctx context.Context, r *Request) error {
	if r.Route.Repeatable || r.ID == "" {
		return nil
	}
	m := r.Forward
	key := once.KeyOf(r.ID, []byte(r.Account.Path), []byte(m.Method), []byte(m.Host), []byte(m.URI), m.Body)
	for {
		claim, ended, ok := d.Board.SingleSends.Arrive(key, r.Arrived, r.callerWaits())
		if ok {
			r.once = &claim
			return nil
		}
		if ended == nil {
			return d.refuseRepeated(r, repeatSeenHere, nil)
		}
		select {
		case <-ended:
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.Canceled) {
				return fault.New(fault.Abandoned, "the caller disconnected", "nothing to do").WithExecution(fault.Unknown)
			}
			return d.refuseRepeated(r, repeatSeenHere, nil)
		}
	}
}

// endSingleSend ends the claim of a call. One that has not run may come again.
func (d *Director) endSingleSend(r *Request, x fault.Execution) {
	if r.once != nil {
		d.Board.SingleSends.End(*r.once, x == fault.NotRun)
	}
}

// beginSingleSend claims a call that may run once at other daemons before its first send, and reports whether none of them knows
// another arrival of the request.
func (f *forwarding) beginSingleSend(ctx context.Context, p *blackboard.Placement) bool {
	d, r := f.director, f.request
	if r.once == nil || d.Placer == nil || f.sendClaim != nil {
		return true
	}
	claim, ok := d.Placer.BeginSend(ctx, r.Route.Pool.Name, p.DecidedBy, *r.once)
	f.sendClaim = &claim
	return ok
}

// endUnsent withdraws the claim of a call that has not run. It returns the error for its caller: err, unless that says that the
// request has not run, and an earlier arrival of it may have.
func (f *forwarding) endUnsent(ctx context.Context, err error) error {
	d, r := f.director, f.request
	if r.once == nil || d.Placer == nil {
		return err
	}
	if f.sendClaim != nil {
		d.Placer.WithdrawSend(context.WithoutCancel(ctx), *f.sendClaim)
		return err
	}
	if ctx.Err() != nil || fault.From(err).Kind == fault.RepeatedRequest {
		return err
	}
	if asked, sent := d.Placer.SentBefore(ctx, r.Route.Pool.Name, *r.once); sent {
		return d.refuseRepeated(r, repeatSeenByHolder, &asked)
	}
	return err
}

// callerWaits returns how long the caller waits for the answer, from the arrival of the request.
func (r *Request) callerWaits() time.Duration {
	return max(r.CallerTimeout, r.Deadline.Sub(r.Arrived))
}

// refuseRepeated returns the error for a request that came before and may have run, and records it. asked says which daemons were
// asked about it; nil if none was.
func (d *Director) refuseRepeated(r *Request, seenBy string, asked *decision.SendClaim) error {
	refusal := RepeatedRequestError()
	d.Recorder.Metrics.RepeatedRequests.WithLabelValues(r.Route.Pool.Name, seenBy).Inc()
	d.record(r, decision.Record{Kind: decision.KindAdmit, Outcome: decision.OutcomeRefused, Reason: refusal.Error() + "; seen by the " + seenBy + ", caller " + r.CallerAddress, SendClaim: asked})
	return refusal
}

// RepeatedRequestError returns the error for a request that came before and may have run.
func RepeatedRequestError() *fault.Error {
	return fault.New(fault.RepeatedRequest, "this request was sent to a target before, under the same id",
		"check at the service whether it ran; use a new id for each request").WithExecution(fault.Unknown)
}

// executionAfterReply returns what is known of the execution of a call that a target has answered; err is why the answer was not
// delivered.
func executionAfterReply(err error) fault.Execution {
	switch {
	case err == nil || errors.Is(err, errTargetError):
		return fault.Ran
	case errors.Is(err, errRejected):
		return fault.NotRun
	default:
		return fault.Unknown
	}
}

// recordSingleSend records how a call that may run once was sent; trace is nil for other calls.
func (f *forwarding) recordSingleSend(p *blackboard.Placement, trace *forward.SendTrace, execution fault.Execution) {
	if trace == nil {
		return
	}
	f.singleSend = &decision.Send{
		Caller: f.request.CallerAddress, Address: p.Address, Relay: f.lastRelay, Connection: trace.Connection, Reused: trace.Reused,
		Broken: trace.BrokenConnections, Bytes: trace.BytesSent, Execution: execution,
	}
	f.director.Recorder.Metrics.SingleSends.WithLabelValues(f.request.Route.Pool.Name, string(execution)).Inc()
}
