package blackboard

import (
	"time"

	"doorstack.dev/core/engine"
	"doorstack.dev/core/routing"
)

// slowdownReport is how fast a target of known timing said that it works.
type slowdownReport struct {
	factor float64
	// until is when the report is too old to be used.
	validUntil time.Time
}

// SetPace takes in the factor by which a target says that its work takes longer, to be used
// until a later moment.
func (t *TargetTable) SetSlowdown(id string, reported float64, until, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.byID[id]; s != nil {
		s.slowdown = slowdownReport{factor: engine.Slowdown(reported), validUntil: until}
		s.refresh(at)
	}
}

// now is the factor that counts at a moment.
func (p *slowdownReport) valueAt(at time.Time) float64 {
	if at.After(p.validUntil) {
		return 1
	}
	return max(1, p.factor)
}

// TimedPools lists the pools whose engines' timing is known.
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

// Askable lists the live targets of a pool that have not asked this daemon for rest.
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
