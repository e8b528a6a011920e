package blackboard

import (
	"slices"
	"time"

	"doorstack.dev/core/forward"
	"doorstack.dev/core/routing"
)

// RecordNotice records a notice that a target sent with an answer, and reports whether it is new.
func (t *TargetTable) RecordNotice(id string, notice forward.TimedNotice) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byID[id]
	if s == nil {
		return false
	}
	isNew := t.notices.Record(id, s.address, s.incarnation, notice)
	if !t.recordCold(s, notice.ColdFor, notice.Received) && !isNew {
		return false
	}
	t.applyNotices(s, notice.Received)
	s.refresh(notice.Received)
	return true
}

// applyNotices copies the recorded notices of a target to its state. The notices outlive the state.
func (t *TargetTable) applyNotices(s *targetState, at time.Time) {
	s.drainNoticed = t.notices.Draining(s.id, at)
	s.limiter = t.notices.RateLimiter(s.id, at)
}

// NotAccepting returns the targets of a pool that have asked this daemon to send no calls: those
// that are draining, which other daemons may not know yet, and those in backoff for this daemon.
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

// BackoffLeft returns the shortest backoff left at the live targets of a pool, and reports whether
// a call has to wait for it. exclude lists the targets that the call has tried. The call has to wait
// if all other live targets are in backoff; if it has tried them all, one in backoff is enough.
// Targets outside homes, if there are any, do not count.
func (t *TargetTable) BackoffLeft(pool string, exclude, homes []string, at time.Time) (left time.Duration, mustWait bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[pool]
	if p == nil || t.notices.Empty() {
		return 0, false
	}
	for _, s := range p.states {
		if s.state() != routing.Live || len(homes) > 0 && !slices.Contains(homes, p.targets[s.index].Region) {
			continue
		}
		backoff := t.notices.BackoffLeft(s.id, at)
		if backoff == 0 && !slices.Contains(exclude, s.id) {
			return 0, false
		}
		if backoff > 0 && (left == 0 || backoff < left) {
			left = backoff
		}
	}
	return left, left > 0
}

// Accepts reports whether this daemon itself would send calls to a target: the target is known,
// neither draining nor gone, and not in backoff for this daemon.
func (t *TargetTable) Accepts(id string, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byID[id]
	return s != nil && s.state() == routing.Live && t.notices.BackoffLeft(id, at) == 0
}
