package requestcontrol

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"doorstack.dev/core/decision"
	"doorstack.dev/core/eventstream"
	"doorstack.dev/core/fault"
	"doorstack.dev/core/forward"
	"doorstack.dev/core/settings"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/callmemory"
	"doorstack.dev/node/target"
	"github.com/go-faster/errors"
)

// AnswerWriter writes a forwarded answer to its caller.
type AnswerWriter interface {
	// WriteHead sends the status and header; length is -1 if it is unknown. An answer has one head: a second one is
	// refused with a *fault.Error, since its body would be appended to that of the first.
	WriteHead(status int, h http.Header, length int64) error
	// Write sends a part of the body. It may return before the caller has received the part; it waits
	// if the caller has much unread.
	Write(p []byte) error
	// Flush waits until the caller has received all parts. At the end of ctx it gives up the rest.
	Flush(ctx context.Context) error
}

// forwarding is the state of a forwarded call in progress. It spans all attempts and
// keeps what the caller has received, so that no event of a stream is delivered twice.
type forwarding struct {
	director *Director
	request  *Request
	out      AnswerWriter
	progress forward.Progress
	// lastEventID is the id of the last event delivered to the caller; deliveredID reports that this call delivered it, and
	// not one before that the caller resumes.
	lastEventID string
	deliveredID bool
	eventCount  int
	// sequence follows the ids of the events; skipped is how many the targets that resumed the stream have left out.
	sequence eventstream.Sequence
	skipped  int64
	// mediaType is that of the answer whose head the caller has received.
	mediaType string
	// attemptAnswer is the progress of the answer in the current attempt. partSendEnded ends the cancellation of the
	// attempt's send by the quarantine of a part.
	attemptAnswer answerProgress
	partSendEnded func()
	// longestGap is the longest time between two events, and lastEventAt the time of
	// the latest event.
	timeToFirstEvent, longestGap time.Duration
	lastEventAt                  time.Time
	excluded                     []string
	// errorAnswer is a target's own error answer. The caller receives it if no other
	// target answers.
	errorAnswer *bufferedAnswer
	// lastTarget is the latest target, for the log. failedHelper is the address of the helper
	// (see forward.Helper) that made the latest attempt fail, if any.
	lastTarget, failedHelper string
	// lastRelay is the daemon that the latest attempt went through, or empty; lastStatus and lastFraming are those of
	// its answer.
	lastRelay   string
	lastStatus  int
	lastFraming target.Framing
	// singleSend is how the latest attempt was sent if the call may run once, and nil for other calls.
	singleSend *decision.Send
	// prefilledAttempt is the latest attempt whose target has prefilled the prompt.
	prefilledAttempt string
	// silenceWatch watches the current attempt.
	silenceWatch *silenceWatch
	// hold is the memory of the answer that the current attempt reads.
	hold *callmemory.Hold
	// counted reports that the call is counted in the fleet's repeat budget, and repeatReserved that a repeat is reserved
	// there for the next send.
	counted        bool
	repeatReserved atomic.Bool
}

// Forward sends a call unchanged to a target and writes the answer to out. The error is
// a *fault.Error. If the answer had started, the caller's connection must be closed.
func (d *Director) Forward(ctx context.Context, r *Request, out AnswerWriter) error {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	ctx, release := d.untilShutdown(ctx)
	defer release()
	if err := d.beginSend(ctx, r); err != nil {
		return err
	}
	f := &forwarding{director: d, request: r, out: out, lastEventID: r.LastEventID, progress: forward.Progress{
		Rules: forward.Rules{Repeatable: r.Route.Repeatable, MaxAttempts: r.Path.MaxAttempts},
	}}
	execution := fault.Unknown
	defer func() { d.endSingleSend(r, execution) }()
	defer f.releaseErrorAnswer()
	defer f.returnRepeat()
	err := f.run(ctx)
	if flushErr := out.Flush(ctx); err == nil && flushErr != nil {
		err = f.finishFailed(ctx, errors.Wrap(errCallerWrite, flushErr.Error()))
	}
	execution = fault.Ran
	if err != nil {
		execution = f.progress.Execution()
	}
	f.recordAnswer(err)
	return err
}

func (f *forwarding) run(ctx context.Context) error {
	d, r := f.director, f.request
	for {
		err := f.runAttempt(ctx)
		if err == nil {
			return nil
		}
		if !f.mayRetry(ctx, err) {
			return f.finishFailed(ctx, err)
		}
		d.Recorder.Metrics.Retries.WithLabelValues(r.Route.Pool.Name).Inc()
	}
}

// mayRetry reports whether the call may be sent again after an attempt failed with err. A repeat,
// any send after the first that reached a target, is reserved in the fleet's repeat budget for the
// pool, not in the account's retry budget as in Director.mayRetry.
func (f *forwarding) mayRetry(ctx context.Context, err error) bool {
	var typed *fault.Error
	if errors.As(err, &typed) || errors.Is(err, errCallerWrite) || errors.Is(err, errQuarantined) || errors.Is(err, errRepeatForbidden) || ctx.Err() != nil {
		return false
	}
	if errors.Is(err, target.ErrNoPath) && f.director.Exchanger.Connect.AllLost() {
		return false // The other targets cannot be reached either.
	}
	f.restrictRules()
	if !f.progress.MayRetry() || f.eventCount > 0 && !f.deliveredID { // Events without ids would be delivered again.
		return false
	}
	if f.progress.Sends() == 0 {
		return true // No send has reached a target, so this is not a repeat.
	}
	return f.repeatReserved.Load() || f.reserveRepeat()
}

// finishFailed ends a call that is not retried: with a target's own error answer if there is
// one, and otherwise with the error for the caller.
func (f *forwarding) finishFailed(ctx context.Context, err error) error {
	if f.errorAnswer != nil && !f.progress.AnswerStarted && (ctx.Err() == nil || endedByShutdown(ctx)) {
		return f.writeBuffered(f.errorAnswer) // Forward releases it.
	}
	execution := f.progress.Execution()
	var typed *fault.Error
	if errors.As(err, &typed) {
		if typed.Kind == fault.RepeatedRequest { // An earlier arrival of the request may have run.
			return typed
		}
		return typed.WithExecution(execution).WithConsistentStatus()
	}
	switch {
	case endedByShutdown(ctx):
		return ShutdownError().WithExecution(execution).WithConsistentStatus()
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fault.New(fault.DeadlinePassed,
			fmt.Sprintf("the answer was not complete within %v", f.request.Deadline.Sub(f.request.Arrived).Round(time.Millisecond)),
			"allow more time, or retry later").WithExecution(execution)
	case ctx.Err() != nil || errors.Is(err, errCallerWrite):
		return fault.New(fault.Abandoned, f.abandonedReason(), "nothing to do").WithExecution(execution)
	case execution == fault.NotRun:
		return fault.New(fault.NoTarget, "no target accepted the call: "+err.Error(), "retry after the time in Retry-After").WithRetry(rejectedRetryAfter)
	default:
		return fault.New(fault.TargetFailed, err.Error(), "see \"doorstack explain\" with the request id").WithExecution(execution)
	}
}

// abandonedReason says why a call gets no answer, and whether its caller has ended it.
func (f *forwarding) abandonedReason() string {
	if gone := f.request.Forward.CallerDisconnected; gone != nil && !gone() {
		return "the call was cancelled while its caller's connection is open"
	}
	return "the caller disconnected"
}

// rejectedRetryAfter is the Retry-After of a call that no target accepted: a target's queue
// advances within a few passes of its engine (see core/engine), each about 50 to 100 ms long.
const rejectedRetryAfter = 200 * time.Millisecond

// runAttempt places the call and sends it to one target.
func (f *forwarding) runAttempt(ctx context.Context) error {
	d, r := f.director, f.request
	attempt := NewAttemptID()
	retry := f.progress.Sends() > 0
	r.answerStarted = f.progress.AnswerStarted
	placement, err := d.placeBeforeShutdown(ctx, r, attempt, retry, f.excluded)
	if err != nil {
		return err
	}
	if !f.counted {
		d.Board.Repeats.CountCall(r.Route.Pool.Name)
		f.counted = true
	}
	if f.restrictRules(); retry && !f.progress.MayRetry() { // New settings came while the call waited.
		d.releasePlacement(r, &placement)
		return errRepeatForbidden
	}
	d.Recorder.MarkStage(blackboard.StagePlaced)
	f.lastTarget = placement.Decision.Chosen
	placed := time.Now()
	err = f.send(ctx, &placement)
	d.recordAnswerTime(ctx, r, placed, err)
	f.finishAttempt(ctx, &placement, err)
	return err
}

// How long no calls are sent to a target after it failed one: a full target has room
// after about one pass of its engine; a helper named in a rejection is dead, draining or
// unreachable; a target that refuses connections most likely does so for a while.
const (
	suspectFull        = 100 * time.Millisecond
	suspectMisdirected = 5 * time.Second // Another process has the address until the target's entry is corrected or removed.
	suspectHelper      = 2 * time.Second
	suspectUnreachable = time.Second
)

// suspectDuration returns how long the failed target of an attempt receives no calls.
func (f *forwarding) suspectDuration(err error) time.Duration {
	switch {
	case f.failedHelper != "":
		return suspectHelper
	case errors.Is(err, errMisdirected):
		return suspectMisdirected
	case errors.Is(err, errRejected):
		return suspectFull
	case target.ExecutionOf(err) == fault.NotRun:
		return suspectUnreachable
	default:
		return 0
	}
}

// failedTarget returns the target that the next attempt excludes: the helper named in the
// answer, or the target that the call was sent to.
func (f *forwarding) failedTarget(p *blackboard.Placement) string {
	for _, h := range p.Helpers {
		if f.failedHelper != "" && h.Address == f.failedHelper {
			return h.ID
		}
	}
	return p.Decision.Chosen
}

// The reasons why a target's answer is not delivered to the caller.
var (
	errRejected    = errors.New("the target rejected the call")
	errMisdirected = errors.Wrap(errRejected, "another process has the target's address")
	errUnusable    = errors.New("the target's answer must not be delivered to the caller")
	errTruncated   = errors.New("the target's answer was truncated")
	errTargetError = errors.New("the target answered with an error")
)

// errRepeatForbidden means that settings which came after the call's first send forbid a second one.
var errRepeatForbidden = errors.New("the route no longer allows the call to be sent again")

// truncatedError wraps errTruncated and the cause.
func truncatedError(cause error) error { return fmt.Errorf("%w: %w", errTruncated, cause) }

// send sends the call to the placement's target, once, and relays the answer.
func (f *forwarding) send(ctx context.Context, p *blackboard.Placement) error {
	d, r := f.director, f.request
	call := *r.Forward
	header := http.Header(r.Forward.Header).Clone()
	call.Header = header
	call.To = forward.Recipient{ID: p.Decision.Chosen, HealthPath: r.Route.Pool.Kind.HealthPath, Started: d.Board.Targets.Incarnation(p.Decision.Chosen)}
	call.ProbeConnection = probesConnection(p)
	call.BeforeSend = f.countRepeat
	d.Exchanger.Dialect.WriteSendParams(header, &forward.SendParams{
		Target: p.Decision.Chosen, Account: r.Account.Path, Timeout: time.Until(r.Deadline), LastEventID: f.lastEventID,
		Helpers: forwardHelpers(p),
	})
	f.failedHelper, f.attemptAnswer = "", answerProgress{}
	f.lastRelay, f.lastStatus, f.lastFraming, f.singleSend = "", 0, "", nil
	if !f.progress.Rules.Repeatable {
		call.Trace = &forward.SendTrace{}
	}
	reservations, err := d.reserveMemory(ctx, r, p)
	if err != nil {
		f.failedHelper = reservations.refusedBy
		return err // The call itself has not been sent.
	}
	defer reservations.release(ctx)
	attemptCtx, watch := f.watchSilence(ctx, p)
	defer watch.release()
	defer d.cancelOnQuarantine(r, watch.cancel)()
	f.partSendEnded = d.cancelOnPartQuarantine(r, watch.cancel)
	defer f.partSendEnded()
	f.silenceWatch = watch
	f.hold = d.Memory.NewHold(func() { watch.cancel(callmemory.ErrGaveWay) })
	defer f.hold.Release()
	reply, err := d.Exchanger.Send(attemptCtx, p.Address, &call)
	if err != nil {
		f.lastRelay = target.RelayOf(err)
		execution := target.ExecutionOf(err)
		f.recordSingleSend(p, call.Trace, execution)
		f.progress.RecordFailure(execution, execution != fault.NotRun)
		if errors.Is(err, target.ErrCallerDisconnected) {
			return errors.Wrap(errCallerWrite, err.Error())
		}
		return watch.stop(attemptCtx, err)
	}
	f.lastRelay, f.lastStatus, f.lastFraming = reply.Relay, reply.Status, reply.Framing()
	f.recordNotice(p.Decision.Chosen, reply)
	err = watch.stop(attemptCtx, f.handleReply(attemptCtx, reply, p))
	d.Exchanger.Close(reply)
	execution := executionAfterReply(err)
	f.recordSingleSend(p, call.Trace, execution)
	if err != nil {
		f.progress.RecordFailure(execution, true)
	}
	return err
}

// recordNotice records the notice that a target sent about itself with an answer. A rate limit,
// or a new notice that lifts it, is also reported to the coordinator, as it applies to all daemons.
func (f *forwarding) recordNotice(target string, reply *target.Reply) {
	d, pool, notice := f.director, f.request.Route.Pool.Name, reply.TargetNotice()
	d.Recorder.RecordUnknownHeaders(pool, target, reply.UnknownHeaders)
	news := d.Recorder.RecordNotice(pool, target, notice, reply.Sent)
	if d.Placer != nil && (notice.Limit.Declared || news && (notice.Limit.Lifted || notice.ColdFor > 0)) {
		d.Placer.ReportLimit(pool, target, notice, reply.Sent)
	}
}

// handleReply delivers an answer to the caller, keeps it as an error answer, or discards it,
// depending on its status and header.
func (f *forwarding) handleReply(ctx context.Context, reply *target.Reply, p *blackboard.Placement) error {
	verdict := reply.Classify()
	if f.progress.AnswerStarted {
		verdict = reply.ClassifyContinuation(f.mediaType)
	}
	switch verdict {
	case forward.Rejected:
		f.failedHelper = reply.FailedHelper
		cause := errRejected
		if reply.Misdirected() {
			cause = errMisdirected
		}
		if err := reply.DiscardArriving(); err != nil { // The head says all that is needed.
			return errors.Wrap(cause, err.Error())
		}
		return errors.Wrap(cause, fmt.Sprintf("status %d, failed helper %q", reply.Status, reply.FailedHelper))
	case forward.Unusable:
		return errors.Wrap(errUnusable, fmt.Sprintf("status %d, media type %q, signed by the target: %v, after the answer had started: %v",
			reply.Status, reply.MediaType, reply.Signed, f.progress.AnswerStarted))
	case forward.TargetError:
		return f.keepErrorAnswer(ctx, reply)
	case forward.Deliver:
	}
	if f.request.Path.Kind == settings.CallStreaming && reply.Status == http.StatusOK {
		return f.relay(ctx, reply, p)
	}
	f.attemptAnswer.began = time.Now()
	answer, err := f.holdAnswer(ctx, reply)
	if err != nil {
		return truncatedError(err)
	}
	defer func() { f.director.Memory.Release(answer.held) }()
	return f.writeBuffered(answer)
}

func (f *forwarding) recordAnswer(err error) {
	r := f.request
	completed := 0 // progress counts the failed sends.
	if err == nil {
		completed = 1
	}
	rec := decision.Record{
		Kind: decision.KindAnswer, Outcome: decision.OutcomeComplete, Target: f.lastTarget,
		Status: f.lastStatus, Framing: string(f.lastFraming),
		Stream: &decision.StreamTiming{Events: f.eventCount, Sends: f.progress.Sends() + completed, Skipped: f.skipped, FirstEvent: f.timeToFirstEvent, LongestGap: f.longestGap, Total: time.Since(r.Arrived), FirstEventGoal: r.firstEventGoal(), LongestGapGoal: r.gapGoal()},
	}
	if err == nil {
		f.director.Recorder.MarkStage(blackboard.StageAnswered)
	} else {
		rec.Outcome = decision.OutcomeFailed
		rec.Reason = fmt.Sprintf("after %d sends: %v", f.progress.Sends(), err)
	}
	if err == nil && f.lastRelay != "" {
		rec.Reason = "relayed by " + f.lastRelay
	}
	f.director.record(r, rec)
}
