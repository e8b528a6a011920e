package admission

import "time"

// Share is the part of an account's limits that this daemon may use.
type Share struct {
	RequestsPerSecond     float64
	PromptTokensPerSecond float64
	Concurrent            int
}

// Limit names the account limit that refused a request.
type Limit string

// The limits of an account.
const (
	LimitNone         Limit = ""
	LimitRequests     Limit = "requests_per_second"
	LimitPromptTokens Limit = "prompt_tokens_per_second"
	LimitConcurrent   Limit = "concurrent"
)

// Usage tracks what one account uses at this daemon.
type Usage struct {
	// Running is the number of admitted requests that have not ended.
	Running int
	// Demand counts the requests and prompt tokens asked for, whether admitted or not.
	Demand Demand

	share    Share
	requests Bucket
	tokens   Bucket
}

// Demand is what callers asked of an account at this daemon since the last call of
// Usage.TakeDemand. The shares of the daemons follow it.
type Demand struct {
	Requests     float64
	PromptTokens float64
	// PeakRunning is the largest number of requests that ran, or asked to run, at one time.
	PeakRunning int
}

// NewUsage returns the state of an account that has used nothing yet.
func NewUsage(share Share, now time.Time) *Usage {
	return &Usage{
		share:    share,
		requests: NewBucket(share.RequestsPerSecond, now),
		tokens:   NewBucket(share.PromptTokensPerSecond, now),
	}
}

// SetShare replaces the share in force.
func (u *Usage) SetShare(share Share, now time.Time) {
	if u.share == share {
		return
	}
	u.share = share
	u.requests.SetRate(share.RequestsPerSecond, now)
	u.tokens.SetRate(share.PromptTokensPerSecond, now)
}

// Share returns the share in force.
func (u *Usage) Share() Share { return u.share }

// Verdict is the result of Usage.Admit with the inputs for the record of the decision.
type Verdict struct {
	// Limit is the limit that refused the request; LimitNone means that it was admitted.
	Limit Limit `json:"limit,omitempty"`
	// RetryAfter is the time until the limit admits the next request.
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
	// Running and Allowed are the admitted requests and the concurrency limit at the time.
	Running int `json:"running"`
	Allowed int `json:"allowed"`
}

// concurrencyRetryAfter is the advised wait where only the end of another request makes room,
// which cannot be predicted.
const concurrencyRetryAfter = 250 * time.Millisecond

// Admit checks a request with promptTokens prompt tokens against all limits of the account and
// charges all of them or none. Every admitted request must end with one call of Done.
func (u *Usage) Admit(promptTokens int64, now time.Time) Verdict {
	u.Demand.Requests++
	u.Demand.PromptTokens += float64(promptTokens)
	u.Demand.PeakRunning = max(u.Demand.PeakRunning, u.Running+1)
	v := Verdict{Running: u.Running, Allowed: u.share.Concurrent}
	if u.Running >= u.share.Concurrent {
		v.Limit, v.RetryAfter = LimitConcurrent, concurrencyRetryAfter
		return v
	}
	if ok, wait := u.requests.Take(1, now); !ok {
		v.Limit, v.RetryAfter = LimitRequests, wait
		return v
	}
	if ok, wait := u.tokens.Take(float64(promptTokens), now); !ok {
		u.requests.Return(1)
		v.Limit, v.RetryAfter = LimitPromptTokens, wait
		return v
	}
	u.Running++
	return v
}

// Done records the end of an admitted request.
func (u *Usage) Done() { u.Running-- }

// TakeDemand returns the demand since the last call and restarts the count.
func (u *Usage) TakeDemand() Demand {
	d := u.Demand
	u.Demand = Demand{PeakRunning: u.Running}
	return d
}

// RetryBudget limits the retries of one account at this daemon to a share of its requests, so
// that retries do not multiply the load during an outage.
type RetryBudget struct {
	saved float64
}

// initialRetries covers the calls of one account that a failing target may hold for one
// daemon; maxSavedRetries is a few times that.
const (
	initialRetries  = 20
	maxSavedRetries = 100
)

// NewRetryBudget returns a budget of initialRetries retries.
func NewRetryBudget() *RetryBudget { return &RetryBudget{saved: initialRetries} }

// CountRequest records the first attempt of a request, which adds share of a retry to the
// budget.
func (b *RetryBudget) CountRequest(share float64) { b.saved = min(maxSavedRetries, b.saved+share) }

// TakeRetry takes one retry out of the budget and reports whether there was one.
func (b *RetryBudget) TakeRetry() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
