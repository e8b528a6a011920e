// Package decision defines the record of a decision that a daemon makes for a request or for
// its own operation: what was asked, what was known, the outcome and the reason. A record of
// an admission, placement or claim holds its inputs, so the decision can be made again from
// the record alone and compared.
package decision

import (
	"time"

	"doorstack.dev/core/admission"
	"doorstack.dev/core/fault"
	"doorstack.dev/core/routing"
)

// Kind names what was decided.
type Kind string

// The kinds of decision. KindLimit and KindAdmit are about admission, KindRoute about
// placement, KindAttempt about one call to a target, and KindAnswer about the whole answer.
// KindOrder is an order to a target to load a model, KindSweep the release of a reservation
// without an owner.
const (
	KindLimit Kind = "limit"
	KindAdmit Kind = "admit"
	KindRoute Kind = "route"
	// KindPlace is a placement that a coordinator chose for another daemon.
	KindPlace   Kind = "place"
	KindAttempt Kind = "attempt"
	KindClaim   Kind = "claim"
	KindGroup   Kind = "group"
	KindAnswer  Kind = "answer"
	// KindRepeat is whether a forwarded call may be sent once more.
	KindRepeat   Kind = "repeat"
	KindSettings Kind = "settings"
	KindOrder    Kind = "order"
	KindSweep    Kind = "sweep"
)

// Record is one decision.
type Record struct {
	// Request is the request ID; empty for decisions that belong to no request.
	Request string `json:"request,omitempty"`
	// Daemon is the daemon that recorded the decision, At the time of the decision.
	Daemon string    `json:"daemon"`
	At     time.Time `json:"at"`
	// DecidedBy is the daemon that made the choice, if it was another one.
	DecidedBy string `json:"by,omitempty"`
	// Kind names what was decided.
	Kind Kind `json:"kind"`
	// Account, Route and Pool are those of the request, where there are any.
	Account string `json:"account,omitempty"`
	Route   string `json:"route,omitempty"`
	Pool    string `json:"pool,omitempty"`
	// Revision is the settings revision, which stays the same for the whole request.
	Revision int64 `json:"revision,omitempty"`
	// Outcome is the result in a word, Reason the explanation in a sentence.
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	// Target is the ID of the target concerned, Attempt the ID of the call to it.
	Target  string `json:"target,omitempty"`
	Attempt string `json:"attempt,omitempty"`
	// CallKey identifies what was asked for. It stays the same when a caller sends the call
	// again under another request ID. Where a part of the prompt is quarantined it identifies that part.
	CallKey string `json:"call,omitempty"`
	// SharedParts are the ids of the prompt's parts that other prompts may contain too.
	SharedParts []string `json:"shared_parts,omitempty"`
	// EventsReceived is the number of events that the target sent in a failed attempt.
	EventsReceived int `json:"events_received,omitempty"`

	// Status and Framing are those of the latest target answer of a forwarded call: its HTTP status, and what marks
	// its end.
	Status  int    `json:"status,omitempty"`
	Framing string `json:"framing,omitempty"`

	// The inputs, by kind of decision.
	Routing  *routing.Decision        `json:"routing,omitempty"`
	Limit    *admission.Verdict       `json:"limit,omitempty"`
	Estimate *admission.Estimate      `json:"estimate,omitempty"`
	Claim    *ClaimTally              `json:"claim,omitempty"`
	Repeat   *admission.RepeatVerdict `json:"repeat,omitempty"`
	// Stream is the timing of a forwarded answer.
	Stream *StreamTiming `json:"stream,omitempty"`
	// Send is how an attempt of a forwarded call that may run once was sent, and SendClaim which other daemons were asked
	// whether it may be; nil if none was.
	Send      *Send      `json:"send,omitempty"`
	SendClaim *SendClaim `json:"send_claim,omitempty"`
}

// Send is one send of a forwarded call that may run once.
type Send struct {
	// Caller is the caller's end of its connection, and Connection the daemon's end of that to the target or the relay, as IP:PORT.
	Caller     string `json:"caller,omitempty"`
	Connection string `json:"connection,omitempty"`
	// Address is the target's, and Relay the daemon that the call went through.
	Address string `json:"address"`
	Relay   string `json:"relay,omitempty"`
	// Reused reports that the connection had carried other calls, and Broken counts those that broke before a byte was sent.
	Reused bool `json:"reused,omitempty"`
	Broken int  `json:"broken,omitempty"`
	// Bytes is the number of bytes sent.
	Bytes int64 `json:"bytes"`
	// Execution is what is known of the call's execution after the send: only after "not_run" may it be sent again.
	Execution fault.Execution `json:"execution"`
}

// SendClaim says what other daemons know of a call that may run once, by name.
type SendClaim struct {
	// Holders hold the claim to the call, Silent did not answer, and Ended do not run.
	Holders []string `json:"holders,omitempty"`
	Silent  []string `json:"silent,omitempty"`
	Ended   []string `json:"ended,omitempty"`
	// RepeatedAt knows another arrival of the request; empty if none does.
	RepeatedAt string `json:"repeated_at,omitempty"`
}

// StreamTiming is the timing of a forwarded answer.
type StreamTiming struct {
	// Events is the number of events sent to the caller, Sends the number of sends that produced them, and Skipped the
	// number of event ids that later ones left out.
	Events  int   `json:"events"`
	Sends   int   `json:"sends"`
	Skipped int64 `json:"skipped,omitempty"`
	// FirstEvent is the time to the first event, LongestGap the longest pause between two, and
	// Total the time of the whole answer. FirstEventGoal and LongestGapGoal are the route's
	// goals for the first two.
	FirstEvent     time.Duration `json:"first_ns,omitempty"`
	LongestGap     time.Duration `json:"gap_ns,omitempty"`
	Total          time.Duration `json:"took_ns"`
	FirstEventGoal time.Duration `json:"goal_ns,omitempty"`
	LongestGapGoal time.Duration `json:"gap_goal_ns,omitempty"`
}

// ClaimTally counts the answers of the witnesses of an idempotency key.
type ClaimTally struct {
	Key        string   `json:"key"`
	Witnesses  []string `json:"witnesses"`
	Needed     int      `json:"needed"`
	Granted    int      `json:"granted"`
	Denied     int      `json:"denied"`
	Unanswered int      `json:"silent"`
}

// ReplayResult is the result of making a recorded decision again.
type ReplayResult struct {
	// Possible reports whether the record holds the inputs of the decision.
	Possible bool `json:"possible"`
	// Same reports whether the outcome equals the recorded one.
	Same bool `json:"same"`
	// Outcome is the outcome of the replay.
	Outcome string `json:"outcome,omitempty"`
}

// Replay makes the decision again from its recorded inputs.
func (r *Record) Replay() ReplayResult {
	switch {
	case r.Routing != nil:
		again := r.Routing.Replay()
		same := again.Verdict == r.Routing.Verdict && again.Chosen == r.Routing.Chosen
		return ReplayResult{Possible: true, Same: same, Outcome: string(again.Verdict) + " " + again.Chosen}
	case r.Estimate != nil:
		outcome := OutcomeAdmitted
		if r.Estimate.Late() {
			outcome = OutcomeRefused
		}
		return ReplayResult{Possible: true, Same: outcome == r.Outcome, Outcome: outcome}
	case r.Limit != nil:
		outcome := OutcomeAdmitted
		if r.Limit.Limit != admission.LimitNone {
			outcome = OutcomeRefused
		}
		return ReplayResult{Possible: true, Same: outcome == r.Outcome, Outcome: outcome}
	case r.Claim != nil:
		outcome := OutcomeRefused
		if r.Claim.Granted >= r.Claim.Needed {
			outcome = OutcomeAdmitted
		}
		return ReplayResult{Possible: true, Same: outcome == r.Outcome, Outcome: outcome}
	case r.Repeat != nil:
		outcome := OutcomeRefused
		if float64(r.Repeat.Repeats+1) <= r.Repeat.Limit {
			outcome = OutcomeAdmitted
		}
		return ReplayResult{Possible: true, Same: outcome == r.Outcome, Outcome: outcome}
	default:
		return ReplayResult{}
	}
}

// Outcomes that several kinds share.
const (
	OutcomeAdmitted = "admitted"
	OutcomeRefused  = "refused"
	OutcomeComplete = "whole"
	OutcomeFailed   = "failed"
	// OutcomeCancelled is the outcome of an attempt that ended because its caller left or its
	// time was up.
	OutcomeCancelled = "cancelled"
)
