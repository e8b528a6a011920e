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
	repeatSeenHere     = "daemon"
	repeatSeenByHolder = "holder" // a daemon that holds the claim to the earlier one
)

// claimSingleSend claims a forwarded call that may run once, so that it is sent for one of its arrivals only. If the same request
// is in progress at this daemon, it waits for its end: that one may turn out not to have run. The claim must be ended with
// endSingleSend, unless an error is returned.
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
			return d.claimAtHolders(ctx, r)
		}
		if ended == nil {
			return d.refuseRepeated(r, repeatSeenHere)
		}
		select {
		case <-ended:
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.Canceled) && !endedByShutdown(ctx) {
				return abandonedUnclaimed()
			}
			return d.refuseRepeated(r, repeatSeenHere)
		}
	}
}

// claimAtHolders claims a call at other daemons. If it may not be sent, the claim is withdrawn.
func (d *Director) claimAtHolders(ctx context.Context, r *Request) error {
	if d.Placer == nil {
		return nil
	}
	held, verdict := d.Placer.ClaimSend(ctx, *r.once)
	r.sendClaim = &held
	if verdict == once.Send {
		return nil
	}
	defer d.endSingleSend(r, fault.NotRun)
	switch {
	case verdict == once.Repeated:
		return d.refuseRepeated(r, repeatSeenByHolder)
	case errors.Is(ctx.Err(), context.Canceled) && !endedByShutdown(ctx):
		return abandonedUnclaimed()
	default:
		return d.refuseUnclaimed(r)
	}
}

// endSingleSend ends the claim of a call. One that has not run may come again.
func (d *Director) endSingleSend(r *Request, x fault.Execution) {
	if r.once == nil {
		return
	}
	if x == fault.NotRun && r.sendClaim != nil {
		d.Placer.WithdrawSend(*r.sendClaim)
	}
	d.Board.SingleSends.End(*r.once, x == fault.NotRun)
}

// claimOutcome returns what other daemons have answered about a call that may run once; nil if none was asked.
func (r *Request) claimOutcome() *decision.SendClaim {
	if r.sendClaim == nil {
		return nil
	}
	return &r.sendClaim.SendClaim
}

// callerWaits returns how long the caller waits for the answer, from the arrival of the request.
func (r *Request) callerWaits() time.Duration {
	return max(r.CallerTimeout, r.Deadline.Sub(r.Arrived))
}

// refuseRepeated returns the error for a request that came before and may have run, and records it.
func (d *Director) refuseRepeated(r *Request, seenBy string) error {
	refusal := RepeatedRequestError()
	d.Recorder.Metrics.RepeatedRequests.WithLabelValues(r.Route.Pool.Name, seenBy).Inc()
	d.record(r, decision.Record{Kind: decision.KindAdmit, Outcome: decision.OutcomeRefused, Reason: refusal.Error() + "; seen by the " + seenBy + ", caller " + r.CallerAddress, SendClaim: r.claimOutcome()})
	return refusal
}

// refuseUnclaimed returns the error for a request of which it was not known in time whether it had been sent before, and records it.
func (d *Director) refuseUnclaimed(r *Request) error {
	refusal := fault.New(fault.DeadlinePassed, "the daemons that know whether the request was sent before did not answer in time",
		"check at the service whether an earlier attempt ran; retry later").WithExecution(fault.Unknown)
	d.record(r, decision.Record{Kind: decision.KindAdmit, Outcome: decision.OutcomeRefused, Reason: refusal.Error(), SendClaim: r.claimOutcome()})
	return refusal
}

// abandonedUnclaimed returns the error for a request whose caller left while an earlier arrival of it was looked for.
func abandonedUnclaimed() error {
	return fault.New(fault.Abandoned, "the caller disconnected", "nothing to do").WithExecution(fault.Unknown)
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
