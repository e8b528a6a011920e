package blackboard

import (
	"cmp"
	"slices"
	"time"

	"doorstack.dev/core/engine"
	"doorstack.dev/core/routing"
)

// prefillPart is a part of a call's prompt that a target reads.
type prefillPart struct {
	state          *targetState
	seconds        float64 // seconds
	reservedTokens int64   // tokens set aside for the call, beyond its own target's memory
}

// prefillState is what is known of the reading that a target of known timing has
// before it.
type prefillState struct {
	// until is when it will have read all that it was given.
	doneAt time.Time
	// unread holds the parts given and not yet known to be read, by call.
	pending map[string]pendingPart
}

// pendingPart is a part of a call's prompt with its reading time in seconds, and when it was given.
type pendingPart struct {
	call    *activeCall
	seconds float64
	added   time.Time
}

// prefillShare is the part of an engine's time that goes into reading while it has
// something to read: the rest are the steps' own costs.
const prefillShare = 0.9

// give adds a part.
func (r *prefillState) add(c *activeCall, work float64, at time.Time) {
	if r.pending == nil {
		r.pending = map[string]pendingPart{}
	}
	r.pending[c.id] = pendingPart{c, work, at}
	if r.doneAt.Before(at) {
		r.doneAt = at
	}
	r.doneAt = r.doneAt.Add(engine.Duration(work / prefillShare))
}

// givenSince is the reading time, in seconds, of the parts that were given after a time and are
// not known to be read.
func (r *prefillState) addedSince(since time.Time) float64 {
	work := 0.0
	for _, part := range r.pending {
		if part.added.After(since) {
			work += part.seconds
		}
	}
	return work
}

// end takes a part away that has been read or given up. What is left cannot be more
// than the parts that are not known to be read.
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

// beginReading gives the parts of a placed call to the targets that read them and
// returns the helpers.
func (t *TargetTable) beginPrefill(attempt string, d *routing.Decision, at time.Time) []TargetAddress {
	c := t.calls[attempt]
	c.gapGoal = d.Request.GapGoal
	c.setFirstEventGoal(d.Request.Goal, d.Request.Waited, at)
	return t.addParts(c, d.Helpers, d.Reservations, d.PrefillTime/float64(1+len(d.Helpers)), at)
}

// setGoal keeps when the first event is due, of a goal in seconds of which so much is over.
func (c *activeCall) setFirstEventGoal(goal, waited float64, at time.Time) {
	c.firstEventGoal = goal
	c.firstEventDue = at.Add(engine.Duration(goal - waited))
}

// The time that a prompt which is not read yet can be held up.
const (
	// secondsToFirstEvent is the time from the end of reading to the first event, in seconds:
	// one and a half passes of a target that writes.
	secondsToFirstEvent = 0.1
	// extraGoalsWhenLate is how many more goals a call may take that misses its own: callers leave
	// after four.
	extraGoalsWhenLate = 2
)

// holdUp is how long, in seconds, a call's prompt can be held up at a target that has so
// much to read.
func (c *activeCall) prefillSlack(reading float64, at time.Time) float64 {
	left := c.firstEventDue.Sub(at).Seconds() - reading - secondsToFirstEvent
	if left < 0 {
		left += extraGoalsWhenLate * c.firstEventGoal
	}
	return max(0, left)
}

// refreshUnread works out what is not read yet, and how long all of it can be held up.
func (s *targetState) refreshPendingPrompts(view *routing.Target, at time.Time) {
	view.PendingPromptTokens, view.PrefillSlack = 0, 0
	for _, part := range s.prefill.pending {
		if part.call.firstEventGoal <= 0 {
			continue
		}
		left := part.call.prefillSlack(view.PendingPrefill, at)
		if view.PendingPromptTokens == 0 || left < view.PrefillSlack {
			view.PrefillSlack = left
		}
		view.PendingPromptTokens += max(1, part.call.promptTokens)
	}
}

// giveParts counts the parts of a call's prompt at its target and the helpers.
func (t *TargetTable) addParts(c *activeCall, ids []string, tickets []routing.MemoryReservation, work float64, at time.Time) []TargetAddress {
	c.parts = append(c.parts, prefillPart{state: c.state, seconds: work})
	var helpers []TargetAddress
	for _, id := range ids {
		s := t.byID[id]
		if s == nil {
			continue
		}
		c.parts = append(c.parts, prefillPart{s, work, reservedTokensAt(tickets, id)})
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

func reservedTokensAt(tickets []routing.MemoryReservation, id string) int64 {
	for _, t := range tickets {
		if t.Target == id {
			return t.Tokens
		}
	}
	return 0
}

// endReading takes a call's parts off the targets' reading.
func (c *activeCall) endPrefill(at time.Time) {
	for _, part := range c.parts {
		part.state.prefill.remove(c.id, at)
		part.state.refresh(at)
	}
}

// giveBack ends what helpers set aside for a call.
func (c *activeCall) releaseParts(at time.Time) {
	for _, part := range c.parts {
		part.state.reservedTokens -= part.reservedTokens
		part.state.refresh(at)
	}
	c.parts = nil
}

// markDisturbed notes the calls at a target whose goal for the pause between two events
// is missed by the reading before it. They suffer no more from what else is read there.
func (s *targetState) markDisturbed(reader *activeCall, at time.Time) {
	pause := s.prefill.doneAt.Sub(at).Seconds()
	for _, c := range s.calls {
		if c != reader && pause > c.gapGoal {
			c.disturbed = true
		}
	}
}

// maxSensitiveGap is the goal for the pause between two events, in seconds, up to which a
// call counts as one that suffers from reading beside it: half of a pass full of
// reading on the users' engines (0.64 s).
const maxSensitiveGap = 0.32

// refreshTimed works out what a target of known timing has before it.
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

// addToDecodeGroup counts a call among those with the same goal.
func addToDecodeGroup(list []routing.DecodeGroup, c *activeCall) []routing.DecodeGroup {
	i, found := slices.BinarySearchFunc(list, c.gapGoal, func(w routing.DecodeGroup, gap float64) int { return cmp.Compare(w.GapGoal, gap) })
	if !found {
		list = slices.Insert(list, i, routing.DecodeGroup{GapGoal: c.gapGoal})
	}
	list[i].Tokens += c.load.MemoryTokens
	return list
}
