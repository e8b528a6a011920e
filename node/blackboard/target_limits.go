package blackboard

import (
	"slices"
	"time"

	"doorstack.dev/core/forward"
	"doorstack.dev/core/membership"
	"doorstack.dev/core/routing"
)

// LimitState is a rate limit of a target, as daemons send it to each other: one that it has declared or,
// if ColdFor is set, that of a cold target. Daemons of a version that does not know ColdFor keep to
// PerSecond as a declared limit.
type LimitState struct {
	Target    string  `cbor:"1,keyasint"`
	PerSecond float64 `cbor:"2,keyasint,omitempty"`
	// Lifted means that a call sent Age ago was answered without a limit.
	Lifted bool `cbor:"3,keyasint,omitempty"`
	// Age is the time since the limit was last declared.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
	// ColdFor is for how much longer the target is cold.
	ColdFor time.Duration `cbor:"5,keyasint,omitempty"`
}

// TimedNotice converts the state, received from another daemon at the given time, to the
// target's notice.
func (l *LimitState) TimedNotice(at time.Time) forward.TimedNotice {
	if l.ColdFor > 0 {
		return forward.TimedNotice{Notice: forward.Notice{ColdFor: l.ColdFor}, Received: at}
	}
	then := at.Add(-max(0, l.Age))
	if l.Lifted {
		return forward.TimedNotice{Notice: forward.Notice{Limit: forward.Limit{Lifted: true}}, Sent: then, Received: at}
	}
	return forward.TimedNotice{Notice: forward.Notice{Limit: forward.DeclaredLimit(l.PerSecond)}, Received: then}
}

// coldSettleTime is how long a daemon sends nothing to cold targets after its start: many daemons that
// start together may each take themselves for the coordinator until they have found the others.
const coldSettleTime = membership.DeadAfter

// activeLimiter returns the target's rate limiter; nil if no limit is in force.
func (s *targetState) activeLimiter(at time.Time) *forward.RateLimiter {
	if s.limiter == nil || !s.limiter.InForce(at) {
		return nil
	}
	return s.limiter
}

// routingRateLimit converts the target's rate limit to the input of routing; nil if it has none.
func (s *targetState) routingRateLimit(at time.Time) *routing.RateLimit {
	limiter := s.activeLimiter(at)
	if limiter == nil {
		return nil
	}
	limit := &routing.RateLimit{
		PerSecond: limiter.Rate(at), Wait: limiter.Wait(at).Seconds(),
		SinceLastCall: limiter.SinceLastCall(at).Seconds(), ColdFor: limiter.ColdFor(at).Seconds(),
	}
	if limit.ColdFor > 0 {
		limit.Wait = max(limit.Wait, s.coldCallsFrom.Sub(at).Seconds())
	}
	return limit
}

// limit returns the rate limit that the target has declared.
func (s *targetState) limit() forward.Limit {
	if s.limiter == nil {
		return forward.Limit{}
	}
	return s.limiter.Limit()
}

// coldFor returns for how much longer the target is cold.
func (s *targetState) coldFor(at time.Time) time.Duration {
	if s.limiter == nil {
		return 0
	}
	return s.limiter.ColdFor(at)
}

// limitStates returns the target's rate limits in the form sent to another daemon, the declared one first.
func (s *targetState) limitStates(at time.Time) []LimitState {
	limiter := s.activeLimiter(at)
	if limiter == nil {
		return nil
	}
	var list []LimitState
	if limiter.Limit().Declared {
		list = append(list, LimitState{Target: s.id, PerSecond: limiter.Limit().PerSecond, Age: at.Sub(limiter.DeclaredAt())})
	}
	if cold := limiter.ColdFor(at); cold > 0 {
		list = append(list, LimitState{Target: s.id, PerSecond: limiter.ColdRate(), ColdFor: cold})
	}
	return list
}

// recordCold records that a target is cold for a time, and reports whether it was not known to be cold.
// The time counts from when this daemon learned of it, which may be too long, but never too short.
func (t *TargetTable) recordCold(s *targetState, coldFor time.Duration, at time.Time) bool {
	if coldFor <= 0 || s.pool.coldRate <= 0 {
		return false
	}
	return t.notices.RecordCold(s.id, s.address, s.incarnation, s.pool.coldRate, at.Add(coldFor), at)
}

// AllRateLimited returns the targets of a pool as routing sees them if all live ones have
// rate limits, and nil otherwise.
func (t *TargetTable) AllRateLimited(pool string, at time.Time) []routing.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[pool]
	if p == nil || t.notices.Empty() {
		return nil
	}
	for _, s := range p.states {
		if s.activeLimiter(at) == nil && s.state() == routing.Live {
			return nil
		}
	}
	p.refresh(at)
	return slices.Clone(p.targets)
}

// Limits returns the rate limits of the targets of a pool.
func (t *TargetTable) Limits(pool string, at time.Time) []LimitState {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[pool]
	if p == nil || t.notices.Empty() {
		return nil
	}
	var list []LimitState
	for _, s := range p.states {
		list = append(list, s.limitStates(at)...)
	}
	return list
}

// LimitOf returns the rate limit of a target, a declared one if it has two; nil if it has none.
func (t *TargetTable) LimitOf(id string, at time.Time) *LimitState {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byID[id]
	if s == nil {
		return nil
	}
	if states := s.limitStates(at); len(states) > 0 {
		return &states[0]
	}
	return nil
}

// RecordLimitedCall counts, toward the rate limit of its target, a call that another daemon placed.
func (t *TargetTable) RecordLimitedCall(id string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.byID[id]; s != nil && s.activeLimiter(at) != nil {
		s.limiter.RecordCall(at)
		s.refresh(at)
	}
}

// overLimitTolerance is the longest wait for a target's rate limit, computed from this daemon's own
// calls, at which this daemon still accepts another daemon's placement. That daemon knows of all
// calls, and its placements may arrive in another order than it made them.
const overLimitTolerance = 500 * time.Millisecond

// OverLimit reports whether one more call would exceed a target's rate limit, counting this daemon's own calls alone.
func (t *TargetTable) OverLimit(id string, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byID[id]
	return s != nil && s.activeLimiter(at) != nil && s.limiter.Wait(at) > overLimitTolerance
}
