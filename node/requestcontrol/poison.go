package requestcontrol

import (
	"context"
	"fmt"
	"time"

	"doorstack.dev/core/decision"
	"doorstack.dev/core/poison"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/target"
	"github.com/go-faster/errors"
)

// A request that crashes several targets is quarantined: no daemon sends it to another target,
// whichever caller it comes from (see core/poison). So are all prompts with a part that crashes targets. Director
// checks the quarantine before each send and records how each send ended. Log messages and decision records say "call"
// for the request; the log field call holds its poison key, or that of the part.

// CrashReporter informs the other daemons of requests that crash their targets.
type CrashReporter interface {
	// NotifyCrash reports that a target crashed while it had a request.
	NotifyCrash(c poison.Crash)
	// NotifyPartCrash reports that a target crashed while it had a prompt with shared parts.
	NotifyPartCrash(c *poison.PartCrash)
	// NotifyPartLifted reports that an answer has lifted the quarantine of a part.
	NotifyPartLifted(v poison.Verdict)
	// BroadcastVerdict sends all daemons a verdict that this daemon reached.
	BroadcastVerdict(v poison.Verdict)
	// RequestTrial asks whether a quarantined request may be sent once. One daemon decides on all
	// trials of a request.
	RequestTrial(ctx context.Context, request poison.Key) bool
}

// checkQuarantine returns an error for a request that is quarantined, itself or by a part of its prompt, unless it is
// admitted as a trial. A trial must not be checked again before it is sent: it has begun with the check,
// so another check would refuse it.
func (d *Director) checkQuarantine(ctx context.Context, r *Request) (trial bool, err error) {
	r.suspected = false
	if d.Board.Poison.Empty() {
		return false, nil
	}
	found := d.Board.Poison.Quarantined(r.poisonKey(), r.partKeys(), r.Account.Path, time.Now())
	r.suspected = found.Suspected
	if len(found.Keys) == 0 {
		return false, nil
	}
	key := found.Keys[0].String()
	if found.TrialDue && d.requestTrials(ctx, found.Keys) {
		d.record(r, decision.Record{
			Kind: decision.KindAdmit, Outcome: decision.OutcomeAdmitted, CallKey: key, Reason: "a quarantined call is tried once more", SharedParts: r.SharedParts,
		})
		return true, nil
	}
	refusal := errorForQuarantine(found.Keys[0] != r.poisonKey(), found.RetryAfter)
	d.record(r, decision.Record{
		Kind: decision.KindAdmit, Outcome: decision.OutcomeRefused, CallKey: key, Reason: refusal.Error(), SharedParts: r.SharedParts,
	})
	return false, refusal
}

// requestTrials reports whether this daemon may send a request once as a trial although all these keys are quarantined.
func (d *Director) requestTrials(ctx context.Context, keys []poison.Key) bool {
	for _, k := range keys {
		if !d.requestTrial(ctx, k) {
			return false
		}
	}
	return true
}

// requestTrial reports whether this daemon may send a quarantined request as a trial.
func (d *Director) requestTrial(ctx context.Context, k poison.Key) bool {
	if d.CrashReporter == nil {
		return d.Board.Poison.StartTrial(k, time.Now())
	}
	return d.CrashReporter.RequestTrial(ctx, k)
}

// releasePlacement releases a placement that is not used.
func (d *Director) releasePlacement(r *Request, p *blackboard.Placement) {
	d.Board.Targets.Finish(p.Attempt, blackboard.CallCancelled, time.Now())
	if d.Placer != nil {
		d.Placer.ReportFinished(CallEnd{Attempt: p.Attempt, Result: blackboard.CallCancelled})
	}
	d.Board.Queues.Wake(r.Route.Pool.Name)
}

// smallRequestSize is the size, in bytes, up to which the poison key of every sent request is
// computed. Keys of larger requests are computed only while some crash is recorded: these requests
// are prompts, which no two callers send alike, and hashing them takes milliseconds.
const smallRequestSize = 64 << 10

// errQuarantined cancels a send whose request was quarantined after it was sent. The request may
// still be queued at its target, which drops it when the connection closes.
var errQuarantined = errors.New("the call was quarantined because it crashed its targets")

// cancelOnQuarantine calls cancel if the request is quarantined while its send is in progress. The
// returned function must be called when the send has ended.
func (d *Director) cancelOnQuarantine(r *Request, cancel context.CancelCauseFunc) func() {
	if r.payloadSize() > smallRequestSize && d.Board.Poison.Empty() {
		return func() {}
	}
	return d.Board.Poison.BeginSend([]poison.Key{r.poisonKey()}, r.Account.Path, func() { cancel(errQuarantined) })
}

// cancelOnPartQuarantine calls cancel if a part of the prompt is quarantined before the returned function is called:
// when the target has begun to answer, or the send has ended.
func (d *Director) cancelOnPartQuarantine(r *Request, cancel context.CancelCauseFunc) func() {
	if len(r.SharedParts) == 0 {
		return func() {}
	}
	return d.Board.Poison.BeginSend(r.partKeys(), r.Account.Path, func() { cancel(errQuarantined) })
}

// recordSuccess records that a target survived a request.
func (d *Director) recordSuccess(r *Request) {
	if r.payloadSize() > smallRequestSize && d.Board.Poison.Empty() {
		return
	}
	if v, lifted := d.Board.Poison.RecordSuccess(r.poisonKey(), time.Now()); lifted && d.CrashReporter != nil {
		d.CrashReporter.BroadcastVerdict(v)
	}
}

// recordCrash records a crash of the target if the send failed because its connection ended.
func (d *Director) recordCrash(r *Request, id string, err error) {
	if !target.ConnectionClosed(err) {
		return
	}
	d.Recorder.Metrics.Crashes.WithLabelValues(r.Route.Pool.Name).Inc()
	crash := poison.Crash{Request: r.poisonKey(), Target: id, Suspected: r.suspected}
	result := d.Board.Poison.RecordCrash(crash, time.Now())
	if d.CrashReporter == nil || !result.Accepted {
		return
	}
	d.CrashReporter.NotifyCrash(crash)
	if result.Quarantined {
		d.Recorder.CountVerdict(&result.Verdict)
		d.Recorder.Log.Warn("a call is quarantined", "request", r.ID, "call", r.poisonKey().String(), "pool", r.Route.Pool.Name,
			"target", id, "count", result.Verdict.Count, "reason", fmt.Sprintf("the last of several targets crashed while running it: %v", err))
		d.CrashReporter.BroadcastVerdict(result.Verdict)
	}
}
