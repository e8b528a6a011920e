package blackboard

import (
	"time"

	"doorstack.dev/core/routing"
)

// CallState describes a call in progress. Daemons send it to each other, so that the
// daemon that places the next call knows of all calls.
type CallState struct {
	Attempt string   `cbor:"1,keyasint"`
	Target  string   `cbor:"2,keyasint"`
	Helpers []string `cbor:"3,keyasint,omitempty"`
	// MemoryTokens is the memory that the call takes at its target, in tokens.
	MemoryTokens int64 `cbor:"4,keyasint,omitempty"`
	// PartPrefillTime is the prefill time of each part of the prompt, in seconds.
	PartPrefillTime float64 `cbor:"5,keyasint,omitempty"`
	// GapGoal is the longest gap between two events that the caller accepts, in seconds.
	GapGoal float64 `cbor:"6,keyasint,omitempty"`
	// PrefillDone means that the prefill of the prompt is done.
	PrefillDone bool `cbor:"7,keyasint,omitempty"`
	// Reservations are the memory reservations at helpers.
	Reservations []routing.MemoryReservation `cbor:"8,keyasint,omitempty"`
	// Goal is the goal for the time to the first event and Waited the elapsed part of it, in seconds.
	Goal   float64 `cbor:"9,keyasint,omitempty"`
	Waited float64 `cbor:"10,keyasint,omitempty"`
	// PromptTokens is the length of the prompt, in tokens.
	PromptTokens int64 `cbor:"11,keyasint,omitempty"`
}

// CallStateOf returns the state of a call from the decision that placed it.
func CallStateOf(attempt string, d *routing.Decision) CallState {
	state := CallState{
		Attempt: attempt, Target: d.Chosen, Helpers: d.Helpers, MemoryTokens: d.Request.MemoryTokens(),
		PartPrefillTime: d.PrefillTime / float64(1+len(d.Helpers)), GapGoal: d.Request.GapGoal, Reservations: d.Reservations,
		Goal: d.Request.Goal, Waited: d.Request.Waited, PromptTokens: d.Request.PromptTokens,
	}
	for _, reservation := range d.Reservations {
		state.MemoryTokens = max(0, state.MemoryTokens-reservation.Tokens)
	}
	return state
}

// Adopt counts a call of this daemon that another daemon placed, or a call that another
// daemon makes. The channel is closed if the target is considered gone; it is nil if the
// target is not known or the call is already counted.
func (t *TargetTable) Adopt(c CallState, at time.Time) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byID[c.Target]
	if s == nil || t.calls[c.Attempt] != nil {
		return nil
	}
	gone := t.begin(s, c.Attempt, routing.Load{Requests: 1, MemoryTokens: c.MemoryTokens}, at)
	call := t.calls[c.Attempt]
	call.prefillDone = c.PrefillDone
	call.gapGoal = c.GapGoal
	call.promptTokens = c.PromptTokens
	call.setFirstEventGoal(c.Goal, c.Waited, at)
	if !c.PrefillDone && c.PartPrefillTime > 0 {
		t.addParts(call, c.Helpers, c.Reservations, c.PartPrefillTime, at)
	}
	s.refresh(at)
	return gone
}

// Calls returns the states of the calls in progress to the targets of a pool, as far as
// this daemon counts them.
func (t *TargetTable) Calls(pool string, at time.Time) []CallState {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[pool]
	if p == nil {
		return nil
	}
	var list []CallState
	for _, s := range p.states {
		for _, c := range s.calls {
			list = append(list, c.callState(at))
		}
	}
	return list
}

// callState returns the call's state in the form sent to another daemon.
func (c *activeCall) callState(at time.Time) CallState {
	state := CallState{Attempt: c.id, Target: c.state.id, MemoryTokens: c.load.MemoryTokens, GapGoal: c.gapGoal, PrefillDone: c.prefillDone, Goal: c.firstEventGoal, PromptTokens: c.promptTokens}
	state.Waited = c.firstEventGoal - c.firstEventDue.Sub(at).Seconds()
	for _, part := range c.parts {
		state.PartPrefillTime = part.seconds
		if part.state != c.state {
			state.Helpers = append(state.Helpers, part.state.id)
		}
		if part.reservedTokens > 0 {
			state.Reservations = append(state.Reservations, routing.MemoryReservation{Target: part.state.id, Tokens: part.reservedTokens})
		}
	}
	return state
}
