// Package forward decides what becomes of a call that is passed on unchanged to a
// target: what an answer of a target proves, whether the call may be sent once
// more, and what its caller may be told in the end.
//
// The package is pure. A Progress is fed with the result of each send and answers
// what to do next; the sockets are elsewhere.
package forward

import (
	"time"

	"doorstack.dev/core/fault"
)

// Call is a caller's request, decoded once where it comes in.
type Call struct {
	// ID is the caller's own id of this attempt; targets echo it.
	ID string
	// Key is the API key, empty if there is none.
	APIKey string
	// Left is how long the caller will wait from now on; zero if it did not say.
	Timeout time.Duration
	// LastEvent is the id of the last event that the caller has of the stream that
	// it wants the rest of; empty for a stream from the beginning.
	LastEventID string
	// PromptTokens and OutputTokens are the lengths that the caller states; zero for
	// plain services.
	PromptTokens, OutputTokens int64
}

// SendParams is what the daemon adds to a call for one target.
type SendParams struct {
	// Target is the id of the target that the call is meant for; another one at the
	// same address must turn it away.
	Target string
	// Account names the caller's account to the target; empty on open routes.
	Account string
	// Left is how long the target may work on it.
	Timeout time.Duration
	// LastEvent asks for the stream after that event; empty for the whole.
	LastEventID string
	// Helpers are targets that read parts of the prompt for this one.
	Helpers []Helper
}

// Helper is a target that reads a part of another one's prompt.
type Helper struct {
	// Address is its host:port.
	Address string
	// Ticket names memory reserved there for the part, if any.
	ReservationID string
}

// Report is what a target says of itself when it is asked.
type Report struct {
	// Pace is how many times as long as usual its work takes: 1 for a sound target.
	Slowdown float64
	// Started is when its process started, in Unix milliseconds; zero where it does not tell.
	Started int64
}

// Message is what goes to a target: a caller's call unchanged, or an order.
type Message struct {
	// ID is the id that the answer must carry; orders have none.
	ID string
	// Method, URI (path and query as the caller wrote them) and Host are the caller's.
	Method, URI, Host string
	// Header has been cleared of what concerns one connection only.
	Header map[string][]string
	Body   []byte
	// Probed asks that the connection be probed while the answer is awaited, so that a
	// target whose host has died is known as dead though it owes no answer yet.
	ProbeConnection bool
	// CallerLeft tells, without waiting, whether the caller has closed its connection; nil
	// for orders, and where nobody can tell.
	CallerDisconnected func() bool
}

// Head is what the head of a target's answer says, decoded.
type Head struct {
	Status int
	// RequestID is the id of the call that the answer belongs to.
	RequestID string
	// Unrun is the target's word that it has not run the call and will not.
	NotExecuted bool
	// Signed tells whether the answer carries the target's signature; a success
	// without one is not the target's.
	Signed bool
	// Encoded answers are not the bytes that the target made.
	Encoded bool
	// AtFault is the address of a helper that the call failed for.
	FailedHelper string
	// Notice is what the target that answered says of itself.
	Notice Notice
	// Unread names headers that the dialect does not understand.
	UnknownHeaders []string
}

// Said is what the target that was meant says of itself: nothing, where another one answered.
func (h *Head) TargetNotice() Notice {
	if h.Status == statusMisdirected {
		return Notice{}
	}
	return h.Notice
}

// Disposition is what an answer is good for.
type Disposition int

// The verdicts.
const (
	// Deliver means that the answer is the caller's.
	Deliver Disposition = iota
	// Rejected means that the call has not run at this target.
	Rejected
	// Erred means that the target ran the call and failed; the answer may be given
	// to the caller if no other target does better.
	TargetError
	// Useless means that the call may have run, and that the answer must not be
	// given to the caller.
	Unusable
)

// statusMisdirected is the answer of a target that is not the one that was meant.
const statusMisdirected = 421

// Judge tells what an answer is good for from its head.
func (h *Head) Classify() Disposition {
	switch {
	case h.NotExecuted || h.Status == statusMisdirected:
		return Rejected
	case h.Encoded:
		return Unusable
	case h.Status >= 200 && h.Status < 300:
		if !h.Signed {
			return Unusable
		}
		return Deliver
	case impliesNotExecuted(h.Status):
		// To the caller it would mean that nothing ran, which the target did not say.
		return Unusable
	case h.Status >= 500:
		return TargetError
	default:
		return Deliver
	}
}

// impliesNotExecuted tells whether callers take a status as the word that nothing ran.
func impliesNotExecuted(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// Rules are what a route allows.
type Rules struct {
	// Repeatable calls may run more than once.
	Repeatable bool
	// MaxAttempts is the most targets that may run the call.
	MaxAttempts int
}

// maxRejections is the most targets that may turn a call away before it is refused:
// each of them costs a part of the fleet's budget for repeated sends, and where
// three in a row are full the next one most likely is too.
const maxRejections = 3

// Progress is what is known of a call so far. The zero value with Rules set is a
// call that has not been sent.
type Progress struct {
	Rules Rules
	// Begun is true once the caller has been given the head of an answer.
	AnswerStarted bool

	mayHaveRun int // sends after which a target may have run the call
	rejections int // sends that a target turned away
}

// Failed takes the result of a send that did not lead to a whole answer.
func (p *Progress) RecordFailure(x fault.Execution, reached bool) {
	switch {
	case x != fault.NotRun:
		p.mayHaveRun++
	case reached:
		p.rejections++
	}
}

// Sends is the number of sends that reached a target.
func (p *Progress) Sends() int { return p.mayHaveRun + p.rejections }

// MayTryAgain tells whether the rules allow one more send. The budget for repeated
// sends and the time left are not its matter.
func (p *Progress) MayRetry() bool {
	if p.mayHaveRun > 0 && !p.Rules.Repeatable {
		return false
	}
	return p.mayHaveRun < p.Rules.MaxAttempts && p.rejections < maxRejections
}

// Execution is what can be said of the call when no send is under way.
func (p *Progress) Execution() fault.Execution {
	if p.AnswerStarted {
		return fault.Ran
	}
	if p.mayHaveRun > 0 {
		return fault.Unknown
	}
	return fault.NotRun
}
