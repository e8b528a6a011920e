// Package fault holds the typed errors that doorstack gives to callers and
// operators. Each one has a kind, a message that names the remedy, what is
// known about execution, and whether and when a retry makes sense.
package fault

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// Execution says what is known about whether a request ran at a target.
type Execution string

const (
	// NotRun is proof that no byte of the request reached a target, under this
	// attempt or any other attempt with the same idempotency key.
	NotRun Execution = "not_run"
	// Ran is the target's own word that it executed the request.
	Ran Execution = "ran"
	// Unknown is everything else: bytes were sent, or another attempt may have
	// sent some, and no target has said how it ended.
	Unknown Execution = "unknown"
)

// Kind names a class of failure. Its text is part of the caller's interface.
type Kind string

// The kinds of failure. The operators' page lists the remedy for each.
const (
	BadRequest          Kind = "bad_request"
	Unauthenticated     Kind = "unauthenticated"
	NoRoute             Kind = "no_route"
	TooLarge            Kind = "too_large"
	RateLimited         Kind = "rate_limited"
	QueueFull           Kind = "queue_full"
	DeadlineTooShort    Kind = "deadline_too_short"
	DeadlinePassed      Kind = "deadline_passed"
	NoTarget            Kind = "no_target"
	TargetFailed        Kind = "target_failed"
	DuplicateKey        Kind = "duplicate_key"
	NoQuorum            Kind = "no_quorum"
	KeyTooOld           Kind = "key_too_old"
	KeyFromFuture       Kind = "key_from_future"
	Abandoned           Kind = "abandoned"
	NotReady            Kind = "not_ready"
	ShuttingDown        Kind = "shutting_down"
	Overloaded          Kind = "overloaded"
	CrashesTargets      Kind = "crashes_targets"
	BodyMemoryExhausted Kind = "body_memory_exhausted"
	Internal            Kind = "internal"
)

// httpStatus maps each kind to the HTTP status of its answer.
var httpStatus = map[Kind]int{
	BadRequest:          400,
	Unauthenticated:     401,
	NoRoute:             404,
	TooLarge:            413,
	RateLimited:         429,
	QueueFull:           429,
	DeadlineTooShort:    503,
	DeadlinePassed:      504,
	NoTarget:            503,
	TargetFailed:        502,
	DuplicateKey:        409,
	NoQuorum:            503,
	KeyTooOld:           409,
	KeyFromFuture:       400,
	Abandoned:           499,
	NotReady:            503,
	ShuttingDown:        503,
	Overloaded:          503,
	CrashesTargets:      503,
	BodyMemoryExhausted: 503,
	Internal:            500,
}

// Error is a failure as a caller sees it.
type Error struct {
	// Kind is the class of failure.
	Kind Kind
	// Message says what happened, in one sentence.
	Message string
	// Remedy says what the reader can do about it.
	Remedy string
	// Execution says whether the request ran.
	Execution Execution
	// Retry is true where sending the same request again can succeed.
	Retryable bool
	// RetryAfter is the earliest useful time for that; zero means at once.
	RetryAfter time.Duration
}

// New builds a failure of the kind that has not run and is not worth a retry.
func New(kind Kind, message, remedy string) *Error {
	return &Error{Kind: kind, Message: message, Remedy: remedy, Execution: NotRun}
}

// WithExecution returns a copy of e with the execution state set.
func (e *Error) WithExecution(x Execution) *Error {
	c := *e
	c.Execution = x
	return &c
}

// WithRetry returns a copy of e that tells the caller to retry after d.
func (e *Error) WithRetry(d time.Duration) *Error {
	c := *e
	c.Retryable = true
	c.RetryAfter = d
	return &c
}

// Honest returns a failure whose status says no more than its execution state: a
// status that callers take as the word that nothing ran becomes a bad gateway where
// something may have.
func (e *Error) WithConsistentStatus() *Error {
	if e.Execution == NotRun || e.Status() != httpStatus[NoTarget] && e.Status() != httpStatus[RateLimited] {
		return e
	}
	c := *e
	c.Kind = TargetFailed
	c.Retryable = false
	return &c
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s; %s", e.Kind, e.Message, e.Remedy)
}

// Status is the HTTP status code of the failure.
func (e *Error) Status() int {
	if code, ok := httpStatus[e.Kind]; ok {
		return code
	}
	return 500
}

// From finds the typed failure in err, or wraps err as Internal with an
// unknown execution, which is the only safe thing to say of a failure nobody
// classified.
func From(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return &Error{
		Kind:      Internal,
		Message:   err.Error(),
		Remedy:    "report this with the request id",
		Execution: Unknown,
	}
}
