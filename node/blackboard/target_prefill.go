package blackboard

import (
	"cmp"
	"slices"
	"time"

	"doorstack.dev/core/engine"
	"doorstack.dev/core/routing"
)

// prefillPart is a part of a call's prompt that a target prefills.
type prefillPart struct {
	state          *targetState
	seconds        float64
	reservedTokens int64 // memory reserved for the call at a helper, in tokens
}

// prefillState is the outstanding prefill of a target of known timing, as far as this daemon
// knows it.
type prefillState struct {
	// doneAt is when the target will have prefilled all its parts.
	doneAt time.Time
	// pending holds, by call, the added parts whose prefill is not known to be done.
	pending map[string]pendingPart
}

// pendingPart is a part of a call's prompt, its prefill time in seconds, and when it was added.
type pendingPart struct {
	call    *activeCall
	seconds float64
	added   time.Time
}

// prefillShare is the share of an engine's time that goes into prefill while it has any to
// do: the rest is the fixed cost of the steps.
const prefillShare = 0.9

// add adds a part of a call's prompt.
func (r *prefillState) add(c *activeCall, seconds float64, at time.Time) {
	if r.pending == nil {
		r.pending = map[string]pendingPart{}
	}
	r.pending[c.id] = pendingPart{c, seconds, at}
	if r.doneAt.Before(at) {
		r.doneAt = at
	}
	r.doneAt = r.doneAt.Add(engine.Duration(seconds / prefillShare))
}

// addedSince returns the prefill time, in seconds, of the pending parts that were added after
// a time.
func (r *prefillState) addedSince(since time.Time) float64 {
	seconds := 0.0
	for _, part := range r.pending {
		if part.added.After(since) {
			seconds += part.seconds
		}
	}
	return seconds
}

// remove removes a part whose prefill is done or was cancelled. The outstanding prefill
// cannot exceed the remaining pending parts, so doneAt is limited to them.
func (r *prefillState) remove(attempt string, at time.Time) {
	if _, ok := r.pending[attempt]; !ok {
		return
	}
	delete(r.pending, attempt)
	left := 0.0
	for _, part := range r.pending {
		left += part.seconds
	}
	if limit := at.Add(engine.Duration(left / prefillShare)); r.doneAt.After(limit) {
		r.doneAt = limit
	}
}

// beginPrefill adds the parts of a placed call's prompt to the targets that prefill them
// and returns the helpers.
func (t *TargetTable) beginPrefill(attempt string, d *routing.Decision, at time.Time) []TargetAddress {
	c := t.calls[attempt]
	c.gapGoal = d.Request.GapGoal
	c.setFirstEventGoal(d.Request.Goal, d.Request.Waited, at)
	return t.addParts(c, d.Helpers, d.Reservations, d.PrefillTime/float64(1+len(d.Helpers)), at)
}

// setFirstEventGoal sets the goal for the time to the first event; waited is the part of it
// that has elapsed. Both are in seconds.
func (c *activeCall) setFirstEventGoal(goal, waited float64, at time.Time) {
	c.firstEventGoal = goal
	c.firstEventDue = at.Add(engine.Duration(goal - waited))
}

// Constants of the time by which a pending prompt can be delayed.
const (
	// secondsToFirstEvent is the time from the end of prefill to the first event, in seconds:
	// one and a half passes of a target that is decoding.
	secondsToFirstEvent = 0.1
	// extraGoalsWhenLate is how many more times its goal a call that misses the goal may take,
	// which makes three times in all: callers give up after four times their goal.
	extraGoalsWhenLate = 2
)

// prefillSlack returns by how many seconds a call's prompt can be delayed at a target with
// the given seconds of pending prefill.
func (c *activeCall) prefillSlack(pending float64, at time.Time) float64 {
	slack := c.firstEventDue.Sub(at).Seconds() - pending - secondsToFirstEvent
	if slack < 0 {
		slack += extraGoalsWhenLate * c.firstEventGoal
	}
	return max(0, slack)
}

// refreshPendingPrompts recomputes the tokens of the pending prompts and by how long all of them can be delayed.
func (s *targetState) refreshPendingPrompts(view *routing.Target, at time.Time) {
	view.PendingPromptTokens, view.PrefillSlack = 0, 0
	for _, part := range s.prefill.pending {
		if part.call.firstEventGoal <= 0 {
			continue
		}
		slack := part.call.prefillSlack(view.PendingPrefill, at)
		if view.PendingPromptTokens == 0 || slack < view.PrefillSlack {
			view.PrefillSlack = slack
		}
		view.PendingPromptTokens += max(1, part.call.promptTokens)
	}
}

// addParts adds the parts of a call's prompt to its target and the helpers.
func (t *TargetTable) addParts(c *activeCall, helperIDs []string, reservations []routing.MemoryReservation, seconds float64, at time.Time) []TargetAddress {
	c.parts = append(c.parts, prefillPart{state: c.state, seconds: seconds})
	var helpers []TargetAddress
	for _, id := range helperIDs {
		s := t.byID[id]
		if s == nil {
			continue
		}
		c.parts = append(c.parts, prefillPart{s, seconds, reservedTokensAt(reservations, id)})
		helpers = append(helpers, TargetAddress{ID: s.id, Address: s.address})
	}
	for _, part := range c.parts {
		part.state.prefill.add(c, part.seconds, at)
		part.state.markDisturbed(c, at)
		part.state.reservedTokens += part.reservedTokens
		part.state.refresh(at)
	}
	return helpers
}

// reservedTokensAt returns the memory reserved at a target, in tokens.
func reservedTokensAt(reservations []routing.MemoryReservation, id string) int64 {
	for _, r := range reservations {
		if r.Target == id {
			return r.Tokens
		}
	}
	return 0
}

// endPrefill removes a call's parts from the targets' pending prefill.
func (c *activeCall) endPrefill(at time.Time) {
	for _, part := range c.parts {
		part.state.prefill.remove(c.id, at)
		part.state.refresh(at)
	}
}

// releaseParts releases the memory that helpers reserved for a call.
func (c *activeCall) releaseParts(at time.Time) {
	for _, part := range c.parts {
		part.state.reservedTokens -= part.reservedTokens
		part.state.refresh(at)
	}
	c.parts = nil
}

// markDisturbed marks the calls at a target, except the added one, that the pending prefill
// makes miss their gap goal. Further prefill there costs these calls nothing more.
func (s *targetState) markDisturbed(added *activeCall, at time.Time) {
	gap := s.prefill.doneAt.Sub(at).Seconds()
	for _, c := range s.calls {
		if c != added && gap > c.gapGoal {
			c.disturbed = true
		}
	}
}

// maxSensitiveGap is the gap goal, in seconds, up to which a call counts as sensitive to
// prefill beside it: half the time of a pass full of prefill on production engines (0.64 s).
const maxSensitiveGap = 0.32

// refreshPrefill recomputes the part of the view that concerns prefill and decoding, for targets of known timing.
func (s *targetState) refreshPrefill(view *routing.Target, at time.Time) {
	view.PendingPrefill = max(0, s.prefill.doneAt.Sub(at).Seconds())
	view.RecentPrefill = 0
	if timing := s.pool.timing; timing != nil && len(s.calls) > 0 {
		pass := timing.PassTime(view.Load.Requests, view.Load.MemoryTokens)
		view.RecentPrefill = s.prefill.addedSince(at.Add(-engine.Duration(pass)))
	}
	s.refreshPendingPrompts(view, at)
	view.GapGoal, view.GapSensitive, view.DecodeGroups = 0, 0, nil
	view.Load.MemoryTokens += s.reservedTokens
	for _, c := range s.calls {
		if c.gapGoal <= 0 || c.disturbed {
			continue
		}
		view.DecodeGroups = addToDecodeGroup(view.DecodeGroups, c)
		if c.gapGoal <= maxSensitiveGap {
			view.GapSensitive++
		}
	}
	if len(view.DecodeGroups) > 0 {
		view.GapGoal = view.DecodeGroups[0].GapGoal
	}
}

// addToDecodeGroup counts a call in the group of calls with the same gap goal.
func addToDecodeGroup(list []routing.DecodeGroup, c *activeCall) []routing.DecodeGroup {
	i, found := slices.BinarySearchFunc(list, c.gapGoal, func(w routing.DecodeGroup, gap float64) int { return cmp.Compare(w.GapGoal, gap) })
	if !found {
		list = slices.Insert(list, i, routing.DecodeGroup{GapGoal: c.gapGoal})
	}
	list[i].Tokens += c.load.MemoryTokens
	return list
}
