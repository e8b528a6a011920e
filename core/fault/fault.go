// Package fault defines the typed errors that doorstack returns to callers and
// shows to operators. Each has a kind, a message, a remedy, what is known about
// execution of the request, and whether and when a retry makes sense.
package fault

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Execution is what is known about whether a request ran at a target. Its text is part of the
// interface to callers.
type Execution string

const (
	// NotRun means that the request is proven not to have run, in this attempt or another
	// one with the same idempotency key: no byte of it reached a target, or the target
	// stated that it did not run the request.
	NotRun Execution = "not_run"
	// Ran means that the target stated that it executed the request.
	Ran Execution = "ran"
	// Unknown is every other case: bytes were sent, or another attempt may have
	// sent some, and no target has reported the outcome.
	Unknown Execution = "unknown"
)

// Kind is a class of failure. Its text is part of the interface to callers.
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
	RepeatedRequest     Kind = "repeated_request"
	NoQuorum            Kind = "no_quorum"
	KeyTooOld           Kind = "key_too_old"
	KeyFromFuture       Kind = "key_from_future"
	Abandoned           Kind = "abandoned"
	NotReady            Kind = "not_ready"
	ShuttingDown        Kind = "shutting_down"
	Overloaded          Kind = "overloaded"
	CrashesTargets      Kind = "crashes_targets"
	BodyMemoryExhausted Kind = "body_memory_exhausted"
	Misdirected         Kind = "misdirected"
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
	RepeatedRequest:     502,
	NoQuorum:            503,
	KeyTooOld:           409,
	KeyFromFuture:       400,
	Abandoned:           499,
	NotReady:            503,
	ShuttingDown:        503,
	Overloaded:          503,
	CrashesTargets:      503,
	BodyMemoryExhausted: 503,
	Misdirected:         421,
	Internal:            500,
}

// Error is a failure as it is returned to a caller.
type Error struct {
	// Kind is the class of failure.
	Kind Kind
	// Message says what happened, in one sentence.
	Message string
	// Remedy says what the caller or operator can do about it.
	Remedy string
	// Execution is what is known about whether the request ran.
	Execution Execution
	// Retryable is true if sending the same request again can succeed.
	Retryable bool
	// RetryAfter is the shortest useful delay before a retry; zero means at once.
	RetryAfter time.Duration
}

// New returns a failure of the kind, with execution NotRun and not retryable.
func New(kind Kind, message, remedy string) *Error {
	return &Error{Kind: kind, Message: Shorten(message), Remedy: remedy, Execution: NotRun}
}

// maxTextSize bounds a text about a failure, in bytes. It may quote what a target has sent.
const maxTextSize = 2 << 10

// Shorten cuts a text about a failure that is too long for a log line or an answer.
func Shorten(text string) string {
	if len(text) <= maxTextSize {
		return text
	}
	return strings.ToValidUTF8(text[:maxTextSize], "") + "..."
}

// WithExecution returns a copy of e with the execution state set.
func (e *Error) WithExecution(x Execution) *Error {
	c := *e
	c.Execution = x
	return &c
}

// WithRetry returns a copy of e that is retryable after d.
func (e *Error) WithRetry(d time.Duration) *Error {
	c := *e
	c.Retryable = true
	c.RetryAfter = d
	return &c
}

// WithConsistentStatus returns a failure whose HTTP status does not contradict its execution
// state. Callers take the statuses of NoTarget and RateLimited to mean that nothing ran; if the
// request may have run, such a failure becomes TargetFailed (502) without a retry.
func (e *Error) WithConsistentStatus() *Error {
	if e.Execution == NotRun || e.Status() != httpStatus[NoTarget] && e.Status() != httpStatus[RateLimited] {
		return e
	}
	c := *e
	c.Kind = TargetFailed
	c.Retryable = false
	return &c
}

// Error implements error: it gives the kind, the message and the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s; %s", e.Kind, e.Message, e.Remedy)
}

// Status returns the HTTP status code of the failure; 500 for an unknown kind.
func (e *Error) Status() int {
	if code, ok := httpStatus[e.Kind]; ok {
		return code
	}
	return 500
}

// From returns the typed failure that err wraps. Any other error becomes Internal with
// Unknown execution, since an untyped error does not state whether the request ran.
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
