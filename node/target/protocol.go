// Package target speaks to targets: model engines and plain services. The types
// in protocol.go are the published contract of an engine; engine.go and
// service.go are its clients. A stand-in for both is in internal/standin.
package target

import "time"

// GenerateRequest asks an engine for an answer: POST /v1/generate. The engine
// answers with one JSON chunk a line. A second request with the same attempt id
// is refused.
type GenerateRequest struct {
	// Attempt names this call.
	Attempt string `json:"attempt"`
	// Model is the model to use.
	Model string `json:"model"`
	// Prompt is the text to answer.
	Prompt string `json:"prompt"`
	// MaxTokens bounds the answer, counted from index zero.
	MaxTokens int64 `json:"max_tokens"`
	// Level is the priority; lower goes first.
	Level int `json:"level"`
	// FirstIndex and Continuation go on with an answer whose first tokens were
	// given elsewhere.
	FirstIndex   int64  `json:"first_index,omitempty"`
	Continuation string `json:"continuation,omitempty"`
	// Reservation names memory reserved before; the prompt is then the last part
	// of a longer one, and Context holds the parts before it.
	Reservation string  `json:"reservation,omitempty"`
	Context     []KVRef `json:"context,omitempty"`
}

// KVRef names a part of a prompt whose KV cache another engine holds. The engine
// imports it from there piece by piece while it reads its own part.
type KVRef struct {
	Address     string `json:"address"`
	Reservation string `json:"reservation"`
	Tokens      int64  `json:"tokens"`
}

// Chunk is a line of an engine's answer. The last line has End set.
type Chunk struct {
	Attempt      string `json:"a"`
	Index        int64  `json:"i"`
	Text         string `json:"t,omitempty"`
	End          bool   `json:"end,omitempty"`
	Total        int64  `json:"total,omitempty"`
	FinishReason string `json:"finish,omitempty"`
	// Error ends the stream with the engine's own word of what went wrong.
	Error string `json:"error,omitempty"`
}

// ResumeRequest asks for the rest of a stream: POST /v1/resume.
type ResumeRequest struct {
	Attempt string `json:"attempt"`
	// From is the first index wanted.
	From int64 `json:"from"`
}

// CancelRequest stops a stream and frees its memory: POST /v1/cancel. It is
// idempotent.
type CancelRequest struct {
	Attempt string `json:"attempt"`
}

// LoadReport is what a target publishes of itself: GET /v1/load. It lags.
type LoadReport struct {
	// At is when the report was made, by the target's clock.
	CreatedAt time.Time `json:"at"`
	// Age is how old the report was when it was served.
	Age time.Duration `json:"age_ns"`
	// Running and Waiting are calls.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// MemoryTokens and UsedTokens are KV cache, reservations included.
	MemoryTokens int64 `json:"memory_tokens"`
	UsedTokens   int64 `json:"used_tokens"`
	// BacklogTokens are prompt tokens not yet read.
	BacklogTokens int64 `json:"backlog_tokens"`
	// LongPrefills are prompts with more than LongPrefillTokens left to read.
	LongPrefills int `json:"long_prefills"`
	// Leaving is true when the target wants no new work.
	Draining bool `json:"leaving,omitempty"`
	// Models are the models that it serves.
	Models []string `json:"models,omitempty"`
	// Reservations are what is held for groups.
	Reservations []Reservation `json:"reservations,omitempty"`
	// Fence is the highest fencing number seen.
	FencingToken int64 `json:"fence,omitempty"`
}

// LongPrefillTokens is the length from which engines count a prompt as long in
// their reports.
const LongPrefillTokens = 32_000

// Reservation is memory held for a part of a long prompt: POST /v1/reserve.
type Reservation struct {
	// ID names it; a second reservation with the same id is the same one.
	ID string `json:"id"`
	// Request is the request that it is for.
	Request string `json:"request"`
	// Owner is the daemon, Incarnation its start.
	Owner       string `json:"owner"`
	Incarnation int64  `json:"incarnation"`
	// Tokens is the size.
	Tokens int64 `json:"tokens"`
	// Expires is when the owner will not want it any more.
	ExpiresAt time.Time `json:"expires"`
}

// ReleaseRequest gives a reservation back: POST /v1/release. It is idempotent.
type ReleaseRequest struct {
	ID string `json:"id"`
}

// PrefillRequest reads a part of a prompt into reserved memory: POST /v1/prefill.
// The answer comes when it is read.
type PrefillRequest struct {
	Reservation string  `json:"reservation"`
	Prompt      string  `json:"prompt"`
	Level       int     `json:"level"`
	Context     []KVRef `json:"context,omitempty"`
}

// CacheEvent says that a prefix came into an engine's cache or left it:
// GET /v1/events?after=N. Events come late and with gaps.
type CacheEvent struct {
	Sequence int64    `json:"sequence"`
	Stored   []uint64 `json:"stored,omitempty"`
	Evicted  []uint64 `json:"evicted,omitempty"`
}

// Order sets the desired state of an engine: POST /v1/order. It states an end,
// not a step, so that it can be sent twice.
type Order struct {
	// Fence is the fencing number of the owner that gives the order.
	FencingToken int64 `json:"fence"`
	// Owner is the daemon that gives it.
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
	// Message is for people.
	Message string `json:"message"`
	// Ran tells whether any of the call was carried out.
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
