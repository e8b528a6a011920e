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
	Begin(status int, h http.Header, length int64)
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
	lastEvent string
	events    int
	// first is the time to the first event, gap the longest pause between two, and
	// lastAt when the last one was given.
	first, gap time.Duration
	lastAt     time.Time
	exclude    []string
	// erred is a target's own failure, given to the caller if no other does better.
	erred *wholeAnswer
	// last is the target last sent to, for the log, and atFault the address of the
	// helper that its answer blames.
	last, atFault string
	// readBy is the last attempt whose target has read the prompt.
	readBy string
	// watched is the watch over the attempt under way.
	watched *silence
	// repeatTaken tells that the fleet's budget has been asked for the next send already.
	repeatTaken atomic.Bool
}

// wholeAnswer is an answer that has been read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// Forward passes a call on to a target and gives its answer to out. The error is a
// *fault.Error; when the answer had begun, the caller's connection must be cut.
func (d *Director) Forward(ctx context.Context, r *Request, out AnswerWriter) error {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	f := &forwarding{director: d, request: r, out: out, lastEvent: r.LastEvent, progress: forward.Progress{
		Rules: forward.Rules{Repeatable: r.Route.Repeatable, MaxAttempts: r.Path.MaxAttempts},
	}}
	err := f.run(ctx)
	f.recordAnswer(err)
	return err
}

func (f *forwarding) run(ctx context.Context) error {
	d, r := f.director, f.request
	for {
		err := f.attempt(ctx)
		if err == nil {
			return nil
		}
		if !f.mayTryAgain(ctx, err) {
			return f.conclude(ctx, err)
		}
		d.Record.Metrics.Retries.WithLabelValues(r.Route.Pool.Name).Inc()
	}
}

// mayTryAgain decides whether a failed attempt is followed by another one.
func (f *forwarding) mayTryAgain(ctx context.Context, err error) bool {
	var typed *fault.Error
	if errors.As(err, &typed) || errors.Is(err, errSink) || errors.Is(err, errQuarantined) || ctx.Err() != nil {
		return false
	}
	if !f.progress.MayRetry() {
		return false
	}
	if f.progress.Sends() == 0 {
		return true // Nothing has reached a target, so nothing is repeated.
	}
	if f.repeatTaken.Swap(false) {
		return true
	}
	d := f.director
	return d.Board.Repeats.Take(f.request.Route.Pool.Name, d.Board.Members.Sharers(), time.Now())
}

// conclude ends a call that has failed for good.
func (f *forwarding) conclude(ctx context.Context, err error) error {
	if f.erred != nil && !f.progress.AnswerStarted && ctx.Err() == nil {
		return f.giveWhole(f.erred)
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
	case ctx.Err() != nil || errors.Is(err, errSink):
		return fault.New(fault.Abandoned, "the caller went away", "nothing to do").WithExecution(execution)
	case execution == fault.NotRun:
		return fault.New(fault.NoTarget, "no target took the call: "+err.Error(), "send again after the time in Retry-After").WithRetry(refusedRetry)
	default:
		return fault.New(fault.TargetFailed, err.Error(), "see \"doorstack explain\" with the request id").WithExecution(execution)
	}
}

// refusedRetry is when a call that no target took is worth another try: a target's
// queue moves within some passes of its batch, each some 50 to 100 ms long.
const refusedRetry = 200 * time.Millisecond

// attempt places the call and sends it to one target.
func (f *forwarding) attempt(ctx context.Context) error {
	d, r := f.director, f.request
	attempt := NewAttempt()
	again := f.progress.Sends() > 0
	r.begun = f.progress.AnswerStarted
	placement, err := d.place(ctx, r, attempt, again, f.exclude)
	if err != nil {
		return err
	}
	if !again {
		d.Board.Repeats.Call(r.Route.Pool.Name, time.Now())
	}
	d.Record.Reach(blackboard.StagePlaced)
	f.last = placement.Decision.Chosen
	err = f.send(ctx, &placement)
	f.finish(ctx, &placement, err)
	return err
}

// finish books the end of an attempt and wakes whoever waits for its room.
func (f *forwarding) finish(ctx context.Context, p *blackboard.Placement, err error) {
	d := f.director
	result := blackboard.CallSucceeded
	switch {
	case err == nil:
	case ctx.Err() != nil || errors.Is(err, errSink) || errors.Is(err, errTurnedAway) || errors.Is(err, errQuarantined):
		result = blackboard.CallCancelled
	default:
		result = blackboard.CallFailed
	}
	suspect, suspectFor := "", time.Duration(0)
	if err != nil {
		culprit := f.culprit(p)
		f.exclude = append(f.exclude, culprit)
		if suspectFor = f.suspicion(err); suspectFor > 0 && ctx.Err() == nil {
			suspect = culprit
			d.Board.Targets.Suspect(suspect, time.Now().Add(suspectFor), time.Now())
		}
		f.recordAttempt(ctx, p.Attempt, culprit, err)
	}
	f.noteEnd(ctx, p, err)
	d.Board.Targets.Finish(p.Attempt, result, time.Now())
	if d.Placer != nil {
		d.Placer.Finished(p.Attempt, result, suspect, suspectFor)
	}
	d.Board.Queues.Wake(f.request.Route.Pool.Name)
}

// noteEnd notes whether the target lived through the call. A failure that a target answers
// itself shows that it did.
func (f *forwarding) noteEnd(ctx context.Context, p *blackboard.Placement, err error) {
	switch {
	case err == nil || errors.Is(err, errErred):
		f.director.noteAnswered(f.request)
	case ctx.Err() == nil && !errors.Is(err, errSink):
		f.director.noteFailed(f.request, p.Decision.Chosen, err)
	}
}

// recordAttempt records why an attempt led to no answer.
func (f *forwarding) recordAttempt(ctx context.Context, attempt, culprit string, err error) {
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
func (f *forwarding) suspicion(err error) time.Duration {
	switch {
	case f.atFault != "":
		return suspectHelper
	case errors.Is(err, errTurnedAway):
		return suspectFull
	case target.ExecutionOf(err) == fault.NotRun:
		return suspectUnreachable
	default:
		return 0
	}
}

// culprit is the target that the next attempt avoids: a helper that the answer names,
// or the one that the call was sent to.
func (f *forwarding) culprit(p *blackboard.Placement) string {
	for _, h := range p.Helpers {
		if f.atFault != "" && h.Address == f.atFault {
			return h.ID
		}
	}
	return p.Decision.Chosen
}

// The ways in which a target's answer does not serve.
var (
	errTurnedAway = errors.New("the target turned the call away")
	errUseless    = errors.New("the target's answer cannot be given to the caller")
	errBroken     = errors.New("the target's answer broke off")
	errErred      = errors.New("the target failed")
)

// brokenOff says that an answer broke off, and keeps the cause.
func brokenOff(cause error) error { return fmt.Errorf("%w: %w", errBroken, cause) }

// send makes one send and relays its answer.
func (f *forwarding) send(ctx context.Context, p *blackboard.Placement) error {
	d, r := f.director, f.request
	call := *r.Forward
	header := http.Header(r.Forward.Header).Clone()
	call.Header = header
	call.ProbeConnection = probed(p)
	d.Exchange.Dialect.WriteSend(header, &forward.SendParams{
		Target: p.Decision.Chosen, Account: r.Account.Path, Timeout: time.Until(r.Deadline), LastEventID: f.lastEvent,
		Helpers: helpersOf(p),
	})
	f.atFault = ""
	tickets, err := d.reserveTickets(ctx, r, p)
	if err != nil {
		f.atFault = tickets.refusedBy
		return err // Nothing has been sent of the call itself.
	}
	defer tickets.release(ctx)
	watched, silence := f.watch(ctx, p)
	defer silence.release()
	defer d.watchForQuarantine(r, silence.cancel)()
	f.watched = silence
	reply, err := d.Exchange.Send(watched, p.Address, &call)
	if err != nil {
		execution := target.ExecutionOf(err)
		f.progress.RecordFailure(execution, execution != fault.NotRun)
		if errors.Is(err, target.ErrCallerLeft) {
			return errors.Wrap(errSink, err.Error())
		}
		return silence.stop(watched, err)
	}
	f.hear(p.Decision.Chosen, reply)
	err = silence.stop(watched, f.take(reply, p))
	d.Exchange.Close(reply)
	switch {
	case err == nil:
	case errors.Is(err, errTurnedAway):
		f.progress.RecordFailure(fault.NotRun, true)
	default:
		f.progress.RecordFailure(fault.Unknown, true)
	}
	return err
}

// hear takes in what a target says of itself in an answer. Its limit concerns all daemons.
func (f *forwarding) hear(target string, reply *target.Reply) {
	d, pool, said := f.director, f.request.Route.Pool.Name, reply.TargetNotice()
	d.Record.Unread(pool, target, reply.UnknownHeaders)
	news := d.Record.Notice(pool, target, said, reply.Sent)
	if d.Placer != nil && (said.Limit.Declared || news && said.Limit.Lifted) {
		d.Placer.LimitSaid(pool, target, said.Limit, reply.Sent)
	}
}

func helpersOf(p *blackboard.Placement) []forward.Helper {
	var helpers []forward.Helper
	for _, h := range p.Helpers {
		helpers = append(helpers, forward.Helper{Address: h.Address, ReservationID: ticketID(p, h.ID)})
	}
	return helpers
}

// take does with an answer what its head says that it is good for.
func (f *forwarding) take(reply *target.Reply, p *blackboard.Placement) error {
	verdict := reply.Classify()
	if f.progress.AnswerStarted && verdict == forward.TargetError {
		verdict = forward.Unusable // The caller has the head of another run already.
	}
	switch verdict {
	case forward.Rejected:
		f.atFault = reply.FailedHelper
		if _, err := readWhole(reply); err != nil {
			return errors.Wrap(errTurnedAway, err.Error())
		}
		return errors.Wrap(errTurnedAway, fmt.Sprintf("status %d, at fault %q", reply.Status, reply.FailedHelper))
	case forward.Unusable:
		return errors.Wrap(errUseless, fmt.Sprintf("status %d, signed %v", reply.Status, reply.Signed))
	case forward.TargetError:
		return f.takeErred(reply)
	case forward.Deliver:
	}
	if f.request.Path.Kind == settings.CallStreaming && reply.Status == http.StatusOK {
		return f.relay(reply, p)
	}
	answer, err := readWhole(reply)
	if err != nil {
		return brokenOff(err)
	}
	return f.giveWhole(answer)
}

// takeErred keeps a target's own failure, which goes to the caller unless another
// target does better.
func (f *forwarding) takeErred(reply *target.Reply) error {
	answer, err := readWhole(reply)
	if err != nil {
		return brokenOff(err)
	}
	f.erred = answer
	return errors.Wrap(errErred, fmt.Sprintf("status %d", reply.Status))
}

// maxWholeAnswer bounds an answer that is held whole, so that a caller never gets
// half of one and a repeatable call can go to another target.
const maxWholeAnswer = 8 << 20

func readWhole(reply *target.Reply) (*wholeAnswer, error) {
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxWholeAnswer+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxWholeAnswer {
		return nil, errors.New("the answer is over the bound")
	}
	return &wholeAnswer{status: reply.Status, header: reply.Header, body: body}, nil
}

func (f *forwarding) giveWhole(a *wholeAnswer) error {
	f.progress.AnswerStarted = true
	f.out.Begin(a.status, a.header, int64(len(a.body)))
	if len(a.body) == 0 {
		return nil
	}
	if err := f.out.Write(a.body); err != nil {
		return errors.Wrap(errSink, err.Error())
	}
	return nil
}

func (f *forwarding) recordAnswer(err error) {
	r := f.request
	rec := decision.Record{
		Kind: decision.KindAnswer, Outcome: decision.OutcomeComplete, Target: f.last,
		Stream: &decision.StreamTiming{Events: f.events, FirstEvent: f.first, LongestGap: f.gap, Total: time.Since(r.Arrived), FirstEventGoal: r.goal(), LongestGapGoal: r.gapGoal()},
	}
	if err == nil {
		f.director.Record.Reach(blackboard.StageAnswered)
	} else {
		rec.Outcome = decision.OutcomeFailed
		rec.Reason = fmt.Sprintf("after %d sends: %v", f.progress.Sends(), err)
	}
	f.director.record(r, rec)
}
