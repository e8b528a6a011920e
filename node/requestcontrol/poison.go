package requestcontrol

import (
	"context"
	"fmt"
	"time"

	"doorstack.dev/core/decision"
	"doorstack.dev/core/fault"
	"doorstack.dev/core/poison"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/target"
	"github.com/go-faster/errors"
)

// A request under which target after target ends is not sent to another one, whoever sends it
// and by whichever daemon: see core/poison. Director tells the table how each send ended, and
// asks it before each.

// CrashReporter tells the other daemons of requests that end their targets.
type CrashReporter interface {
	// Crashed reports that a target has ended under a request.
	NotifyCrash(c poison.Crash)
	// Spread tells all daemons a verdict that this one has come to.
	BroadcastVerdict(v poison.Verdict)
	// MayTry asks the daemon that decides whether a quarantined request is sent this once.
	RequestTrial(ctx context.Context, request poison.Key) bool
}

// refuseQuarantined returns a failure for a request that would end one more target. One that is
// let through as a trial is not asked about again before it is sent.
func (d *Director) checkQuarantine(ctx context.Context, r *Request) (trial bool, err error) {
	r.suspected = false
	if d.Board.Poison.Empty() {
		return false, nil
	}
	standing := d.Board.Poison.Ask(r.poisonKey(), time.Now())
	r.suspected = standing.Suspected
	if !standing.Quarantined {
		return false, nil
	}
	if standing.TrialDue && d.requestTrial(ctx, r.poisonKey()) {
		d.record(r, decision.Record{
			Kind: decision.KindAdmit, Outcome: decision.OutcomeAdmitted, CallKey: r.poisonKey().String(), Reason: "a quarantined call is tried once more",
		})
		return true, nil
	}
	refusal := fault.New(fault.CrashesTargets, "target after target has ended under this request, so it is sent to no other one",
		"do not send it again as it is; operators find the targets in the log by the field call").WithRetry(standing.RetryAfter)
	d.record(r, decision.Record{
		Kind: decision.KindAdmit, Outcome: decision.OutcomeRefused, CallKey: r.poisonKey().String(), Reason: refusal.Error(),
	})
	return false, refusal
}

// mayTry asks for the one trial of a request that is due.
func (d *Director) requestTrial(ctx context.Context, k poison.Key) bool {
	if d.CrashReporter == nil {
		return d.Board.Poison.Try(k, time.Now())
	}
	return d.CrashReporter.RequestTrial(ctx, k)
}

// giveBack returns a placement that is not used.
func (d *Director) releasePlacement(r *Request, p *blackboard.Placement) {
	d.Board.Targets.Finish(p.Attempt, blackboard.CallCancelled, time.Now())
	if d.Placer != nil {
		d.Placer.ReportFinished(p.Attempt, blackboard.CallCancelled, "", 0)
	}
	d.Board.Queues.Wake(r.Route.Pool.Name)
}

// smallRequestSize is the size, in bytes, up to which the key of each answered request is worked
// out. Larger ones are prompts that no two callers share, and hashing them costs milliseconds.
const smallRequestSize = 64 << 10

// errQuarantined ends a send whose request has been quarantined meanwhile: it may still wait at
// its target, which drops it when the connection closes.
var errQuarantined = errors.New("the call was found to end its targets")

// watchForQuarantine ends a send under way if its request is quarantined. The function that it
// returns ends the watch.
func (d *Director) cancelOnQuarantine(r *Request, cancel context.CancelCauseFunc) func() {
	if r.payloadSize() > smallRequestSize && d.Board.Poison.Empty() {
		return func() {}
	}
	return d.Board.Poison.Sent(r.poisonKey(), func() { cancel(errQuarantined) })
}

// noteAnswered notes that a target has lived through a request.
func (d *Director) recordSuccess(r *Request) {
	if r.payloadSize() > smallRequestSize && d.Board.Poison.Empty() {
		return
	}
	if v, lifted := d.Board.Poison.Served(r.poisonKey(), time.Now()); lifted && d.CrashReporter != nil {
		d.CrashReporter.BroadcastVerdict(v)
	}
}

// noteFailed notes a target's end if that is how a send failed.
func (d *Director) recordCrash(r *Request, id string, err error) {
	if !target.ConnectionEnded(err) {
		return
	}
	d.Recorder.Metrics.Crashes.WithLabelValues(r.Route.Pool.Name).Inc()
	crash := poison.Crash{Request: r.poisonKey(), Target: id, Suspected: r.suspected}
	found := d.Board.Poison.Crashed(crash, time.Now())
	if d.CrashReporter == nil || !found.Counted {
		return
	}
	d.CrashReporter.NotifyCrash(crash)
	if found.Quarantined {
		d.Recorder.Log.Warn("a call is quarantined", "request", r.ID, "call", r.poisonKey().String(), "pool", r.Route.Pool.Name,
			"target", id, "count", found.Verdict.Count, "reason", fmt.Sprintf("the last of several targets ended under it: %v", err))
		d.CrashReporter.BroadcastVerdict(found.Verdict)
	}
}
