// Package decision is the record of a choice: what was asked, what was known,
// what came out and why. A record holds its inputs, so the choice can be made
// again from the record alone and compared.
package decision

import (
	"time"

	"doorstack.dev/core/admission"
	"doorstack.dev/core/routing"
)

// Kind names what was decided.
type Kind string

// The kinds of decision.
const (
	KindLimit Kind = "limit"
	KindAdmit Kind = "admit"
	KindRoute Kind = "route"
	// KindPlace is a choice that a coordinator made for another daemon.
	KindPlace    Kind = "place"
	KindAttempt  Kind = "attempt"
	KindClaim    Kind = "claim"
	KindGroup    Kind = "group"
	KindAnswer   Kind = "answer"
	KindSettings Kind = "settings"
	KindOrder    Kind = "order"
	KindSweep    Kind = "sweep"
)

// Record is one decision.
type Record struct {
	// Request is the request id; empty for decisions that belong to none.
	Request string `json:"request,omitempty"`
	// Daemon made the decision, At that time.
	Daemon string    `json:"daemon"`
	At     time.Time `json:"at"`
	// By is the daemon whose choice it was, where that is another one.
	DecidedBy string `json:"by,omitempty"`
	// Kind names what was decided.
	Kind Kind `json:"kind"`
	// Account, Route and Pool are the subjects, where there are any.
	Account string `json:"account,omitempty"`
	Route   string `json:"route,omitempty"`
	Pool    string `json:"pool,omitempty"`
	// Revision is the settings revision that the request keeps to its end.
	Revision int64 `json:"revision,omitempty"`
	// Outcome is the choice in a word, Reason says why in a sentence.
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	// Target is the target concerned, Attempt the id of the call to it.
	Target  string `json:"target,omitempty"`
	Attempt string `json:"attempt,omitempty"`
	// Call names what was asked for, which is the same when a caller sends it again under
	// another request id.
	CallKey string `json:"call,omitempty"`

	// The inputs, by kind of decision.
	Routing  *routing.Decision   `json:"routing,omitempty"`
	Limit    *admission.Verdict  `json:"limit,omitempty"`
	Estimate *admission.Estimate `json:"estimate,omitempty"`
	Claim    *ClaimTally         `json:"claim,omitempty"`
	// Stream is how a forwarded answer went, in time.
	Stream *StreamTiming `json:"stream,omitempty"`
}

// StreamTiming is how a forwarded answer went, in time.
type StreamTiming struct {
	// Events is the number of events given to the caller.
	Events int `json:"events"`
	// First is the time to the first event, Gap the longest pause between two, Took the
	// time of the whole; Goal and GapGoal are what the route asks of First and Gap.
	FirstEvent     time.Duration `json:"first_ns,omitempty"`
	LongestGap     time.Duration `json:"gap_ns,omitempty"`
	Total          time.Duration `json:"took_ns"`
	FirstEventGoal time.Duration `json:"goal_ns,omitempty"`
	LongestGapGoal time.Duration `json:"gap_goal_ns,omitempty"`
}

// ClaimTally is how the witnesses of a key answered.
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
	// Possible is false for records that hold no inputs to decide from.
	Possible bool `json:"possible"`
	// Same tells whether the outcome is the recorded one.
	Same bool `json:"same"`
	// Outcome is what came out this time.
	Outcome string `json:"outcome,omitempty"`
}

// ReplayResult makes the decision again from its recorded inputs.
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
	default:
		return ReplayResult{}
	}
}

// Outcomes shared by several kinds.
const (
	OutcomeAdmitted = "admitted"
	OutcomeRefused  = "refused"
	OutcomeComplete = "whole"
	OutcomeFailed   = "failed"
	// OutcomeCancelled is an attempt that ended with its caller or its time.
	OutcomeCancelled = "cancelled"
)
