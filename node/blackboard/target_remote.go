package blackboard

import (
	"time"

	"doorstack.dev/core/routing"
)

// CallState is a call in progress as daemons tell each other of it, so that whoever
// places the next one knows of all.
type CallState struct {
	Attempt string   `cbor:"1,keyasint"`
	Target  string   `cbor:"2,keyasint"`
	Helpers []string `cbor:"3,keyasint,omitempty"`
	// MemoryTokens is the memory that the call takes, in tokens.
	MemoryTokens int64 `cbor:"4,keyasint,omitempty"`
	// Part is the reading time of each part of the prompt, in seconds.
	PartPrefillTime float64 `cbor:"5,keyasint,omitempty"`
	// GapGoal is the longest pause between two events that its caller wants, in seconds.
	GapGoal float64 `cbor:"6,keyasint,omitempty"`
	// Read is true once its prompt has been read.
	PrefillDone bool `cbor:"7,keyasint,omitempty"`
	// Tickets are what helpers set aside.
	Reservations []routing.MemoryReservation `cbor:"8,keyasint,omitempty"`
	// Goal is the goal for the first event and Waited what of it is over, in seconds.
	Goal   float64 `cbor:"9,keyasint,omitempty"`
	Waited float64 `cbor:"10,keyasint,omitempty"`
	// PromptTokens is the length of the prompt.
	PromptTokens int64 `cbor:"11,keyasint,omitempty"`
}

// CallStateOf makes the state of a call from the decision that placed it.
func CallStateOf(attempt string, d *routing.Decision) CallState {
	state := CallState{
		Attempt: attempt, Target: d.Chosen, Helpers: d.Helpers, MemoryTokens: d.Request.MemoryTokens(),
		PartPrefillTime: d.PrefillTime / float64(1+len(d.Helpers)), GapGoal: d.Request.GapGoal, Reservations: d.Reservations,
		Goal: d.Request.Goal, Waited: d.Request.Waited, PromptTokens: d.Request.PromptTokens,
	}
	for _, ticket := range d.Reservations {
		state.MemoryTokens = max(0, state.MemoryTokens-ticket.Tokens)
	}
	return state
}

// Adopt counts a call that another daemon placed or makes. The channel is closed if
// the target is taken to be gone; it is nil for a target that is not known here.
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

// Calls lists the calls in progress of a pool, by the attempts' states that were
// counted here.
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

// describe is the call's state for another daemon.
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
