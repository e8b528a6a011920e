// Package requestcontrol takes a request from admission to its answer: limits,
// estimate, claim, queue, target, stream, retry. Director reads top to bottom in
// that order.
package requestcontrol

import (
	"time"

	"doorstack.dev/core/forward"
	"doorstack.dev/core/poison"
	"doorstack.dev/core/settings"
	"doorstack.dev/node/target"
)

// Request is a request of a caller, resolved against one settings revision that
// it keeps to its end.
type Request struct {
	// ID is the request id that callers and operators know it by.
	ID string
	// Account and Route say who asks for what.
	Account *settings.ClientAccount
	Route   *settings.ResolvedRoute
	// Revision is the settings revision.
	Revision int64
	// Arrived and Deadline bound its life.
	Arrived, Deadline time.Time
	// IdempotencyKey is the caller's key, or empty.
	IdempotencyKey string
	// Prompt and MaxTokens are for model engines.
	Prompt    string
	MaxTokens int64
	// Call is for plain services.
	ServiceCall *target.ServiceCall
	// Forward is for calls that are passed on unchanged; Path is their route.
	Forward *forward.Message
	Path    *settings.ResolvedPath
	// LastEvent is the last event of the stream that the caller has already.
	LastEventID string

	promptTokens    int64
	prefixes        []uint64
	cachedPoisonKey *poison.Key
	// suspected means that a target had ended under the request when it was last sent.
	suspected bool
	// begun means that the caller has a part of the answer.
	answerStarted bool
}

// poisonKey names what the request asks for. It is worked out when it is first needed: a
// prompt of a million tokens takes some milliseconds.
func (r *Request) poisonKey() poison.Key {
	if r.cachedPoisonKey == nil {
		k := r.computePoisonKey()
		r.cachedPoisonKey = &k
	}
	return *r.cachedPoisonKey
}

// size is the length of the request's body or prompt, in bytes.
func (r *Request) payloadSize() int {
	switch {
	case r.Forward != nil:
		return len(r.Forward.Body)
	case r.ServiceCall != nil:
		return len(r.ServiceCall.Body)
	default:
		return len(r.Prompt)
	}
}

func (r *Request) computePoisonKey() poison.Key {
	account := r.Account.Path
	switch {
	case r.Forward != nil:
		m := r.Forward
		return poison.KeyOf(account, []byte(m.Method), []byte(m.Host), []byte(m.URI), m.Body)
	case r.ServiceCall != nil:
		return poison.KeyOf(account, []byte(r.Route.Name), []byte(r.ServiceCall.Method), []byte(r.ServiceCall.Path), r.ServiceCall.Body)
	default:
		return poison.KeyOf(account, []byte(r.Route.Name), []byte(r.Prompt))
	}
}

// SetPromptTokens sets the length that the caller states.
func (r *Request) SetPromptTokens(n int64) { r.promptTokens = n }

// PromptTokens is the estimated length of the prompt; zero for plain services.
func (r *Request) PromptTokens() int64 { return r.promptTokens }

// goal is the time to the first event that the route asks for, or zero.
func (r *Request) firstEventGoal() time.Duration {
	if r.Path == nil {
		return 0
	}
	return r.Path.Goal
}

// gapGoal is the longest pause between two events that the route asks for, or zero.
func (r *Request) gapGoal() time.Duration {
	if r.Path == nil {
		return 0
	}
	return r.Path.GapGoal
}

// patience is how long a target may say nothing.
func (r *Request) silenceTimeouts() forward.SilenceTimeouts {
	if r.Path != nil && r.Path.Kind == settings.CallStreaming {
		return forward.StreamTimeouts(r.firstEventGoal(), r.gapGoal())
	}
	return forward.PlainTimeouts(r.firstEventGoal())
}

// prepare works out what routing needs from the prompt, once.
func (r *Request) preparePrompt() {
	if r.ServiceCall != nil || r.Forward != nil {
		return
	}
	r.promptTokens = target.EstimateTokens(len(r.Prompt))
	r.prefixes = target.PrefixHashes(r.Prompt)
}

// TokenSink receives an answer's tokens in order, each exactly once.
type TokenSink interface {
	Token(index int64, text string) error
}

// GenerateResult is the end of a whole answer.
type GenerateResult struct {
	// Tokens is the number of tokens given.
	Tokens int64
	// FinishReason is the engine's.
	FinishReason string
	// FirstToken is the time from arrival to the first token.
	TimeToFirstToken time.Duration
}
