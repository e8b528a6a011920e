// Package target is the client side of calls from a daemon to targets: model engines and
// plain services.
//
// Client implements the engine protocol, whose messages are the types in protocol.go, and
// buffered calls to plain services. Exchanger forwards callers' own requests over connections
// that it pools itself, and sends each exactly once. Both report with an error whether the
// failed call may have run, which decides whether a call may be retried. The package also
// estimates token counts and hashes prompt prefixes for routing. Package node/internal/standin
// simulates an engine and a service for tests.
package target

import "time"

// GenerateRequest asks an engine for an answer: POST /v1/generate. The engine answers
// with a stream of JSON chunks, one per line. It refuses a second request with the same
// attempt id.
type GenerateRequest struct {
	// Attempt identifies this call.
	Attempt string `json:"attempt"`
	// Model is the model to use.
	Model string `json:"model"`
	// Prompt is the text to answer.
	Prompt string `json:"prompt"`
	// MaxTokens bounds the answer, counted from index zero, the continuation included.
	MaxTokens int64 `json:"max_tokens"`
	// Level is the priority; a lower level is served first.
	Level int `json:"level"`
	// FirstIndex and Continuation continue an answer whose first tokens were
	// generated elsewhere: the index of the next token, and the text so far.
	FirstIndex   int64  `json:"first_index,omitempty"`
	Continuation string `json:"continuation,omitempty"`
	// Reservation is the id of memory reserved before; the prompt is then the last part
	// of a longer one, and Context lists the parts before it.
	Reservation string  `json:"reservation,omitempty"`
	Context     []KVRef `json:"context,omitempty"`
}

// KVRef refers to a part of a prompt whose KV cache another engine holds. The engine
// imports that cache in pieces while it prefills its own part.
type KVRef struct {
	Address     string `json:"address"`
	Reservation string `json:"reservation"`
	Tokens      int64  `json:"tokens"`
}

// Chunk is a line of an engine's answer. The last line has End set, no token, and in Total the
// number of tokens.
type Chunk struct {
	Attempt      string `json:"a"`
	Index        int64  `json:"i"`
	Text         string `json:"t,omitempty"`
	End          bool   `json:"end,omitempty"`
	Total        int64  `json:"total,omitempty"`
	FinishReason string `json:"finish,omitempty"`
	// Error, where set, ends the stream and describes the engine's failure.
	Error string `json:"error,omitempty"`
}

// ResumeRequest asks for the rest of a stream after a lost connection: POST /v1/resume.
type ResumeRequest struct {
	Attempt string `json:"attempt"`
	// From is the index of the first token wanted.
	From int64 `json:"from"`
}

// CancelRequest stops a stream and frees its memory: POST /v1/cancel. It is
// idempotent.
type CancelRequest struct {
	Attempt string `json:"attempt"`
}

// LoadReport is a target's report of its load: GET /v1/load. It may be out of date.
type LoadReport struct {
	// CreatedAt is when the report was made, by the target's clock.
	CreatedAt time.Time `json:"at"`
	// Age is how old the report was when it was served.
	Age time.Duration `json:"age_ns"`
	// Running and Waiting count calls.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// MemoryTokens is the size of the KV cache in tokens, and UsedTokens how much of it is in
	// use, reservations included.
	MemoryTokens int64 `json:"memory_tokens"`
	UsedTokens   int64 `json:"used_tokens"`
	// BacklogTokens counts prompt tokens not yet prefilled.
	BacklogTokens int64 `json:"backlog_tokens"`
	// LongPrefills counts prompts with more than LongPrefillTokens left to prefill.
	LongPrefills int `json:"long_prefills"`
	// Draining reports whether the target takes no new calls.
	Draining bool `json:"leaving,omitempty"`
	// Models are the models that the target serves.
	Models []string `json:"models,omitempty"`
	// Reservations are the reservations of memory for parts of long prompts.
	Reservations []Reservation `json:"reservations,omitempty"`
	// FencingToken is the highest fencing token seen in an order.
	FencingToken int64 `json:"fence,omitempty"`
}

// LongPrefillTokens is the number of tokens left to prefill above which engines count a
// prompt as long in their reports.
const LongPrefillTokens = 32_000

// Reservation is memory held for a part of a long prompt: POST /v1/reserve.
type Reservation struct {
	// ID identifies the reservation; a second one with the same id is the same reservation.
	ID string `json:"id"`
	// Request is the id of the request that the memory is for.
	Request string `json:"request"`
	// Owner is the daemon that reserved the memory, and Incarnation identifies the start of
	// its process.
	Owner       string `json:"owner"`
	Incarnation int64  `json:"incarnation"`
	// Tokens is the size in tokens.
	Tokens int64 `json:"tokens"`
	// ExpiresAt is the time after which the owner no longer needs the memory.
	ExpiresAt time.Time `json:"expires"`
}

// ReleaseRequest frees a reservation: POST /v1/release. It is idempotent.
type ReleaseRequest struct {
	ID string `json:"id"`
}

// PrefillRequest asks an engine to prefill a part of a prompt into reserved memory:
// POST /v1/prefill. The engine answers when the prefill is done.
type PrefillRequest struct {
	Reservation string  `json:"reservation"`
	Prompt      string  `json:"prompt"`
	Level       int     `json:"level"`
	Context     []KVRef `json:"context,omitempty"`
}

// CacheEvent says which prefixes entered an engine's cache or were evicted:
// GET /v1/events?after=N. Prefixes are given by their hashes. Events arrive late and with gaps.
type CacheEvent struct {
	Sequence int64    `json:"sequence"`
	Stored   []uint64 `json:"stored,omitempty"`
	Evicted  []uint64 `json:"evicted,omitempty"`
}

// Order sets the desired state of an engine, not a step towards it, so that it can be sent
// twice: POST /v1/order.
type Order struct {
	// FencingToken is the fencing token of the owner that sends the order.
	FencingToken int64 `json:"fence"`
	// Owner is the daemon that sends the order.
	Owner string `json:"owner"`
	// Models are the models to serve, with their versions.
	Models []string `json:"models"`
	// Role is the role to take, such as "prefill", "decode" or "both".
	Role string `json:"role,omitempty"`
}

// ErrorAnswer is the body of a target's refusal.
type ErrorAnswer struct {
	// Code is one of the Code constants.
	Code string `json:"code"`
	// Message is a text for people.
	Message string `json:"message"`
	// Ran reports whether any of the call was executed.
	Ran bool `json:"ran"`
}

// The codes of refusals.
const (
	CodeBusy              = "busy"
	CodeNoMemory          = "no_memory"
	CodeDraining          = "leaving"
	CodeUnknownID         = "unknown_id"
	CodeStaleFencingToken = "old_fence"
	CodeModelNotLoaded    = "model_not_loaded"
	CodeDuplicateAttempt  = "duplicate_attempt"
)
