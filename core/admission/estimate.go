package admission

import "time"

// Estimate is the expected time until a request's first token.
type Estimate struct {
	// TokensAhead is the number of prompt tokens that wait before the request in the daemon's
	// queue.
	TokensAhead int64 `json:"tokens_ahead"`
	// Rate is the prefill speed of all live targets of the pool in tokens per second, divided
	// by the number of daemons that share them.
	Rate float64 `json:"rate"`
	// Wait is the expected time in the queue.
	Wait time.Duration `json:"wait_ns"`
	// Prefill is the expected time to process the prompt.
	Prefill time.Duration `json:"prefill_ns"`
	// UntilDeadline is the time left until the deadline.
	UntilDeadline time.Duration `json:"left_ns"`
}

// NewEstimate estimates the wait of a prompt with tokensAhead tokens before it, where the pool
// processes rate tokens per second for this daemon and one target targetRate tokens per
// second.
func NewEstimate(tokensAhead, prompt int64, rate, targetRate float64, left time.Duration) Estimate {
	return Estimate{
		TokensAhead:   tokensAhead,
		Rate:          rate,
		Wait:          prefillTime(tokensAhead, rate),
		Prefill:       prefillTime(prompt, targetRate),
		UntilDeadline: left,
	}
}

// Late reports whether the deadline passes before the first token is expected.
func (e Estimate) Late() bool { return e.Wait+e.Prefill > e.UntilDeadline }

// RetryAfter returns the time after which the queue is expected to be short enough for the
// same request.
func (e Estimate) RetryAfter() time.Duration {
	return max(0, e.Wait+e.Prefill-e.UntilDeadline)
}

// prefillTime returns the time in which a prefill rate, in tokens per second, processes tokens.
func prefillTime(tokens int64, rate float64) time.Duration {
	if rate <= 0 || tokens <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}
