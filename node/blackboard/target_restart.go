package blackboard

import (
	"time"

	"doorstack.dev/core/routing"
)

// A target's process may crash and restart under the same id before its entry on the host list
// expires. The new process has none of the old one's calls, memory reservations or prompts, and the
// old one's failures and slowdown say nothing about it.

// restarted reports whether an incarnation is a later process than the one that this state
// describes.
func (s *targetState) restarted(incarnation int64) bool {
	return s.incarnation > 0 && incarnation > s.incarnation
}

// Incarnation returns the start time of a target's process in Unix milliseconds, or zero if it is not known.
func (t *TargetTable) Incarnation(id string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.byID[id]; s != nil {
		return s.incarnation
	}
	return 0
}

// endCallsSentBefore notifies the calls that wait for an answer of the old process: a host that lost
// power may leave their connections open. Calls sent after the restart belong to the new process. The
// two times come from different hosts' clocks; a call notified by mistake is retried only if it may be.
func (s *targetState) endCallsSentBefore(incarnation int64) {
	for _, c := range s.calls {
		if c.sent.UnixMilli() < incarnation {
			c.closeGone()
		}
	}
}

// closeGone signals once that the target of a call is gone.
func (c *activeCall) closeGone() {
	if !c.goneClosed {
		c.goneClosed = true
		close(c.gone)
	}
}

// RecordStart records the start time that a target reports for its process, in Unix milliseconds,
// and reports whether the state of an earlier process was discarded.
func (t *TargetTable) RecordStart(id string, incarnation int64, at time.Time) (restarted bool) {
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
		pool: s.pool, index: s.index, calls: map[string]*activeCall{}, coldCallsFrom: s.coldCallsFrom, entryRevision: s.entryRevision,
	}
	t.notices.UpdateTarget(id, s.address, incarnation)
	t.recordCold(fresh, s.pool.coldStart, at)
	t.applyNotices(fresh, at)
	fresh.pool.states[fresh.index] = fresh
	t.byID[id] = fresh
	// Calls of the old process end at its old state, which routing no longer sees.
	s.pool, s.index = &targetPool{targets: []routing.Target{fresh.pool.targets[fresh.index]}}, 0
	fresh.refresh(at)
	return true
}
