package requestcontrol

import (
	"context"
	"time"

	"doorstack.dev/core/fault"
	"doorstack.dev/core/poison"
	"doorstack.dev/node/target"
	"github.com/go-faster/errors"
)

// partKeys returns the keys of the shared parts of the request's prompt.
func (r *Request) partKeys() []poison.Key {
	if r.cachedPartKeys == nil && len(r.SharedParts) > 0 {
		r.cachedPartKeys = poison.PartKeys(r.Route.Pool.Name, r.SharedParts)
	}
	return r.cachedPartKeys
}

// answerProgress is how far a target has come with its answer in the current attempt.
type answerProgress struct {
	// events is the number of events received, began the time of the first, or of the head of an answer that is not a
	// stream.
	events int
	began  time.Time
	// survived reports that the answer has gone on for so long that its prompt does not crash the target.
	survived bool
}

// recordAnswerProgress counts an event of the answer. Once the target has survived the prompt, the prompt's parts are
// cleared.
func (f *forwarding) recordAnswerProgress(now time.Time) {
	a := &f.attemptAnswer
	if a.events == 0 {
		a.began = now
		f.partSendEnded()
	}
	a.events++
	if !a.survived && poison.Survived(now.Sub(a.began), a.events) {
		a.survived = true
		f.director.recordPartAnswer(f.request, a.began)
	}
}

// recordPartAnswer records that a target survived the prompt, with an answer that began at the given time.
func (d *Director) recordPartAnswer(r *Request, began time.Time) {
	if len(r.SharedParts) == 0 || began.IsZero() {
		return
	}
	lifted := d.Board.Poison.RecordAnswer(r.Route.Pool.Name, r.SharedParts, began, time.Now())
	for _, v := range lifted {
		d.Recorder.CountVerdict(&v)
		d.Recorder.Log.Warn("the quarantine of a prompt part is lifted", "request", r.ID, "part", v.Part.ID,
			"pool", r.Route.Pool.Name, "call", v.Request.String(), "count", v.Count)
		if d.CrashReporter != nil {
			d.CrashReporter.NotifyPartLifted(v)
		}
	}
}

// recordPartEnd records an answer or a crash for the shared parts of a prompt at the end of an attempt. The target has outlived a
// complete answer (see target.Reply).
func (d *Director) recordPartEnd(r *Request, end *attemptEnd) {
	switch {
	case len(r.SharedParts) == 0 || end.answer.survived:
	case end.err == nil:
		d.recordPartAnswer(r, end.answer.began)
	case end.err != nil && !end.callerGone && !end.pathFailed && target.ConnectionClosed(end.err):
		d.recordPartCrash(r, end.chosen, end.answer.events)
	}
}

// recordPartEnd records an answer or a crash for the shared parts of a prompt at the end of a call. sent is when the call was sent,
// which is before its answer began, and tokens is how many tokens were received.
func (g *generation) recordPartEnd(ctx context.Context, id string, sent time.Time, tokens int, err error) {
	switch {
	case len(g.request.SharedParts) == 0:
	case err == nil:
		g.director.recordPartAnswer(g.request, sent)
	case ctx.Err() == nil && !errors.Is(err, errCallerWrite) && target.ConnectionClosed(err):
		g.director.recordPartCrash(g.request, id, tokens)
	}
}

// recordPartCrash records that a target crashed while it had a prompt with shared parts, and reports it to the daemons
// that collect such crashes.
func (d *Director) recordPartCrash(r *Request, id string, events int) {
	crash := poison.PartCrash{
		Account: r.Account.Path, Pool: r.Route.Pool.Name, Parts: r.SharedParts, Target: id, Request: r.poisonKey(), Events: events,
	}
	for _, v := range d.Board.Poison.RecordOwnCrash(&crash, time.Now()) {
		d.Recorder.CountVerdict(&v)
		d.Recorder.Log.Warn("a trial of a quarantined prompt part crashed its target", "request", r.ID, "part", v.Part.ID, "account", v.Part.Account,
			"pool", crash.Pool, "target", id, "call", v.Request.String(), "count", v.Count)
		if d.CrashReporter != nil {
			d.CrashReporter.BroadcastVerdict(v)
		}
	}
	if d.CrashReporter != nil {
		d.CrashReporter.NotifyPartCrash(&crash)
	}
}

// errorForQuarantine returns the error for a request that is refused because it or a part of its prompt is quarantined.
func errorForQuarantine(part bool, retryAfter time.Duration) *fault.Error {
	if part {
		return fault.New(fault.CrashesTargets, "several targets crashed while running prompts that share a part with this one, so it is not sent to another one",
			"do not send prompts with that part; operators find it in the log by the field call").WithRetry(retryAfter)
	}
	return fault.New(fault.CrashesTargets, "several targets crashed while running this request, so it is not sent to another one",
		"do not send it again unchanged; operators find the targets in the log by the field call").WithRetry(retryAfter)
}
