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
func (s *targetState) startedAnew(incarnation int64) bool {
	return s.started > 0 && incarnation > s.started
}

// endCallsBefore tells whoever waits for an answer of the process before: a host that lost power
// may leave their connections open. Calls that were sent later are the new process's, by the
// clocks of two hosts; one that is told wrongly goes elsewhere only where it may.
func (s *targetState) endCallsBefore(incarnation int64) {
	for _, c := range s.calls {
		if c.sent.UnixMilli() < incarnation {
			c.endGone()
		}
	}
}

// endGone tells that the target of a call is gone, once.
func (c *ownCall) endGone() {
	if !c.told {
		c.told = true
		close(c.gone)
	}
}

// Started takes in when a target says that its process started, and tells whether what was
// believed of an earlier one has ended.
func (t *TargetTable) Started(id string, incarnation int64, at time.Time) (anew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byID[id]
	if s == nil || incarnation <= s.started {
		return false
	}
	if !s.startedAnew(incarnation) {
		s.started = incarnation
		return false
	}
	s.endCallsBefore(incarnation)
	fresh := &targetState{
		id: s.id, address: s.address, started: incarnation, listed: s.listed,
		pool: s.pool, index: s.index, calls: map[string]*ownCall{},
	}
	t.notices.UpdateTarget(id, s.address, incarnation)
	t.recallNotices(fresh, at)
	fresh.pool.states[fresh.index] = fresh
	t.byID[id] = fresh
	// The calls of the earlier process end at its state, which no decision looks at.
	s.pool, s.index = &targetPool{targets: []routing.Target{fresh.pool.targets[fresh.index]}}, 0
	fresh.refresh(at)
	return true
}
