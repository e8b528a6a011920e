package requestcontrol

import (
	"context"
	"fmt"
	"strings"
	"time"

	"doorstack.dev/core/decision"
	"doorstack.dev/core/fault"
	"doorstack.dev/core/routing"
	"doorstack.dev/core/stream"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/target"
	"doorstack.dev/node/telemetry"
	"github.com/go-faster/errors"
)

// generation is the state of a model request in progress. It spans all attempts and
// keeps what the caller has received, so that no token is delivered twice.
type generation struct {
	director         *Director
	request          *Request
	sink             TokenSink
	delivered        strings.Builder
	nextIndex        int64
	finishReason     string
	timeToFirstToken time.Duration
	excluded         []string
}

// errCallerWrite means that a write to the caller failed, or that the caller of a forwarded call had
// disconnected before the send.
var errCallerWrite = errors.New("writing the answer to the caller failed")

// Generate runs a model request and writes its answer to sink, token by token.
// The error is nil only after the complete answer, and otherwise a *fault.Error.
func (d *Director) Generate(ctx context.Context, r *Request, sink TokenSink) (GenerateResult, error) {
	done, err := d.admit(ctx, r)
	if err != nil {
		return GenerateResult{}, err
	}
	defer done()
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	g := &generation{director: d, request: r, sink: sink}
	err = g.run(ctx)
	d.recordAnswer(r, g.nextIndex, err)
	if err != nil {
		return GenerateResult{}, err
	}
	return GenerateResult{Tokens: g.nextIndex, FinishReason: g.finishReason, TimeToFirstToken: g.timeToFirstToken}, nil
}

func (g *generation) run(ctx context.Context) error {
	for attempts := 1; ; attempts++ {
		err := g.runAttempt(ctx, attempts > 1)
		if err == nil {
			return nil
		}
		var typed *fault.Error
		if errors.As(err, &typed) {
			return g.correctExecution(typed)
		}
		if errors.Is(err, errCallerWrite) || !g.director.mayRetry(ctx, g.request, attempts, err) {
			return g.correctExecution(g.director.errorForCaller(ctx, g.request, err))
		}
	}
}

// correctExecution corrects the execution state of a failure for earlier attempts: an
// engine has run the request if tokens were delivered, and may have run it after any
// failed call.
func (g *generation) correctExecution(e *fault.Error) *fault.Error {
	if g.nextIndex > 0 {
		return e.WithExecution(fault.Ran)
	}
	if len(g.excluded) > 0 && e.Execution == fault.NotRun {
		return e.WithExecution(fault.Unknown)
	}
	return e
}

// runAttempt places the request and obtains the rest of the answer from one target.
func (g *generation) runAttempt(ctx context.Context, retry bool) error {
	d := g.director
	attempt := NewAttemptID()
	placement, err := d.place(ctx, g.request, attempt, retry, g.excluded)
	if err != nil {
		return err
	}
	if placement.Decision.Verdict == routing.Group {
		return d.generateInGroup(ctx, g, attempt)
	}
	call := &target.GenerateRequest{
		Attempt:      attempt,
		Model:        g.request.Route.Pool.Model,
		Prompt:       g.request.Prompt,
		MaxTokens:    g.request.MaxTokens,
		Level:        g.request.Route.Rules.Level,
		FirstIndex:   g.nextIndex,
		Continuation: g.delivered.String(),
	}
	callCtx, cancel := cancelWhenGone(ctx, placement.Gone)
	sent, firstIndex := time.Now(), g.nextIndex
	err = g.streamAnswer(callCtx, placement.Decision.Chosen, placement.Address, call)
	cancel()
	g.finishCall(ctx, placement.Decision.Chosen, attempt, err)
	g.recordPartEnd(ctx, placement.Decision.Chosen, sent, int(g.nextIndex-firstIndex), err)
	return err
}

// cancelWhenGone returns a context that also ends when the target is considered gone.
// A frozen engine neither answers nor closes the connection and is detected only by its
// missing load reports. The answer then continues at another target.
func cancelWhenGone(ctx context.Context, gone <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-gone:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// finishCall records the end of a call and wakes the pool's queue for the freed room.
func (g *generation) finishCall(ctx context.Context, id, attempt string, err error) {
	d := g.director
	result := blackboard.CallSucceeded
	switch {
	case err == nil:
		d.Board.Prefixes.Stored(id, g.request.prefixes)
		d.recordSuccess(g.request)
	case ctx.Err() != nil || errors.Is(err, errCallerWrite):
		result = blackboard.CallCancelled
	default:
		result = blackboard.CallFailed
		if !isBusyRefusal(err) {
			g.excluded = append(g.excluded, id)
		}
		d.record(g.request, decision.Record{Kind: decision.KindAttempt, Outcome: decision.OutcomeFailed, Target: id, Attempt: attempt, Reason: err.Error()})
		d.recordCrash(g.request, id, err)
	}
	d.Board.Targets.Finish(attempt, result, time.Now())
	d.Board.Queues.Wake(g.request.Route.Pool.Name)
}

// isBusyRefusal reports whether the target refused the call only for a temporary lack of room.
func isBusyRefusal(err error) bool {
	var call *target.CallError
	return errors.As(err, &call) && call.Refused() && call.Code == target.CodeBusy
}

// streamAnswer streams one call's answer. If the connection breaks while the engine
// is alive, it resumes the same stream instead of starting another.
func (g *generation) streamAnswer(ctx context.Context, id, address string, call *target.GenerateRequest) error {
	d := g.director
	assembler := stream.NewAssembler(call.Attempt, call.FirstIndex)
	deliver := g.tokenHandler(call.Attempt)
	push := func(c stream.Chunk) error { return assembler.Push(c, deliver) }
	err := d.Targets.Generate(ctx, address, call, push)
	err = finishStream(assembler, err)
	if err != nil && canResume(ctx, err, assembler) {
		resume := target.ResumeRequest{Attempt: call.Attempt, From: assembler.Next()}
		resumeErr := finishStream(assembler, d.Targets.Resume(ctx, address, resume, push))
		d.record(g.request, decision.Record{
			Kind: decision.KindAttempt, Outcome: "resumed", Target: id, Attempt: call.Attempt,
			Reason: fmt.Sprintf("%v; from token %d", err, resume.From),
		})
		err = resumeError(err, resumeErr)
	}
	if err != nil {
		d.cancelCall(ctx, address, call.Attempt, err)
		return endTooLong(err)
	}
	g.finishReason = assembler.FinishReason()
	return nil
}

// endTooLong makes the failure of an answer that is too long final: the next engine would have to continue its text.
func endTooLong(err error) error {
	if !errors.Is(err, stream.ErrTooLong) {
		return err
	}
	return fault.New(fault.TargetFailed, err.Error(), "see \"doorstack explain\" with the request id").WithExecution(fault.Ran)
}

// resumeError returns the error of a stream that was resumed after streamErr. If the engine
// could not be reached to resume, streamErr is returned, as it says more about the engine.
func resumeError(streamErr, resumeErr error) error {
	if resumeErr != nil && target.ExecutionOf(resumeErr) == fault.NotRun {
		return streamErr
	}
	return resumeErr
}

// finishStream returns nil if the answer is complete, and otherwise err or the assembler's error.
func finishStream(a *stream.Assembler, err error) error {
	if a.Complete() {
		return nil // Errors after the complete answer do not matter.
	}
	if err != nil {
		return err
	}
	if err := a.Close(); err != nil {
		return &target.CallError{Execution: fault.Unknown, Err: err}
	}
	return nil
}

// canResume reports whether the same engine can be asked for the rest of the answer: its
// stream broke off after some tokens, the engine has not refused the call, reported an error,
// sent conflicting data or too much of it, and no write to the caller failed.
func canResume(ctx context.Context, err error, a *stream.Assembler) bool {
	if ctx.Err() != nil || errors.Is(err, errCallerWrite) || errors.Is(err, stream.ErrConflict) || errors.Is(err, stream.ErrTooLong) {
		return false
	}
	return target.ExecutionOf(err) == fault.Unknown && a.Next() > 0
}

// cancelTimeout bounds the call that cancels an abandoned stream at its engine.
const cancelTimeout = 2 * time.Second

// cancelCall cancels an abandoned stream at its engine. It runs in the background, so
// that it does not delay the answer, and also after the caller has disconnected.
func (d *Director) cancelCall(ctx context.Context, address, attempt string, err error) {
	if target.ExecutionOf(err) == fault.NotRun {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
		defer cancel()
		_ = d.Targets.Cancel(ctx, address, attempt)
	}()
}

// tokenHandler returns a function that delivers an attempt's tokens to the caller.
func (g *generation) tokenHandler(attempt string) func(int64, string) error {
	prefillDone := false
	return func(index int64, text string) error {
		if g.nextIndex == 0 {
			g.recordFirstToken()
		}
		if !prefillDone {
			prefillDone = true
			g.director.Board.Targets.RecordPrefillDone(attempt, time.Now())
		}
		if err := g.sink.Token(index, text); err != nil {
			return errors.Wrap(errCallerWrite, err.Error())
		}
		g.delivered.WriteString(text)
		g.nextIndex = index + 1
		g.director.Recorder.Metrics.Tokens.Inc()
		return nil
	}
}

func (g *generation) recordFirstToken() {
	g.timeToFirstToken = time.Since(g.request.Arrived)
	class := telemetry.LengthClass(g.request.promptTokens)
	g.director.Recorder.Metrics.FirstToken.WithLabelValues(class).Observe(g.timeToFirstToken.Seconds())
}

func (d *Director) recordAnswer(r *Request, tokens int64, err error) {
	rec := decision.Record{Kind: decision.KindAnswer, Outcome: decision.OutcomeComplete, Reason: fmt.Sprintf("%d tokens in %v", tokens, time.Since(r.Arrived).Round(time.Millisecond))}
	if err != nil {
		rec.Outcome = decision.OutcomeFailed
		rec.Reason = fmt.Sprintf("after %d tokens: %v", tokens, err)
	}
	d.record(r, rec)
}
