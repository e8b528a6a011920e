package requestcontrol

import (
	"context"
	"fmt"
	"time"

	"doorstack.dev/core/decision"
	"doorstack.dev/core/fault"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/target"
	"github.com/go-faster/errors"
)

// CallService runs a call of a plain service and returns its complete answer. A call
// that may not be repeated is sent once; if it has an idempotency key it is claimed
// first, so that no other daemon sends it either.
func (d *Director) CallService(ctx context.Context, r *Request) (*target.ServiceAnswer, error) {
	done, err := d.admit(ctx, r)
	if err != nil {
		return nil, r.errorBeforeClaim(err)
	}
	defer done()
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	answer, err := d.claimAndCall(ctx, r)
	d.recordAnswer(r, 0, err)
	return answer, err
}

// claimAndCall claims the call if that is required, sends it and records the outcome of the claim. A call whose permit
// expired before it was sent is claimed again.
func (d *Director) claimAndCall(ctx context.Context, r *Request) (*target.ServiceAnswer, error) {
	if r.Route.Repeatable || r.IdempotencyKey == "" {
		return d.callWithRetries(ctx, r, nil)
	}
	for {
		answer, err := d.callOnClaim(ctx, r)
		if !errors.Is(err, errPermitExpired) || ctx.Err() != nil {
			return answer, err
		}
	}
}

// callOnClaim claims the call, sends it and records the outcome of the claim.
func (d *Director) callOnClaim(ctx context.Context, r *Request) (*target.ServiceAnswer, error) {
	claim := Claim{
		Key:       r.Account.Path + "|" + r.Route.Name + "|" + r.IdempotencyKey,
		CallerKey: r.IdempotencyKey,
		Attempt:   NewAttemptID(),
		Request:   r.ID,
		Region:    d.Board.Self.Region,
		Deadline:  r.Deadline,
	}
	suspended := d.SuspendedTime()
	permit, err := d.Claimer.Claim(ctx, claim)
	d.recordClaim(r, claim, permit, err)
	if err != nil {
		return duplicateAnswer(err)
	}
	claim.Attempt = permit.Attempt
	permit.SuspendedAtClaim = suspended
	answer, err := d.callWithRetries(ctx, r, permit)
	outcome := blackboard.Outcome{Execution: fault.Ran, Answer: answer}
	if err != nil {
		outcome.Execution = fault.From(err).Execution
	}
	d.Claimer.RecordOutcome(claim, outcome)
	return answer, err
}

// errorBeforeClaim corrects the execution state of a call that was refused before its
// key was claimed. This call was not sent, but an earlier call with the same key may
// have been, and the caller would take "not run" to apply to both.
func (r *Request) errorBeforeClaim(err error) error {
	e := fault.From(err)
	if r.IdempotencyKey == "" || r.Route.Repeatable || e.Execution != fault.NotRun {
		return err
	}
	return e.WithExecution(fault.Unknown)
}

// duplicateAnswer returns the answer of the earlier call if err is a *DuplicateError that has
// one, and otherwise an error.
func duplicateAnswer(err error) (*target.ServiceAnswer, error) {
	var duplicate *DuplicateError
	if !errors.As(err, &duplicate) {
		return nil, err
	}
	if duplicate.Outcome.Answer != nil {
		return duplicate.Outcome.Answer, nil
	}
	return nil, fault.New(fault.DuplicateKey,
		"an earlier call used this idempotency key and its answer is not known",
		"check at the service whether it ran; use a new key only if it did not").
		WithExecution(duplicate.Outcome.Execution)
}

// callWithRetries places and sends the call, and retries it as far as that is allowed. permit is
// nil for a call that is not claimed.
func (d *Director) callWithRetries(ctx context.Context, r *Request, permit *Permit) (*target.ServiceAnswer, error) {
	var excluded []string
	sent := false
	for attempts := 1; ; attempts++ {
		attempt := NewAttemptID()
		placement, err := d.place(ctx, r, attempt, attempts > 1, excluded)
		if err != nil {
			return nil, executionAfterSend(fault.From(err), sent)
		}
		answer, err := d.sendServiceCall(ctx, r, permit, placement)
		d.finishServiceCall(ctx, r, placement, err)
		if err == nil {
			return answer, nil
		}
		sent = sent || !errors.Is(err, errPermitExpired) && target.ExecutionOf(err) != fault.NotRun
		if !d.mayRetry(ctx, r, attempts, err) {
			return nil, executionAfterSend(d.errorForCaller(ctx, r, err), sent)
		}
		excluded = append(excluded, placement.Decision.Chosen)
	}
}

// executionAfterSend replaces the execution state "not run" of a later attempt by "unknown" if an
// earlier attempt was sent.
func executionAfterSend(e *fault.Error, sent bool) *fault.Error {
	if sent && e.Execution == fault.NotRun {
		return e.WithExecution(fault.Unknown)
	}
	return e
}

// errPermitExpired means that a claimed call was not sent within the time of its permit.
var errPermitExpired = fault.New(fault.NoQuorum, "the permit to send this call expired before it was sent", "retry with the same key").WithRetry(0)

// sendServiceCall sends the call. It checks the permit immediately before, since the process may
// have been paused, or its host suspended, until after the permit had expired.
func (d *Director) sendServiceCall(ctx context.Context, r *Request, permit *Permit, p blackboard.Placement) (*target.ServiceAnswer, error) {
	call := *r.ServiceCall
	call.Header = r.ServiceCall.Header.Clone()
	if r.IdempotencyKey != "" {
		call.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	if permit != nil && permit.expired(time.Now(), d.SuspendedTime()) {
		return nil, errPermitExpired
	}
	return d.Targets.CallService(ctx, p.Address, &call)
}

func (d *Director) finishServiceCall(ctx context.Context, r *Request, p blackboard.Placement, err error) {
	result := blackboard.CallSucceeded
	if err != nil {
		result = blackboard.CallFailed
		if ctx.Err() != nil {
			result = blackboard.CallCancelled
		}
		d.record(r, decision.Record{
			Kind: decision.KindAttempt, Outcome: decision.OutcomeFailed, Target: p.Decision.Chosen,
			Attempt: p.Attempt, Reason: fmt.Sprintf("%v", err),
		})
	}
	switch {
	case err == nil:
		d.recordSuccess(r)
	case ctx.Err() == nil:
		d.recordCrash(r, p.Decision.Chosen, err)
	}
	d.Board.Targets.Finish(p.Attempt, result, time.Now())
	d.Board.Queues.Wake(r.Route.Pool.Name)
}

func (d *Director) recordClaim(r *Request, c Claim, permit *Permit, err error) {
	rec := decision.Record{Kind: decision.KindClaim, Outcome: decision.OutcomeAdmitted, Attempt: c.Attempt}
	if permit != nil {
		rec.Claim = &permit.Tally
	}
	if err != nil {
		rec.Outcome = decision.OutcomeRefused
		rec.Reason = err.Error()
	}
	d.record(r, rec)
	d.Recorder.Metrics.Claims.WithLabelValues(rec.Outcome).Inc()
}
