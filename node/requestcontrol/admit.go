package requestcontrol

import (
	"context"
	"fmt"
	"time"

	"doorstack.dev/core/admission"
	"doorstack.dev/core/decision"
	"doorstack.dev/core/fault"
)

// admit checks the request against its account's limits and refuses it early if
// its deadline cannot be met. The caller must call done once the request has ended.
func (d *Director) admit(ctx context.Context, r *Request) (done func(), err error) {
	r.preparePrompt()
	if err := checkTokenLimits(r); err != nil {
		return nil, err
	}
	rules := &r.Route.Rules
	verdict := d.Board.Accounts.Admit(r.Account.Path, rules, r.promptTokens, r.Arrived)
	if verdict.Limit != admission.LimitNone && d.ShareRequester.RequestShare(ctx, r.Account.Path, rules, r.promptTokens) {
		verdict = d.Board.Accounts.Admit(r.Account.Path, rules, r.promptTokens, time.Now())
	}
	if verdict.Limit != admission.LimitNone {
		err := limitError(verdict)
		d.record(r, decision.Record{Kind: decision.KindLimit, Outcome: decision.OutcomeRefused, Reason: err.Message, Limit: &verdict})
		return nil, err
	}
	done = func() { d.Board.Accounts.Done(r.Account.Path) }
	if err := d.checkQueueWait(r); err != nil {
		done()
		return nil, err
	}
	return done, nil
}

// checkTokenLimits refuses a request that exceeds the account's token limits.
func checkTokenLimits(r *Request) error {
	rules := &r.Route.Rules
	if r.promptTokens > rules.MaxPromptTokens {
		return fault.New(fault.TooLarge,
			fmt.Sprintf("the prompt has about %d tokens and the account allows %d", r.promptTokens, rules.MaxPromptTokens),
			"shorten the prompt, or have max_prompt_tokens raised in the settings")
	}
	if r.MaxTokens > rules.MaxOutputTokens {
		return fault.New(fault.BadRequest,
			fmt.Sprintf("max_tokens is %d and the account allows %d", r.MaxTokens, rules.MaxOutputTokens),
			"ask for fewer tokens, or have max_output_tokens raised in the settings")
	}
	return nil
}

// limitError returns the caller's error for a rate or concurrency limit.
func limitError(v admission.Verdict) *fault.Error {
	message := fmt.Sprintf("the account has reached its limit %s at this daemon", v.Limit)
	if v.Limit == admission.LimitConcurrent {
		message = fmt.Sprintf("%d requests of the account are running at this daemon and its share is %d", v.Running, v.Allowed)
	}
	return fault.New(fault.RateLimited, message, "retry after the time in Retry-After, or have the limit raised").
		WithRetry(v.RetryAfter)
}

// checkQueueWait refuses a request whose deadline is before the expected time of its
// first token, or whose account already has max_waiting requests in this daemon's queue.
func (d *Director) checkQueueWait(r *Request) error {
	pool := r.Route.Pool
	waiting, ahead := d.Board.Queues.Waiting(pool.Name, r.Account.Path, r.Route.Rules.Level)
	if waiting >= r.Route.Rules.MaxWaiting {
		return fault.New(fault.QueueFull,
			fmt.Sprintf("%d requests of the account are already waiting at this daemon", waiting),
			"retry later, or have max_waiting raised").WithRetry(time.Second)
	}
	capacity := d.Board.Targets.Capacity(pool.Name, time.Now())
	rate := capacity.PrefillRate / float64(max(1, d.Board.Members.DaemonCount())) // The daemons share the pool.
	estimate := admission.NewEstimate(ahead, r.promptTokens, rate, capacity.MaxTargetRate, r.Deadline.Sub(r.Arrived))
	rec := decision.Record{Kind: decision.KindAdmit, Outcome: decision.OutcomeAdmitted, Estimate: &estimate}
	if !estimate.Late() {
		d.record(r, rec)
		return nil
	}
	rec.Outcome = decision.OutcomeRefused
	rec.Reason = fmt.Sprintf("the first token is expected after %v and the deadline is in %v", (estimate.Wait + estimate.Prefill).Round(time.Millisecond), estimate.UntilDeadline.Round(time.Millisecond))
	d.record(r, rec)
	return fault.New(fault.DeadlineTooShort, rec.Reason, "retry later, or allow more time").
		WithRetry(estimate.RetryAfter())
}
