package admission

import "time"

// Estimate is the expected time until a request's first token.
type Estimate struct {
	// TokensAhead wait before it in the daemon's queue.
	TokensAhead int64 `json:"tokens_ahead"`
	// Rate is the prefill speed of all live targets of the pool, tokens a second,
	// divided by the number of daemons that share them.
	Rate float64 `json:"rate"`
	// Wait is the expected time in the queue.
	Wait time.Duration `json:"wait_ns"`
	// Prefill is the expected time to read the prompt.
	Prefill time.Duration `json:"prefill_ns"`
	// Left is the time until the deadline.
	UntilDeadline time.Duration `json:"left_ns"`
}

// NewEstimate works out the wait for a prompt with tokensAhead before it, when
// the pool gives this daemon rate tokens a second and one target reads
// targetRate tokens a second.
func NewEstimate(tokensAhead, prompt int64, rate, targetRate float64, left time.Duration) Estimate {
	return Estimate{
		TokensAhead:   tokensAhead,
		Rate:          rate,
		Wait:          readTime(tokensAhead, rate),
		Prefill:       readTime(prompt, targetRate),
		UntilDeadline: left,
	}
}

// Late tells whether the deadline passes before the first token is expected.
func (e Estimate) Late() bool { return e.Wait+e.Prefill > e.UntilDeadline }

// RetryAfter is when the queue will be short enough for the same request.
func (e Estimate) RetryAfter() time.Duration {
	return max(0, e.Wait+e.Prefill-e.UntilDeadline)
}

func readTime(tokens int64, rate float64) time.Duration {
	if rate <= 0 || tokens <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}
