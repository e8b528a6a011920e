// Package engine predicts the time that a model engine takes: for the prefill of a prompt,
// whole or in parts, and for a pass over its requests. Routing uses the predictions to
// compare placements; a wrong prediction costs quality of placement, not correctness.
//
// An engine works in passes. A pass with decoding requests has StepsPerPass steps; each
// step decodes one token for each of them and may also prefill a chunk of prompt tokens.
// A stream has one event per pass, so the gap between two events is the length of a
// pass, including prefill.
package engine

import "time"

// Timing is the cost model of an engine; times are in seconds.
type Timing struct {
	// Step is the time of a step without any request.
	Step float64 `json:"step_s"`
	// PerSequence is added to a step for each decoding request.
	PerSequence float64 `json:"per_sequence_s"`
	// PerContextToken is added to a step for each context token of the decoding requests.
	PerContextToken float64 `json:"per_context_token_s"`
	// PerPromptToken is the time to prefill a prompt token.
	PerPromptToken float64 `json:"per_token_s"`
	// PerPair is added for each pair of a prompt token and a token before it.
	PerPair float64 `json:"per_pair_s"`
	// StepsPerPass is the number of steps of a pass.
	StepsPerPass int64 `json:"stride"`
}

// PrefillTime returns the time, in seconds, that an idle engine takes to prefill a prompt.
func (t *Timing) PrefillTime(tokens int64) float64 {
	n := float64(tokens)
	return n*t.PerPromptToken + n*n/2*t.PerPair
}

// PassTime returns the length of a pass, in seconds, with the given number of decoding
// requests, the sum of their contexts in tokens, and no prefill.
func (t *Timing) PassTime(requests int, contextTokens int64) float64 {
	step := t.Step + float64(requests)*t.PerSequence + float64(contextTokens)*t.PerContextToken
	return float64(t.StepsPerPass) * step
}

// Duration converts seconds to a duration.
func Duration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
