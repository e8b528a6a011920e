// Package engine is a model of the time that a model engine takes: what it costs to
// read a prompt, alone or in parts, and how long a pass over its requests lasts. It
// predicts; nothing rests on the prediction but the quality of a placement.
//
// An engine works in passes. A pass with requests that write has Stride steps; each
// step makes one token for each of them and may read a chunk of prompt tokens
// besides. What a stream's caller sees is one event a pass, so the pause between two
// events is the length of a pass, reading included.
package engine

import "time"

// Timing are the costs of an engine's work, in seconds.
type Timing struct {
	// Step is the time of a step without any request.
	Step float64 `json:"step_s"`
	// PerSequence is added to a step for each request that writes.
	PerSequence float64 `json:"per_sequence_s"`
	// PerContextToken is added to a step for each token of context of those requests.
	PerContextToken float64 `json:"per_context_token_s"`
	// PerToken is the time to read a prompt token.
	PerPromptToken float64 `json:"per_token_s"`
	// PerPair is added for each pair of a prompt token and one before it.
	PerPair float64 `json:"per_pair_s"`
	// Stride is the number of steps of a pass.
	StepsPerPass int64 `json:"stride"`
}

// Read is the time that an idle engine takes to read a prompt.
func (t *Timing) PrefillTime(tokens int64) float64 {
	n := float64(tokens)
	return n*t.PerPromptToken + n*n/2*t.PerPair
}

// Pass is the length of a pass in which so many requests write, with their contexts
// together in tokens, and nothing is read.
func (t *Timing) PassTime(writers int, contexts int64) float64 {
	step := t.Step + float64(writers)*t.PerSequence + float64(contexts)*t.PerContextToken
	return float64(t.StepsPerPass) * step
}

// Duration turns seconds into a duration.
func Duration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
