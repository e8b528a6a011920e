package blackboard

import (
	"time"

	"doorstack.dev/core/engine"
	"doorstack.dev/core/routing"
)

// slowdownReport is the slowdown that a target of known timing reported for its work.
type slowdownReport struct {
	factor float64
	// validUntil is when the report becomes too old to be used.
	validUntil time.Time
}

// SetSlowdown records the factor by which a target reports that its work takes longer. The
// factor is used until the given time.
func (t *TargetTable) SetSlowdown(id string, reported float64, until, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.byID[id]; s != nil {
		s.slowdown = slowdownReport{factor: engine.Slowdown(reported), validUntil: until}
		s.refresh(at)
	}
}

// valueAt returns the factor in force at a time, 1 if there is none.
func (p *slowdownReport) valueAt(at time.Time) float64 {
	if at.After(p.validUntil) {
		return 1
	}
	return max(1, p.factor)
}

// TimedPools returns the pools whose engines' timing is known.
func (t *TargetTable) TimedPools() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for name, p := range t.pools {
		if p.timing != nil {
			names = append(names, name)
		}
	}
	return names
}

// PollableTargets returns the live targets of a pool that are not in backoff for this daemon.
func (t *TargetTable) PollableTargets(pool string, at time.Time) []TargetAddress {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[pool]
	if p == nil {
		return nil
	}
	var list []TargetAddress
	for _, s := range p.states {
		if s.state() == routing.Live && t.notices.BackoffLeft(s.id, at) == 0 {
			list = append(list, TargetAddress{ID: s.id, Pool: pool, Address: s.address})
		}
	}
	return list
}
