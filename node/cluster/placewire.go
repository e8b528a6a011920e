package cluster

import (
	"time"

	"doorstack.dev/core/once"
	"doorstack.dev/core/routing"
	"doorstack.dev/node/blackboard"
)

// The wire form of placement requests, their answers, and reports on placed calls.

// placeRequest asks the coordinator of a pool for a target. Level is as in admission.Item;
// the goals are in seconds, as in routing.Request.
type placeRequest struct {
	Attempt       string        `cbor:"1,keyasint"`
	Request       string        `cbor:"2,keyasint"`
	Pool          string        `cbor:"3,keyasint"`
	Account       string        `cbor:"4,keyasint"`
	Level         int           `cbor:"5,keyasint"`
	PromptTokens  int64         `cbor:"6,keyasint,omitempty"`
	OutputTokens  int64         `cbor:"7,keyasint,omitempty"`
	DataCentre    string        `cbor:"8,keyasint"`
	Exclude       []string      `cbor:"9,keyasint,omitempty"`
	Goal          float64       `cbor:"10,keyasint,omitempty"`
	GapGoal       float64       `cbor:"11,keyasint,omitempty"`
	Waited        time.Duration `cbor:"12,keyasint,omitempty"`
	UntilDeadline time.Duration `cbor:"13,keyasint"`
	Retry         bool          `cbor:"14,keyasint,omitempty"`
	// Calls are the requesting daemon's calls in the pool, on its first request to a
	// coordinator.
	Calls []blackboard.CallState `cbor:"15,keyasint,omitempty"`
	// AnswerStarted is true where the caller has received a part of the answer.
	AnswerStarted bool `cbor:"16,keyasint,omitempty"`
	// Limits are the rate limits of the pool's targets that the requesting daemon knows, on
	// its first request to a coordinator.
	Limits []blackboard.LimitState `cbor:"17,keyasint,omitempty"`
	// Homes are as in routing.Request.
	Homes []string `cbor:"18,keyasint,omitempty"`
	// Rank is the asked daemon's position in the requesting daemon's ranking, counted from 1; 0 in a request of a
	// version that knows no redirects.
	Rank int `cbor:"19,keyasint,omitempty"`
	// Insist asks for a placement although the asked daemon can reach one that is ranked before it.
	Insist bool `cbor:"20,keyasint,omitempty"`
	// Number counts the requesting daemon's placement requests, from 1; 0 from a version that does not number them.
	Number uint64 `cbor:"21,keyasint,omitempty"`
	// Field 22 held the claim to a request that may run once; see KindSingleSend.
}

// onceClaim is a once.Claim. Left is the time until it expires.
type onceClaim struct {
	ID      [8]byte       `cbor:"1,keyasint"`
	Content [8]byte       `cbor:"2,keyasint"`
	Owner   uint64        `cbor:"3,keyasint"`
	Left    time.Duration `cbor:"4,keyasint"`
}

// maxClaimTime bounds the time for which a daemon keeps the claim of another one: twice that of the longest calls.
const maxClaimTime = 10 * time.Minute

// wireClaim returns the wire form of a claim.
func wireClaim(c once.Claim) onceClaim {
	return onceClaim{ID: c.Key.ID, Content: c.Key.Content, Owner: uint64(c.Owner), Left: time.Until(c.Expires)}
}

// claim returns the claim as of now.
func (c *onceClaim) claim(now time.Time) once.Claim {
	return once.Claim{Key: once.Key{ID: c.ID, Content: c.Content}, Owner: once.Owner(c.Owner), Expires: now.Add(min(c.Left, maxClaimTime))}
}

// placeAnswer is a placement, a refusal, a redirect, or routing.Wait for a call that waits.
type placeAnswer struct {
	Attempt     string          `cbor:"1,keyasint"`
	Verdict     routing.Verdict `cbor:"2,keyasint"`
	Target      string          `cbor:"3,keyasint,omitempty"`
	Address     string          `cbor:"4,keyasint,omitempty"`
	Helpers     []placeHelper   `cbor:"5,keyasint,omitempty"`
	PrefillTime float64         `cbor:"6,keyasint,omitempty"`
	// Considered is the number of targets looked at.
	Considered int `cbor:"7,keyasint,omitempty"`
	// Reservations are the memory reservations to be made at helpers.
	Reservations []routing.MemoryReservation `cbor:"8,keyasint,omitempty"`
	// RetryAfter is the time, in seconds, after which a refused call's turn would have
	// come.
	RetryAfter float64 `cbor:"9,keyasint,omitempty"`
	// Limit is the rate limit that the target has declared, if any.
	Limit *blackboard.LimitState `cbor:"10,keyasint,omitempty"`
	// Rejections say why the coordinator found no target; nil for other verdicts.
	Rejections *routing.Rejections `cbor:"11,keyasint,omitempty"`
	// Coordinator is the daemon that should have been asked, where Verdict is verdictRedirect, and
	// CoordinatorAddress and CoordinatorIncarnation its peer address and incarnation: the requesting daemon may
	// not know it yet.
	Coordinator            string `cbor:"12,keyasint,omitempty"`
	CoordinatorAddress     string `cbor:"13,keyasint,omitempty"`
	CoordinatorIncarnation int64  `cbor:"14,keyasint,omitempty"`
	// Field 15 reported that the request had been placed before.
}

// verdictRedirect is the verdict of an answer that names the daemon to be asked. Requests of rank 0 do not get it.
const verdictRedirect routing.Verdict = "redirect"

// placeHelper is a target that prefills a part of the prompt for the chosen target.
type placeHelper struct {
	Target  string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// callProgress tells a coordinator that a call's prompt was read or that the call ended.
type callProgress struct {
	Attempt string                `cbor:"1,keyasint"`
	Ended   bool                  `cbor:"2,keyasint,omitempty"`
	Result  blackboard.CallResult `cbor:"3,keyasint,omitempty"`
	// Suspect is a target that gets no calls for SuspectFor.
	Suspect    string        `cbor:"4,keyasint,omitempty"`
	SuspectFor time.Duration `cbor:"5,keyasint,omitempty"`
	// Through is the number of the last placement request that the requesting daemon sent before the call's end; 0 from
	// a version that does not number its requests.
	Through uint64 `cbor:"6,keyasint,omitempty"`
	// Field 7 reported that the call has not run.
}
