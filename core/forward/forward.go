// Package forward makes the decisions about a call that a daemon passes on unchanged to a
// target: whether the target's answer may go to the caller, whether the call may be sent
// again, how long a silent target is waited for, and what the caller may be told about
// execution. It also keeps what targets say of their own state, such as rate limits.
//
// The package does no I/O. The daemon passes in the route's rules and latency goals, the
// decoded heads of answers and the result of each send.
package forward

import (
	"time"

	"doorstack.dev/core/fault"
)

// Call is what a caller's request says of itself, decoded when it arrives.
type Call struct {
	// ID is the request id that the caller chose; targets echo it.
	ID string
	// Recipient is the id of the target that the call is meant for, which only daemons name; empty in callers' requests.
	Recipient string
	// APIKey is empty if the request has none.
	APIKey string
	// Timeout is how long the caller will wait, from the arrival of the call; zero if not stated.
	Timeout time.Duration
	// LastEventID is the id of the last event that the caller has received of a stream
	// that it resumes; empty for a stream from the beginning.
	LastEventID string
	// PromptTokens and OutputTokens are the lengths stated by the caller; zero for plain
	// services.
	PromptTokens, OutputTokens int64
	// SharedParts are the ids of the prompt's parts that other prompts may contain too, in their
	// order; the last part of a prompt is its own.
	SharedParts []string
	// DeclaredPrompt identifies the content of the prompt, as the caller states it; empty if the call has none.
	DeclaredPrompt string
}

// SendParams is what the daemon adds to a call when it sends it to a target.
type SendParams struct {
	// Target is the id of the target that the call is meant for. A different target at
	// the same address must reject the call.
	Target string
	// Account names the caller's account to the target; empty on open routes.
	Account string
	// Timeout is how long the target may work on the call.
	Timeout time.Duration
	// LastEventID asks for the stream after that event; empty for the whole stream.
	LastEventID string
	// Helpers are other targets that prefill parts of the prompt.
	Helpers []Helper
}

// Helper is a target that prefills part of a prompt for the target of the call.
type Helper struct {
	// Address is the helper's host:port.
	Address string
	// ReservationID names the memory reserved at the helper for the part, if any.
	ReservationID string
}

// Report is a target's answer to a status query.
type Report struct {
	// Slowdown is how many times as long as usual the target's work takes: 1 for a healthy target.
	Slowdown float64
	// Started is when the target's process started, in Unix milliseconds; zero if not told.
	Started int64
}

// Message is an HTTP request to a target: a caller's call, passed on unchanged, or a control
// request of the daemon, such as one to reserve memory.
type Message struct {
	// ID is the id that the answer must carry; control requests have none.
	ID string
	// Method, URI (path and query as received) and Host are those of the caller's request.
	Method, URI, Host string
	// Header has no hop-by-hop fields.
	Header map[string][]string
	Body   []byte
	// To is the target that the message is meant for.
	To Recipient
	// ProbeConnection turns on TCP probes while the daemon waits for the answer, so that the
	// death of the target's host is detected before an answer is due.
	ProbeConnection bool
	// CallerDisconnected reports, without blocking, whether the caller has closed its
	// connection; nil for control requests and where this cannot be determined.
	CallerDisconnected func() bool
	// BeforeSend, if not nil, is called just before the first byte is written to a connection.
	BeforeSend func()
	// Trace, if not nil, is filled in by the sender.
	Trace *SendTrace
}

// SendTrace says how a message was sent, or how far a failed send came.
type SendTrace struct {
	// Connection is the daemon's end of the connection, as IP:PORT; empty if none could be opened.
	Connection string
	// Reused reports that the connection had carried other messages.
	Reused bool
	// BytesSent is the number of bytes of the message that the kernel had accepted when the head of the answer arrived or the
	// send failed.
	BytesSent int64
	// BrokenConnections is the number of idle connections that broke before a byte of the message was written to them.
	BrokenConnections int
}

// Recipient is the target that a message is meant for. Fields that are not known are zero.
type Recipient struct {
	ID string
	// HealthPath is the path of its health check.
	HealthPath string
	// Started is when its process started, in Unix milliseconds.
	Started int64
}

// Head is the decoded head (status and headers) of a target's answer.
type Head struct {
	Status int
	// RequestID is the id of the call that is answered.
	RequestID string
	// Instance is the id of the target that answers, where the answer names it.
	Instance string
	// NotExecuted is true if the target states that it has not run the call and will not.
	NotExecuted bool
	// Signed is true if the answer carries the target's signature. A success without a
	// signature does not come from the target.
	Signed bool
	// Encoded is true if the answer has a content encoding, so that its bytes are not
	// those that the target produced.
	Encoded bool
	// MediaType is the media type of the answer's body without parameters, in lower case; empty if it has none.
	MediaType string
	// FailedHelper is the address of the helper that made the call fail, if any.
	FailedHelper string
	// Notice is what the answering target says of its own state.
	Notice Notice
	// UnknownHeaders names the headers that the dialect, the code that reads the platform's
	// headers, does not know.
	UnknownHeaders []string
}

// Misdirected reports whether a different target answered than the message was meant for.
func (h *Head) Misdirected() bool { return h.Status == statusMisdirected }

// TargetNotice returns the notice of the target that the message was sent to: the zero Notice if
// a different target answered.
func (h *Head) TargetNotice() Notice {
	if h.Misdirected() {
		return Notice{}
	}
	return h.Notice
}

// Disposition says what is to be done with an answer.
type Disposition int

// Dispositions of an answer.
const (
	// Deliver means that the answer goes to the caller.
	Deliver Disposition = iota
	// Rejected means that the target has not run the call.
	Rejected
	// TargetError means that the target ran the call and failed. The answer may go to the
	// caller if no other target succeeds.
	TargetError
	// Unusable means that the call may have run, and that the answer must not go to the
	// caller.
	Unusable
)

// The HTTP statuses with a meaning of their own: of a stream, and of a target that received a message meant for another
// one.
const (
	statusOK          = 200
	statusMisdirected = 421
)

// Classify returns the disposition of the answer with this head.
func (h *Head) Classify() Disposition {
	switch {
	case h.NotExecuted || h.Misdirected():
		return Rejected
	case h.Encoded:
		return Unusable
	case h.Status >= 200 && h.Status < 300:
		if !h.Signed {
			return Unusable
		}
		return Deliver
	case impliesNotExecuted(h.Status):
		// The caller would take the status to mean that nothing ran, which the target did not state.
		return Unusable
	case h.Status >= 500:
		return TargetError
	default:
		return Deliver
	}
}

// ClassifyContinuation returns the disposition of an answer that is to continue a stream whose head the caller already
// has. Only a stream of the same media type can: any other bytes would be appended to the events.
func (h *Head) ClassifyContinuation(mediaType string) Disposition {
	d := h.Classify()
	if d == Rejected || d == Deliver && h.Status == statusOK && h.MediaType == mediaType {
		return d
	}
	return Unusable
}

// impliesNotExecuted reports whether callers take an HTTP status to mean that the call did not run.
func impliesNotExecuted(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// Rules are a route's rules for sending a call again.
type Rules struct {
	// Repeatable is true if a call may run more than once.
	Repeatable bool
	// MaxAttempts bounds the sends that may have run the call; sends that are proven not to have
	// run it do not count.
	MaxAttempts int
}

// maxRejections is the number of targets that may reject a call before the daemon refuses it.
// Each further send uses some of the fleet's retry budget, and if three targets in a row are
// full, the next one most likely is full as well.
const maxRejections = 3

// Progress records the sends of one call. The zero value with Rules set is a call that has not
// been sent.
type Progress struct {
	Rules Rules
	// AnswerStarted is true once the caller has received the head of an answer.
	AnswerStarted bool

	mayHaveRun int // sends after which a target may have run the call
	rejections int // sends that a target rejected
}

// RecordFailure records a send that did not give a complete answer: whether the call ran, and
// whether the send reached a target.
func (p *Progress) RecordFailure(x fault.Execution, reached bool) {
	switch {
	case x != fault.NotRun:
		p.mayHaveRun++
	case reached:
		p.rejections++
	}
}

// RestrictRules applies the rules of a route that newer settings give the call: what either forbids is forbidden.
func (p *Progress) RestrictRules(newer Rules) {
	p.Rules.Repeatable = p.Rules.Repeatable && newer.Repeatable
	p.Rules.MaxAttempts = min(p.Rules.MaxAttempts, newer.MaxAttempts)
}

// Sends returns the number of sends that reached a target.
func (p *Progress) Sends() int { return p.mayHaveRun + p.rejections }

// MayRetry reports whether the rules allow one more send. The daemon checks the retry budget and
// the remaining time itself.
func (p *Progress) MayRetry() bool {
	if p.mayHaveRun > 0 && !p.Rules.Repeatable {
		return false
	}
	return p.mayHaveRun < p.Rules.MaxAttempts && p.rejections < maxRejections
}

// Execution returns what is known about execution of the call while no send is in progress.
func (p *Progress) Execution() fault.Execution {
	if p.AnswerStarted {
		return fault.Ran
	}
	if p.mayHaveRun > 0 {
		return fault.Unknown
	}
	return fault.NotRun
}
