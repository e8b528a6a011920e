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

// generation is a model request in progress. What the caller has been given
// lives here, across attempts, so that no token is ever given twice.
type generation struct {
	director *Director
	request  *Request
	sink     Sink
	given    strings.Builder
	next     int64
	finish   string
	first    time.Duration
	exclude  []string
}

// errSink marks a failure to write to the caller.
var errSink = errors.New("the caller does not take the answer")

// Generate runs a model request and gives its answer to sink, token by token.
// It returns nil only after the whole answer; the error is a *fault.Error.
func (d *Director) Generate(ctx context.Context, r *Request, sink Sink) (Result, error) {
	done, err := d.admit(ctx, r)
	if err != nil {
		return Result{}, err
	}
	defer done()
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	g := &generation{director: d, request: r, sink: sink}
	err = g.run(ctx)
	d.recordAnswer(r, g.next, err)
	if err != nil {
		return Result{}, err
	}
	return Result{Tokens: g.next, FinishReason: g.finish, FirstToken: g.first}, nil
}

func (g *generation) run(ctx context.Context) error {
	for attempts := 1; ; attempts++ {
		err := g.attempt(ctx, attempts > 1)
		if err == nil {
			return nil
		}
		var typed *fault.Error
		if errors.As(err, &typed) {
			return g.whatRan(typed)
		}
		if errors.Is(err, errSink) || !g.director.mayRetry(ctx, g.request, attempts, err) {
			return g.whatRan(g.director.callError(ctx, g.request, err))
		}
	}
}

// whatRan corrects a failure of a later attempt: once tokens were given, an
// engine has run.
func (g *generation) whatRan(e *fault.Error) *fault.Error {
	if g.next > 0 {
		return e.WithExecution(fault.Ran)
	}
	if len(g.exclude) > 0 && e.Execution == fault.NotRun {
		return e.WithExecution(fault.Unknown)
	}
	return e
}

// attempt places the request and asks one target for what is still missing.
func (g *generation) attempt(ctx context.Context, retry bool) error {
	d := g.director
	attempt := NewAttempt()
	placement, err := d.place(ctx, g.request, attempt, retry, g.exclude)
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
		FirstIndex:   g.next,
		Continuation: g.given.String(),
	}
	asking, cancel := untilGone(ctx, placement.Gone)
	err = g.ask(asking, placement.Decision.Chosen, placement.Address, call)
	cancel()
	g.finishCall(ctx, placement.Decision.Chosen, attempt, err)
	return err
}

// untilGone returns a context that also ends when the target is taken to be gone.
// A frozen engine neither answers nor closes the connection; its missing reports
// are what tells, and the answer goes on elsewhere.
func untilGone(ctx context.Context, gone <-chan struct{}) (context.Context, context.CancelFunc) {
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

// finishCall books the end of a call and wakes whoever waits for its room.
func (g *generation) finishCall(ctx context.Context, id, attempt string, err error) {
	d := g.director
	result := blackboard.CallSucceeded
	switch {
	case err == nil:
		d.Board.Prefixes.Stored(id, g.request.prefixes)
		d.noteAnswered(g.request)
	case ctx.Err() != nil || errors.Is(err, errSink):
		result = blackboard.CallCancelled
	default:
		result = blackboard.CallFailed
		if !refusedBusy(err) {
			g.exclude = append(g.exclude, id)
		}
		d.record(g.request, decision.Record{Kind: decision.KindAttempt, Outcome: decision.OutcomeFailed, Target: id, Attempt: attempt, Reason: err.Error()})
		d.noteFailed(g.request, id, err)
	}
	d.Board.Targets.Finish(attempt, result, time.Now())
	d.Board.Queues.Wake(g.request.Route.Pool.Name)
}

// refusedBusy tells whether the target only lacked room for the moment.
func refusedBusy(err error) bool {
	var call *target.CallError
	return errors.As(err, &call) && call.Refused() && call.Code == target.CodeBusy
}

// ask streams one call's answer. Where the connection breaks but the engine
// lives, it takes up the same stream again instead of starting another.
func (g *generation) ask(ctx context.Context, id, address string, call *target.GenerateRequest) error {
	d := g.director
	assembler := stream.NewAssembler(call.Attempt, call.FirstIndex)
	give := g.give(call.Attempt)
	push := func(c stream.Chunk) error { return assembler.Push(c, give) }
	err := d.Targets.Generate(ctx, address, call, push)
	err = closeStream(assembler, err)
	if err != nil && resumable(ctx, err, assembler) {
		resume := target.ResumeRequest{Attempt: call.Attempt, From: assembler.Next()}
		again := closeStream(assembler, d.Targets.Resume(ctx, address, resume, push))
		d.record(g.request, decision.Record{
			Kind: decision.KindAttempt, Outcome: "resumed", Target: id, Attempt: call.Attempt,
			Reason: fmt.Sprintf("%v; from token %d", err, resume.From),
		})
		err = lastOf(err, again)
	}
	if err != nil {
		d.cancelCall(ctx, address, call.Attempt, err)
		return err
	}
	g.finish = assembler.FinishReason()
	return nil
}

// lastOf is how a stream ended that broke off and was taken up again. Where the engine cannot
// be reached any more, that it broke off is what tells of the engine.
func lastOf(brokeOff, again error) error {
	if again != nil && target.ExecutionOf(again) == fault.NotRun {
		return brokeOff
	}
	return again
}

func closeStream(a *stream.Assembler, err error) error {
	if a.Complete() {
		return nil // Whatever broke afterwards, the answer is whole.
	}
	if err != nil {
		return err
	}
	if err := a.Close(); err != nil {
		return &target.CallError{Execution: fault.Unknown, Err: err}
	}
	return nil
}

// resumable tells whether it is worth asking the same engine for the rest: its
// stream broke off, it did not refuse, lie or fail.
func resumable(ctx context.Context, err error, a *stream.Assembler) bool {
	if ctx.Err() != nil || errors.Is(err, errSink) || errors.Is(err, stream.ErrConflict) {
		return false
	}
	return target.ExecutionOf(err) == fault.Unknown && a.Next() > 0
}

// cancelTimeout bounds the call that frees an engine of an abandoned stream.
const cancelTimeout = 2 * time.Second

// cancelCall frees the engine of a stream that nobody will read to its end. It
// works after the caller has gone, and does not hold up the answer.
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

// give passes a token on to the caller.
func (g *generation) give(attempt string) func(int64, string) error {
	read := false
	return func(index int64, text string) error {
		if g.next == 0 {
			g.firstToken()
		}
		if !read {
			read = true
			g.director.Board.Targets.PromptRead(attempt, time.Now())
		}
		if err := g.sink.Token(index, text); err != nil {
			return errors.Wrap(errSink, err.Error())
		}
		g.given.WriteString(text)
		g.next = index + 1
		g.director.Record.Metrics.Tokens.Inc()
		return nil
	}
}

func (g *generation) firstToken() {
	g.first = time.Since(g.request.Arrived)
	class := telemetry.LengthClass(g.request.promptTokens)
	g.director.Record.Metrics.FirstToken.WithLabelValues(class).Observe(g.first.Seconds())
}

func (d *Director) recordAnswer(r *Request, tokens int64, err error) {
	rec := decision.Record{Kind: decision.KindAnswer, Outcome: decision.OutcomeComplete, Reason: fmt.Sprintf("%d tokens in %v", tokens, time.Since(r.Arrived).Round(time.Millisecond))}
	if err != nil {
		rec.Outcome = decision.OutcomeFailed
		rec.Reason = fmt.Sprintf("after %d tokens: %v", tokens, err)
	}
	d.record(r, rec)
}
