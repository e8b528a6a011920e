package blackboard

import (
	"cmp"
	"slices"
	"time"

	"doorstack.dev/core/engine"
	"doorstack.dev/core/routing"
)

// readPart is a part of a call's prompt that a target reads.
type readPart struct {
	state  *targetState
	work   float64 // seconds
	memory int64   // tokens set aside for the call, beyond its own target's memory
}

// readingState is what is known of the reading that a target of known timing has
// before it.
type readingState struct {
	// until is when it will have read all that it was given.
	until time.Time
	// unread holds the parts given and not yet known to be read, by call.
	unread map[string]unreadPart
}

// unreadPart is a part of a call's prompt with its reading time in seconds, and when it was given.
type unreadPart struct {
	call  *ownCall
	work  float64
	given time.Time
}

// readingShare is the part of an engine's time that goes into reading while it has
// something to read: the rest are the steps' own costs.
const readingShare = 0.9

// give adds a part.
func (r *readingState) give(c *ownCall, work float64, at time.Time) {
	if r.unread == nil {
		r.unread = map[string]unreadPart{}
	}
	r.unread[c.id] = unreadPart{c, work, at}
	if r.until.Before(at) {
		r.until = at
	}
	r.until = r.until.Add(engine.Duration(work / readingShare))
}

// givenSince is the reading time, in seconds, of the parts that were given after a time and are
// not known to be read.
func (r *readingState) givenSince(since time.Time) float64 {
	work := 0.0
	for _, part := range r.unread {
		if part.given.After(since) {
			work += part.work
		}
	}
	return work
}

// end takes a part away that has been read or given up. What is left cannot be more
// than the parts that are not known to be read.
func (r *readingState) end(attempt string, at time.Time) {
	if _, ok := r.unread[attempt]; !ok {
		return
	}
	delete(r.unread, attempt)
	left := 0.0
	for _, part := range r.unread {
		left += part.work
	}
	if limit := at.Add(engine.Duration(left / readingShare)); r.until.After(limit) {
		r.until = limit
	}
}

// beginReading gives the parts of a placed call to the targets that read them and
// returns the helpers.
func (t *TargetTable) beginReading(attempt string, d *routing.Decision, at time.Time) []TargetAddress {
	c := t.calls[attempt]
	c.gap = d.Request.GapGoal
	c.setGoal(d.Request.Goal, d.Request.Waited, at)
	return t.giveParts(c, d.Helpers, d.Reservations, d.PrefillTime/float64(1+len(d.Helpers)), at)
}

// setGoal keeps when the first event is due, of a goal in seconds of which so much is over.
func (c *ownCall) setGoal(goal, waited float64, at time.Time) {
	c.goal = goal
	c.due = at.Add(engine.Duration(goal - waited))
}

// The time that a prompt which is not read yet can be held up.
const (
	// toFirstEvent is the time from the end of reading to the first event, in seconds:
	// one and a half passes of a target that writes.
	toFirstEvent = 0.1
	// lateGoals is how many more goals a call may take that misses its own: callers leave
	// after four.
	lateGoals = 2
)

// holdUp is how long, in seconds, a call's prompt can be held up at a target that has so
// much to read.
func (c *ownCall) holdUp(reading float64, at time.Time) float64 {
	left := c.due.Sub(at).Seconds() - reading - toFirstEvent
	if left < 0 {
		left += lateGoals * c.goal
	}
	return max(0, left)
}

// refreshUnread works out what is not read yet, and how long all of it can be held up.
func (s *targetState) refreshUnread(view *routing.Target, at time.Time) {
	view.PendingPromptTokens, view.PrefillSlack = 0, 0
	for _, part := range s.reading.unread {
		if part.call.goal <= 0 {
			continue
		}
		left := part.call.holdUp(view.PendingPrefill, at)
		if view.PendingPromptTokens == 0 || left < view.PrefillSlack {
			view.PrefillSlack = left
		}
		view.PendingPromptTokens += max(1, part.call.prompt)
	}
}

// giveParts counts the parts of a call's prompt at its target and the helpers.
func (t *TargetTable) giveParts(c *ownCall, ids []string, tickets []routing.MemoryReservation, work float64, at time.Time) []TargetAddress {
	c.parts = append(c.parts, readPart{state: c.state, work: work})
	var helpers []TargetAddress
	for _, id := range ids {
		s := t.byID[id]
		if s == nil {
			continue
		}
		c.parts = append(c.parts, readPart{s, work, ticketTokens(tickets, id)})
		helpers = append(helpers, TargetAddress{ID: s.id, Address: s.address})
	}
	for _, part := range c.parts {
		part.state.reading.give(c, part.work, at)
		part.state.markDisturbed(c, at)
		part.state.setAside += part.memory
		part.state.refresh(at)
	}
	return helpers
}

func ticketTokens(tickets []routing.MemoryReservation, id string) int64 {
	for _, t := range tickets {
		if t.Target == id {
			return t.Tokens
		}
	}
	return 0
}

// endReading takes a call's parts off the targets' reading.
func (c *ownCall) endReading(at time.Time) {
	for _, part := range c.parts {
		part.state.reading.end(c.id, at)
		part.state.refresh(at)
	}
}

// giveBack ends what helpers set aside for a call.
func (c *ownCall) giveBack(at time.Time) {
	for _, part := range c.parts {
		part.state.setAside -= part.memory
		part.state.refresh(at)
	}
	c.parts = nil
}

// markDisturbed notes the calls at a target whose goal for the pause between two events
// is missed by the reading before it. They suffer no more from what else is read there.
func (s *targetState) markDisturbed(reader *ownCall, at time.Time) {
	pause := s.reading.until.Sub(at).Seconds()
	for _, c := range s.calls {
		if c != reader && pause > c.gap {
			c.disturbed = true
		}
	}
}

// tightGap is the goal for the pause between two events, in seconds, up to which a
// call counts as one that suffers from reading beside it: half of a pass full of
// reading on the users' engines (0.64 s).
const tightGap = 0.32

// refreshTimed works out what a target of known timing has before it.
func (s *targetState) refreshTimed(view *routing.Target, at time.Time) {
	view.PendingPrefill = max(0, s.reading.until.Sub(at).Seconds())
	view.RecentPrefill = 0
	if timing := s.pool.timing; timing != nil && len(s.calls) > 0 {
		pass := timing.PassTime(view.Load.Requests, view.Load.MemoryTokens)
		view.RecentPrefill = s.reading.givenSince(at.Add(-engine.Duration(pass)))
	}
	s.refreshUnread(view, at)
	view.GapGoal, view.GapSensitive, view.DecodeGroups = 0, 0, nil
	view.Load.MemoryTokens += s.setAside
	for _, c := range s.calls {
		if c.gap <= 0 || c.disturbed {
			continue
		}
		view.DecodeGroups = addWriter(view.DecodeGroups, c)
		if c.gap <= tightGap {
			view.GapSensitive++
		}
	}
	if len(view.DecodeGroups) > 0 {
		view.GapGoal = view.DecodeGroups[0].GapGoal
	}
}

// addWriter counts a call among those with the same goal.
func addWriter(list []routing.DecodeGroup, c *ownCall) []routing.DecodeGroup {
	i, found := slices.BinarySearchFunc(list, c.gap, func(w routing.DecodeGroup, gap float64) int { return cmp.Compare(w.GapGoal, gap) })
	if !found {
		list = slices.Insert(list, i, routing.DecodeGroup{GapGoal: c.gap})
	}
	list[i].Tokens += c.load.MemoryTokens
	return list
}
