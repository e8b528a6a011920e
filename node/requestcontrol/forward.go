package requestcontrol

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"doorstack.dev/core/decision"
	"doorstack.dev/core/fault"
	"doorstack.dev/core/forward"
	"doorstack.dev/core/settings"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/target"
	"github.com/go-faster/errors"
)

// AnswerWriter gives a forwarded answer to its caller.
type AnswerWriter interface {
	// Begin sends the head; length is -1 where it is not known.
	WriteHead(status int, h http.Header, length int64)
	// Write sends a part of the body at once.
	Write(p []byte) error
}

// forwarding is a forwarded call in progress. What the caller has been given lives
// here, across attempts, so that no event of a stream is ever given twice.
type forwarding struct {
	director *Director
	request  *Request
	out      AnswerWriter
	progress forward.Progress
	// lastEvent is the last event that the caller has.
	lastEventID string
	eventCount  int
	// first is the time to the first event, gap the longest pause between two, and
	// lastAt when the last one was given.
	timeToFirstEvent, longestGap time.Duration
	lastEventAt                  time.Time
	excluded                     []string
	// erred is a target's own failure, given to the caller if no other does better.
	errorAnswer *bufferedAnswer
	// last is the target last sent to, for the log, and atFault the address of the
	// helper that its answer blames.
	lastTarget, failedHelper string
	// readBy is the last attempt whose target has read the prompt.
	prefilledAttempt string
	// watched is the watch over the attempt under way.
	silenceWatch *silenceWatch
	// repeatTaken tells that the fleet's budget has been asked for the next send already.
	repeatCharged atomic.Bool
}

// bufferedAnswer is an answer that has been read to its end.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// Forward passes a call on to a target and gives its answer to out. The error is a
// *fault.Error; when the answer had begun, the caller's connection must be cut.
func (d *Director) Forward(ctx context.Context, r *Request, out AnswerWriter) error {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	f := &forwarding{director: d, request: r, out: out, lastEventID: r.LastEventID, progress: forward.Progress{
		Rules: forward.Rules{Repeatable: r.Route.Repeatable, MaxAttempts: r.Path.MaxAttempts},
	}}
	err := f.run(ctx)
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

// mayTryAgain decides whether a failed attempt is followed by another one.
func (f *forwarding) mayRetry(ctx context.Context, err error) bool {
	var typed *fault.Error
	if errors.As(err, &typed) || errors.Is(err, errCallerWrite) || errors.Is(err, errQuarantined) || ctx.Err() != nil {
		return false
	}
	if !f.progress.MayRetry() {
		return false
	}
	if f.progress.Sends() == 0 {
		return true // Nothing has reached a target, so nothing is repeated.
	}
	if f.repeatCharged.Swap(false) {
		return true
	}
	d := f.director
	return d.Board.Repeats.Take(f.request.Route.Pool.Name, d.Board.Members.Sharers(), time.Now())
}

// conclude ends a call that has failed for good.
func (f *forwarding) finishFailed(ctx context.Context, err error) error {
	if f.errorAnswer != nil && !f.progress.AnswerStarted && ctx.Err() == nil {
		return f.writeBuffered(f.errorAnswer)
	}
	execution := f.progress.Execution()
	var typed *fault.Error
	if errors.As(err, &typed) {
		return typed.WithExecution(execution).WithConsistentStatus()
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fault.New(fault.DeadlinePassed,
			fmt.Sprintf("the answer was not whole within %v", f.request.Deadline.Sub(f.request.Arrived).Round(time.Millisecond)),
			"allow more time, or send again later").WithExecution(execution)
	case ctx.Err() != nil || errors.Is(err, errCallerWrite):
		return fault.New(fault.Abandoned, "the caller went away", "nothing to do").WithExecution(execution)
	case execution == fault.NotRun:
		return fault.New(fault.NoTarget, "no target took the call: "+err.Error(), "send again after the time in Retry-After").WithRetry(rejectedRetryAfter)
	default:
		return fault.New(fault.TargetFailed, err.Error(), "see \"doorstack explain\" with the request id").WithExecution(execution)
	}
}

// rejectedRetryAfter is when a call that no target took is worth another try: a target's
// queue moves within some passes of its batch, each some 50 to 100 ms long.
const rejectedRetryAfter = 200 * time.Millisecond

// attempt places the call and sends it to one target.
func (f *forwarding) runAttempt(ctx context.Context) error {
	d, r := f.director, f.request
	attempt := NewAttemptID()
	again := f.progress.Sends() > 0
	r.answerStarted = f.progress.AnswerStarted
	placement, err := d.place(ctx, r, attempt, again, f.excluded)
	if err != nil {
		return err
	}
	if !again {
		d.Board.Repeats.Call(r.Route.Pool.Name, time.Now())
	}
	d.Recorder.Reach(blackboard.StagePlaced)
	f.lastTarget = placement.Decision.Chosen
	err = f.send(ctx, &placement)
	f.finishAttempt(ctx, &placement, err)
	return err
}

// finish books the end of an attempt and wakes whoever waits for its room.
func (f *forwarding) finishAttempt(ctx context.Context, p *blackboard.Placement, err error) {
	d := f.director
	result := blackboard.CallSucceeded
	switch {
	case err == nil:
	case ctx.Err() != nil || errors.Is(err, errCallerWrite) || errors.Is(err, errRejected) || errors.Is(err, errQuarantined):
		result = blackboard.CallCancelled
	default:
		result = blackboard.CallFailed
	}
	suspect, suspectFor := "", time.Duration(0)
	if err != nil {
		culprit := f.failedTarget(p)
		f.excluded = append(f.excluded, culprit)
		if suspectFor = f.suspectDuration(err); suspectFor > 0 && ctx.Err() == nil {
			suspect = culprit
			d.Board.Targets.Suspect(suspect, time.Now().Add(suspectFor), time.Now())
		}
		f.recordFailedAttempt(ctx, p.Attempt, culprit, err)
	}
	f.recordCrashOrSuccess(ctx, p, err)
	d.Board.Targets.Finish(p.Attempt, result, time.Now())
	if d.Placer != nil {
		d.Placer.ReportFinished(p.Attempt, result, suspect, suspectFor)
	}
	d.Board.Queues.Wake(f.request.Route.Pool.Name)
}

// noteEnd notes whether the target lived through the call. A failure that a target answers
// itself shows that it did.
func (f *forwarding) recordCrashOrSuccess(ctx context.Context, p *blackboard.Placement, err error) {
	switch {
	case err == nil || errors.Is(err, errTargetError):
		f.director.recordSuccess(f.request)
	case ctx.Err() == nil && !errors.Is(err, errCallerWrite):
		f.director.recordCrash(f.request, p.Decision.Chosen, err)
	}
}

// recordAttempt records why an attempt led to no answer.
func (f *forwarding) recordFailedAttempt(ctx context.Context, attempt, culprit string, err error) {
	rec := decision.Record{Kind: decision.KindAttempt, Outcome: decision.OutcomeFailed, Target: culprit, Attempt: attempt, Reason: err.Error(), CallKey: f.request.poisonKey().String()}
	if cause := ctx.Err(); cause != nil {
		rec.Outcome, rec.Reason = decision.OutcomeCancelled, cause.Error()
	}
	f.director.record(f.request, rec)
}

// How long nothing is sent to a target that turned a call away: one that is full for
// about a pass of its batch; a helper that an answer blames is dead, leaving or cut
// off; one that cannot be connected to most likely stays so for a while.
const (
	suspectFull        = 100 * time.Millisecond
	suspectHelper      = 2 * time.Second
	suspectUnreachable = time.Second
)

// suspicion is how long the culprit of a failed attempt is kept out.
func (f *forwarding) suspectDuration(err error) time.Duration {
	switch {
	case f.failedHelper != "":
		return suspectHelper
	case errors.Is(err, errRejected):
		return suspectFull
	case target.ExecutionOf(err) == fault.NotRun:
		return suspectUnreachable
	default:
		return 0
	}
}

// culprit is the target that the next attempt avoids: a helper that the answer names,
// or the one that the call was sent to.
func (f *forwarding) failedTarget(p *blackboard.Placement) string {
	for _, h := range p.Helpers {
		if f.failedHelper != "" && h.Address == f.failedHelper {
			return h.ID
		}
	}
	return p.Decision.Chosen
}

// The ways in which a target's answer does not serve.
var (
	errRejected    = errors.New("the target turned the call away")
	errUnusable    = errors.New("the target's answer cannot be given to the caller")
	errTruncated   = errors.New("the target's answer broke off")
	errTargetError = errors.New("the target failed")
)

// truncatedError says that an answer broke off, and keeps the cause.
func truncatedError(cause error) error { return fmt.Errorf("%w: %w", errTruncated, cause) }

// send makes one send and relays its answer.
func (f *forwarding) send(ctx context.Context, p *blackboard.Placement) error {
	d, r := f.director, f.request
	call := *r.Forward
	header := http.Header(r.Forward.Header).Clone()
	call.Header = header
	call.ProbeConnection = probesConnection(p)
	d.Exchanger.Dialect.WriteSend(header, &forward.SendParams{
		Target: p.Decision.Chosen, Account: r.Account.Path, Timeout: time.Until(r.Deadline), LastEventID: f.lastEventID,
		Helpers: forwardHelpers(p),
	})
	f.failedHelper = ""
	tickets, err := d.reserveMemory(ctx, r, p)
	if err != nil {
		f.failedHelper = tickets.refusedBy
		return err // Nothing has been sent of the call itself.
	}
	defer tickets.release(ctx)
	watched, silence := f.watchSilence(ctx, p)
	defer silence.release()
	defer d.cancelOnQuarantine(r, silence.cancel)()
	f.silenceWatch = silence
	reply, err := d.Exchanger.Send(watched, p.Address, &call)
	if err != nil {
		execution := target.ExecutionOf(err)
		f.progress.RecordFailure(execution, execution != fault.NotRun)
		if errors.Is(err, target.ErrCallerLeft) {
			return errors.Wrap(errCallerWrite, err.Error())
		}
		return silence.stop(watched, err)
	}
	f.recordNotice(p.Decision.Chosen, reply)
	err = silence.stop(watched, f.handleReply(reply, p))
	d.Exchanger.Close(reply)
	switch {
	case err == nil:
	case errors.Is(err, errRejected):
		f.progress.RecordFailure(fault.NotRun, true)
	default:
		f.progress.RecordFailure(fault.Unknown, true)
	}
	return err
}

// hear takes in what a target says of itself in an answer. Its limit concerns all daemons.
func (f *forwarding) recordNotice(target string, reply *target.Reply) {
	d, pool, said := f.director, f.request.Route.Pool.Name, reply.TargetNotice()
	d.Recorder.Unread(pool, target, reply.UnknownHeaders)
	news := d.Recorder.Notice(pool, target, said, reply.Sent)
	if d.Placer != nil && (said.Limit.Declared || news && said.Limit.Lifted) {
		d.Placer.ReportLimit(pool, target, said.Limit, reply.Sent)
	}
}

func forwardHelpers(p *blackboard.Placement) []forward.Helper {
	var helpers []forward.Helper
	for _, h := range p.Helpers {
		helpers = append(helpers, forward.Helper{Address: h.Address, ReservationID: reservationID(p, h.ID)})
	}
	return helpers
}

// take does with an answer what its head says that it is good for.
func (f *forwarding) handleReply(reply *target.Reply, p *blackboard.Placement) error {
	verdict := reply.Classify()
	if f.progress.AnswerStarted && verdict == forward.TargetError {
		verdict = forward.Unusable // The caller has the head of another run already.
	}
	switch verdict {
	case forward.Rejected:
		f.failedHelper = reply.FailedHelper
		if _, err := bufferAnswer(reply); err != nil {
			return errors.Wrap(errRejected, err.Error())
		}
		return errors.Wrap(errRejected, fmt.Sprintf("status %d, at fault %q", reply.Status, reply.FailedHelper))
	case forward.Unusable:
		return errors.Wrap(errUnusable, fmt.Sprintf("status %d, signed %v", reply.Status, reply.Signed))
	case forward.TargetError:
		return f.keepErrorAnswer(reply)
	case forward.Deliver:
	}
	if f.request.Path.Kind == settings.CallStreaming && reply.Status == http.StatusOK {
		return f.relay(reply, p)
	}
	answer, err := bufferAnswer(reply)
	if err != nil {
		return truncatedError(err)
	}
	return f.writeBuffered(answer)
}

// takeErred keeps a target's own failure, which goes to the caller unless another
// target does better.
func (f *forwarding) keepErrorAnswer(reply *target.Reply) error {
	answer, err := bufferAnswer(reply)
	if err != nil {
		return truncatedError(err)
	}
	f.errorAnswer = answer
	return errors.Wrap(errTargetError, fmt.Sprintf("status %d", reply.Status))
}

// maxBufferedAnswer bounds an answer that is held whole, so that a caller never gets
// half of one and a repeatable call can go to another target.
const maxBufferedAnswer = 8 << 20

func bufferAnswer(reply *target.Reply) (*bufferedAnswer, error) {
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxBufferedAnswer+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxBufferedAnswer {
		return nil, errors.New("the answer is over the bound")
	}
	return &bufferedAnswer{status: reply.Status, header: reply.Header, body: body}, nil
}

func (f *forwarding) writeBuffered(a *bufferedAnswer) error {
	f.progress.AnswerStarted = true
	f.out.WriteHead(a.status, a.header, int64(len(a.body)))
	if len(a.body) == 0 {
		return nil
	}
	if err := f.out.Write(a.body); err != nil {
		return errors.Wrap(errCallerWrite, err.Error())
	}
	return nil
}

func (f *forwarding) recordAnswer(err error) {
	r := f.request
	rec := decision.Record{
		Kind: decision.KindAnswer, Outcome: decision.OutcomeComplete, Target: f.lastTarget,
		Stream: &decision.StreamTiming{Events: f.eventCount, FirstEvent: f.timeToFirstEvent, LongestGap: f.longestGap, Total: time.Since(r.Arrived), FirstEventGoal: r.firstEventGoal(), LongestGapGoal: r.gapGoal()},
	}
	if err == nil {
		f.director.Recorder.Reach(blackboard.StageAnswered)
	} else {
		rec.Outcome = decision.OutcomeFailed
		rec.Reason = fmt.Sprintf("after %d sends: %v", f.progress.Sends(), err)
	}
	f.director.record(r, rec)
}
