package blackboard

import (
	"time"

	"doorstack.dev/core/routing"
)

// A target's process may crash and another start under the same id before its entry runs out.
// The later one holds no calls, no memory set aside and no prompts of the earlier one, and the
// earlier one's failures and pace say nothing of it.

// startedAnew tells whether a target's process is a later one than that of which this state
// is believed.
func (s *targetState) restarted(incarnation int64) bool {
	return s.incarnation > 0 && incarnation > s.incarnation
}

// endCallsBefore tells whoever waits for an answer of the process before: a host that lost power
// may leave their connections open. Calls that were sent later are the new process's, by the
// clocks of two hosts; one that is told wrongly goes elsewhere only where it may.
func (s *targetState) endCallsSentBefore(incarnation int64) {
	for _, c := range s.calls {
		if c.sent.UnixMilli() < incarnation {
			c.closeGone()
		}
	}
}

// endGone tells that the target of a call is gone, once.
func (c *activeCall) closeGone() {
	if !c.goneClosed {
		c.goneClosed = true
		close(c.gone)
	}
}

// Started takes in when a target says that its process started, and tells whether what was
// believed of an earlier one has ended.
func (t *TargetTable) RecordStart(id string, incarnation int64, at time.Time) (anew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byID[id]
	if s == nil || incarnation <= s.incarnation {
		return false
	}
	if !s.restarted(incarnation) {
		s.incarnation = incarnation
		return false
	}
	s.endCallsSentBefore(incarnation)
	fresh := &targetState{
		id: s.id, address: s.address, incarnation: incarnation, listed: s.listed,
		pool: s.pool, index: s.index, calls: map[string]*activeCall{},
	}
	t.notices.UpdateTarget(id, s.address, incarnation)
	t.applyNotices(fresh, at)
	fresh.pool.states[fresh.index] = fresh
	t.byID[id] = fresh
	// The calls of the earlier process end at its state, which no decision looks at.
	s.pool, s.index = &targetPool{targets: []routing.Target{fresh.pool.targets[fresh.index]}}, 0
	fresh.refresh(at)
	return true
}
