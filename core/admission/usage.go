package admission

import "time"

// Share is the part of an account's limits that this daemon may use.
type Share struct {
	RequestsPerSecond     float64
	PromptTokensPerSecond float64
	Concurrent            int
}

// Limit names the limit that refused a request.
type Limit string

// The limits of an account.
const (
	LimitNone         Limit = ""
	LimitRequests     Limit = "requests_per_second"
	LimitPromptTokens Limit = "prompt_tokens_per_second"
	LimitConcurrent   Limit = "concurrent"
)

// Usage is what one account uses at this daemon.
type Usage struct {
	// Running is the number of requests admitted and not yet ended.
	Running int
	// Demand counts requests and prompt tokens asked for, admitted or not.
	Demand Demand

	share    Share
	requests Bucket
	tokens   Bucket
}

// Demand is what callers asked of an account at this daemon since it was last
// read; shares follow it.
type Demand struct {
	Requests     float64
	PromptTokens float64
	// PeakRunning is the most requests that ran or wanted to run at once.
	PeakRunning int
}

// NewUsage returns the unused state of an account.
func NewUsage(share Share, now time.Time) *Usage {
	return &Usage{
		share:    share,
		requests: NewBucket(share.RequestsPerSecond, now),
		tokens:   NewBucket(share.PromptTokensPerSecond, now),
	}
}

// SetShare changes the share in force.
func (u *Usage) SetShare(share Share, now time.Time) {
	if u.share == share {
		return
	}
	u.share = share
	u.requests.SetRate(share.RequestsPerSecond, now)
	u.tokens.SetRate(share.PromptTokensPerSecond, now)
}

// Share is the share in force.
func (u *Usage) Share() Share { return u.share }

// Verdict is the answer of Admit, with what it was made from.
type Verdict struct {
	// Limit is the limit in the way; LimitNone means admitted.
	Limit Limit `json:"limit,omitempty"`
	// RetryAfter is when the limit lets the next request through.
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
	// Running and Allowed are the concurrency at the time.
	Running int `json:"running"`
	Allowed int `json:"allowed"`
}

// concurrencyRetryAfter is the advice where only an ending request can make room.
const concurrencyRetryAfter = 250 * time.Millisecond

// Admit takes a request of so many prompt tokens into the account's limits, all
// of them or none. Every admitted request must end with one call of Done.
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

// Done ends an admitted request.
func (u *Usage) Done() { u.Running-- }

// TakeDemand returns the demand since the last call and starts a new count.
func (u *Usage) TakeDemand() Demand {
	d := u.Demand
	u.Demand = Demand{PeakRunning: u.Running}
	return d
}

// RetryBudget lets retries be at most a share of the requests, so that an
// outage is not multiplied by them.
type RetryBudget struct {
	saved float64
}

// The budget starts with room for the calls of one account that a dying target
// may hold for one daemon, and saves up no more than a few times that.
const (
	initialRetries  = 20
	maxSavedRetries = 100
)

// NewRetryBudget returns a budget with the starting room.
func NewRetryBudget() *RetryBudget { return &RetryBudget{saved: initialRetries} }

// Request records a first attempt.
func (b *RetryBudget) CountRequest(share float64) { b.saved = min(maxSavedRetries, b.saved+share) }

// Retry takes one retry and tells whether there was one.
func (b *RetryBudget) TakeRetry() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
