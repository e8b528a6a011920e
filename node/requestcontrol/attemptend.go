package requestcontrol

import (
	"context"
	"time"

	"doorstack.dev/core/decision"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/target"
	"github.com/go-faster/errors"
)

// finishAttempt records the end of an attempt. If the connection broke off, what that says of the target is recorded
// only once it is known whether the target or this host's path to it failed; the call does not wait for that.
func (f *forwarding) finishAttempt(ctx context.Context, p *blackboard.Placement, err error) {
	end := f.attemptEnd(ctx, p, err)
	if err == nil {
		f.director.recordEnd(f.request, end)
		return
	}
	// The end of a relay says nothing of the target, and one that has not confirmed the end of its answer may have finished it.
	if !errors.Is(err, target.ErrRelayEnded) && !errors.Is(err, target.ErrEndUnconfirmed) {
		f.excluded = append(f.excluded, end.target)
	}
	if end.cancelled || !target.MayBePathFailure(err) && !errors.Is(err, errSilent) {
		f.director.recordEnd(f.request, end)
		return
	}
	f.request.poisonKey() // The copy below takes the computed keys along.
	request := *f.request // The next attempt changes the original.
	go func() {
		end.pathFailed = f.director.Exchanger.Connect.PathFailed(p.Address, end.relay, err)
		f.director.recordEnd(&request, end)
	}()
}

// attemptEnd is the end of an attempt.
type attemptEnd struct {
	attempt string
	// chosen is the target that the call was sent to, and target the one that the end is about: chosen, or a helper.
	chosen, target string
	// relay is the daemon that the call went through, or empty.
	relay string
	err   error
	// cancelled reports that the end says nothing of the target, cause why.
	cancelled bool
	cause     error
	// answer is how far the target had come with its answer.
	answer answerProgress
	// send is how a call that may run once was sent, and nil for other calls.
	send *decision.Send
	// callerGone reports that the attempt ended because the caller did.
	callerGone bool
	// suspectFor is how long the target gets no calls.
	suspectFor time.Duration
	// pathFailed reports that this host's path to the target failed.
	pathFailed bool
}

func (f *forwarding) attemptEnd(ctx context.Context, p *blackboard.Placement, err error) attemptEnd {
	end := attemptEnd{attempt: p.Attempt, chosen: p.Decision.Chosen, target: p.Decision.Chosen, relay: f.lastRelay, err: err, answer: f.attemptAnswer, send: f.singleSend}
	if err == nil {
		return end
	}
	end.target = f.failedTarget(p)
	end.callerGone = ctx.Err() != nil || errors.Is(err, errCallerWrite)
	end.cancelled = end.callerGone || errors.Is(err, errRejected) || errors.Is(err, errQuarantined)
	end.cause = ctx.Err()
	if end.cause == nil {
		end.suspectFor = f.suspectDuration(err)
	}
	return end
}

// recordEnd records the end of an attempt and wakes the pool's queue for the freed room.
func (d *Director) recordEnd(r *Request, end attemptEnd) {
	result, suspect := blackboard.CallSucceeded, ""
	switch {
	case end.err == nil:
	case end.cancelled || end.pathFailed:
		result = blackboard.CallCancelled
	default:
		result = blackboard.CallFailed
	}
	if end.suspectFor > 0 && !end.pathFailed {
		suspect = end.target
		d.Board.Targets.Suspect(suspect, time.Now().Add(end.suspectFor), time.Now())
	}
	switch {
	case end.err != nil:
		d.recordFailedAttempt(r, &end)
	case end.send != nil:
		d.record(r, decision.Record{Kind: decision.KindAttempt, Outcome: decision.OutcomeComplete, Target: end.target, Attempt: end.attempt, Send: end.send, SendClaim: r.claimOutcome()})
	}
	d.recordCrashOrSuccess(r, &end)
	d.recordPartEnd(r, &end)
	d.Board.Targets.Finish(end.attempt, result, time.Now())
	if d.Placer != nil {
		d.Placer.ReportFinished(CallEnd{Attempt: end.attempt, Result: result, Suspect: suspect, SuspectFor: end.suspectFor})
	}
	d.Board.Queues.Wake(r.Route.Pool.Name)
}

// recordCrashOrSuccess records whether the target survived the call. An error answer from the
// target itself shows that it did; recordCrash determines whether another failure was a crash.
func (d *Director) recordCrashOrSuccess(r *Request, end *attemptEnd) {
	switch {
	case end.err == nil || errors.Is(end.err, errTargetError):
		d.recordSuccess(r)
	case !end.callerGone && !end.pathFailed:
		d.recordCrash(r, end.chosen, end.err)
	}
}

// recordFailedAttempt records why an attempt gave no answer.
func (d *Director) recordFailedAttempt(r *Request, end *attemptEnd) {
	rec := decision.Record{Kind: decision.KindAttempt, Outcome: decision.OutcomeFailed, Target: end.target, Attempt: end.attempt, Reason: end.err.Error(), CallKey: r.poisonKey().String(), SharedParts: r.SharedParts, EventsReceived: end.answer.events, Send: end.send, SendClaim: r.claimOutcome()}
	switch {
	case end.cause != nil:
		rec.Outcome, rec.Reason = decision.OutcomeCancelled, end.cause.Error()
	case end.pathFailed:
		rec.Reason = "this host's path to the target failed: " + rec.Reason
	}
	if end.relay != "" {
		rec.Reason += "; relayed by " + end.relay
	}
	d.record(r, rec)
}
