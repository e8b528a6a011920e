package blackboard

import (
	"slices"
	"time"

	"doorstack.dev/core/forward"
	"doorstack.dev/core/routing"
)

// Notice takes in what a target said of itself beside an answer, and tells whether it is news.
func (t *TargetTable) RecordNotice(id string, said forward.TimedNotice) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byID[id]
	if s == nil {
		return false
	}
	if !t.notices.Record(id, s.address, s.incarnation, said) {
		return false
	}
	t.applyNotices(s, said.Received)
	s.refresh(said.Received)
	return true
}

// recallNotices gives a target's state what the target has said of itself; that outlives the state.
func (t *TargetTable) applyNotices(s *targetState, at time.Time) {
	s.drainNoticed = t.notices.Draining(s.id, at)
	s.limiter = t.notices.RateLimiter(s.id)
}

// Unwilling lists the targets of a pool that have told this daemon that they want no calls: those
// that leave, which nobody else may know yet, and those that rest from this daemon's calls.
func (t *TargetTable) NotAccepting(pool string, at time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[pool]
	if p == nil || t.notices.Empty() {
		return nil
	}
	var ids []string
	for _, s := range p.states {
		if s.drainNoticed || t.notices.BackoffLeft(s.id, at) > 0 {
			ids = append(ids, s.id)
		}
	}
	return ids
}

// RestLeft tells whether no live target of a pool takes a call before some time is over: those
// that the call has not been to rest from this daemon's calls, or there are none and some of the
// others rest. It returns the shortest such time.
func (t *TargetTable) BackoffLeft(pool string, exclude []string, at time.Time) (left time.Duration, all bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[pool]
	if p == nil || t.notices.Empty() {
		return 0, false
	}
	for _, s := range p.states {
		if s.state() != routing.Live {
			continue
		}
		rest := t.notices.BackoffLeft(s.id, at)
		if rest == 0 && !slices.Contains(exclude, s.id) {
			return 0, false
		}
		if rest > 0 && (left == 0 || rest < left) {
			left = rest
		}
	}
	return left, left > 0
}

// Willing tells whether this daemon itself would send to a target: it knows it, not as one that
// leaves or has gone, and the target has not asked it for rest.
func (t *TargetTable) Accepts(id string, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byID[id]
	return s != nil && s.state() == routing.Live && t.notices.BackoffLeft(id, at) == 0
}
