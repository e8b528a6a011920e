// Package requestcontrol takes a request from its arrival to its answer: placement on a
// target, answer stream, retries. Requests that are not forwarded unchanged first pass the
// account limits and the queue estimate, and some calls of plain services claim their
// idempotency key. The inputs are the request, the settings that apply to it and the
// daemon's shared state; the API servers call the package through Director.
package requestcontrol

import (
	"time"

	"doorstack.dev/core/forward"
	"doorstack.dev/core/once"
	"doorstack.dev/core/poison"
	"doorstack.dev/core/settings"
	"doorstack.dev/node/target"
)

// Request is a caller's request. It is resolved against one settings revision and
// keeps that revision until it ends.
type Request struct {
	// ID is the request id shown to callers and operators.
	ID string
	// Account is the caller's account, Route the requested route.
	Account *settings.ClientAccount
	Route   *settings.ResolvedRoute
	// Revision is the settings revision.
	Revision int64
	// Arrived is the arrival time; the request ends by Deadline.
	Arrived, Deadline time.Time
	// IdempotencyKey is the caller's key, or empty.
	IdempotencyKey string
	// Prompt and MaxTokens are set for model engines.
	Prompt    string
	MaxTokens int64
	// ServiceCall is set for plain services.
	ServiceCall *target.ServiceCall
	// Forward is set for calls that are forwarded unchanged; Path is the path route that they match.
	Forward *forward.Message
	Path    *settings.ResolvedPath
	// CallerAddress is the caller's end of its connection, as IP:PORT.
	CallerAddress string
	// LastEventID is the id of the last event that the caller received from the stream.
	LastEventID string
	// SharedParts are the ids of the prompt's parts that other prompts may contain too.
	SharedParts []string
	// DeclaredPrompt identifies the prompt of a forwarded call, whose body may be the same for different prompts.
	DeclaredPrompt string

	// CallerTimeout is how long the caller waits, as it stated; zero if it did not.
	CallerTimeout time.Duration

	// once is the claim to a forwarded call that may run once, and sendClaim where other daemons hold it; nil for other calls,
	// and where there are no other daemons.
	once            *once.Claim
	sendClaim       *SendClaim
	promptTokens    int64
	prefixes        []uint64
	cachedPoisonKey *poison.Key
	cachedPartKeys  []poison.Key
	// suspected reports that a target had already crashed while running this request when the
	// request was last checked for quarantine, which is before each send.
	suspected bool
	// answerStarted reports that the caller has received a part of the answer.
	answerStarted bool
}

// poisonKey identifies the request's content. It is computed on first use only: hashing a
// prompt of a million tokens takes a few milliseconds.
func (r *Request) poisonKey() poison.Key {
	if r.cachedPoisonKey == nil {
		k := r.computePoisonKey()
		r.cachedPoisonKey = &k
	}
	return *r.cachedPoisonKey
}

// payloadSize returns the length of the request's body or prompt in bytes.
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
		return poison.KeyOf(account, []byte(m.Method), []byte(m.Host), []byte(m.URI), []byte(r.DeclaredPrompt), m.Body)
	case r.ServiceCall != nil:
		return poison.KeyOf(account, []byte(r.Route.Name), []byte(r.ServiceCall.Method), []byte(r.ServiceCall.Path), r.ServiceCall.Body)
	default:
		return poison.KeyOf(account, []byte(r.Route.Name), []byte(r.Prompt))
	}
}

// SetPromptTokens sets the prompt length, in tokens, that the caller of a forwarded call stated.
func (r *Request) SetPromptTokens(n int64) { r.promptTokens = n }

// PromptTokens returns the prompt length in tokens: as stated by the caller of a forwarded call,
// or estimated from Prompt. It is zero for plain services.
func (r *Request) PromptTokens() int64 { return r.promptTokens }

// firstEventGoal returns the path route's goal for the time to the first event, or zero.
func (r *Request) firstEventGoal() time.Duration {
	if r.Path == nil {
		return 0
	}
	return r.Path.Goal
}

// gapGoal returns the path route's goal for the longest gap between two events, or zero.
func (r *Request) gapGoal() time.Duration {
	if r.Path == nil {
		return 0
	}
	return r.Path.GapGoal
}

// silenceTimeouts returns how long a target may send nothing.
func (r *Request) silenceTimeouts() forward.SilenceTimeouts {
	if r.Path != nil && r.Path.Kind == settings.CallStreaming {
		return forward.StreamTimeouts(r.firstEventGoal(), r.gapGoal())
	}
	return forward.PlainTimeouts(r.firstEventGoal())
}

// preparePrompt computes the prompt's token estimate and prefix hashes for routing.
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

// GenerateResult describes a complete answer of a model engine.
type GenerateResult struct {
	// Tokens is the number of tokens delivered.
	Tokens int64
	// FinishReason is the finish reason given by the engine.
	FinishReason string
	// TimeToFirstToken is the time from the request's arrival to its first token.
	TimeToFirstToken time.Duration
}
