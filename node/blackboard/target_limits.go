package blackboard

import (
	"slices"
	"time"

	"doorstack.dev/core/forward"
	"doorstack.dev/core/routing"
)

// LimitState is the rate limit that a target has declared, as daemons send it to each other.
type LimitState struct {
	Target    string  `cbor:"1,keyasint"`
	PerSecond float64 `cbor:"2,keyasint,omitempty"`
	// Lifted means that a call sent Age ago was answered without a limit.
	Lifted bool `cbor:"3,keyasint,omitempty"`
	// Age is the time since the limit was last declared.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
}

// TimedNotice converts the state, received from another daemon at the given time, to the
// target's notice.
func (l *LimitState) TimedNotice(at time.Time) forward.TimedNotice {
	then := at.Add(-max(0, l.Age))
	if l.Lifted {
		return forward.TimedNotice{Notice: forward.Notice{Limit: forward.Limit{Lifted: true}}, Sent: then, Received: at}
	}
	return forward.TimedNotice{Notice: forward.Notice{Limit: forward.DeclaredLimit(l.PerSecond)}, Received: then}
}

// routingRateLimit converts a target's rate limiter to the input of routing; nil if it has none.
func routingRateLimit(limiter *forward.RateLimiter, at time.Time) *routing.RateLimit {
	if limiter == nil {
		return nil
	}
	return &routing.RateLimit{PerSecond: limiter.Rate(), Wait: limiter.Wait(at).Seconds(), SinceLastCall: limiter.SinceLastCall(at).Seconds()}
}

// limit returns the rate limit that the target has declared.
func (s *targetState) limit() forward.Limit {
	if s.limiter == nil {
		return forward.Limit{}
	}
	return s.limiter.Limit()
}

// limitState returns the target's rate limit in the form sent to another daemon.
func (s *targetState) limitState(at time.Time) LimitState {
	return LimitState{Target: s.id, PerSecond: s.limiter.Limit().PerSecond, Age: at.Sub(s.limiter.DeclaredAt())}
}

// AllRateLimited returns the targets of a pool as routing sees them if all live ones have
// declared rate limits, and nil otherwise.
func (t *TargetTable) AllRateLimited(pool string, at time.Time) []routing.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[pool]
	if p == nil || t.notices.Empty() {
		return nil
	}
	for _, s := range p.states {
		if s.limiter == nil && s.state() == routing.Live {
			return nil
		}
	}
	p.refresh(at)
	return slices.Clone(p.targets)
}

// Limits returns the rate limits that targets of a pool have declared.
func (t *TargetTable) Limits(pool string, at time.Time) []LimitState {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[pool]
	if p == nil || t.notices.Empty() {
		return nil
	}
	var list []LimitState
	for _, s := range p.states {
		if s.limiter != nil {
			list = append(list, s.limitState(at))
		}
	}
	return list
}

// LimitOf returns the rate limit that a target has declared; nil if it has declared none.
func (t *TargetTable) LimitOf(id string, at time.Time) *LimitState {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byID[id]
	if s == nil || s.limiter == nil {
		return nil
	}
	state := s.limitState(at)
	return &state
}

// RecordLimitedCall counts, toward the rate limit of its target, a call that another daemon placed.
func (t *TargetTable) RecordLimitedCall(id string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.byID[id]; s != nil && s.limiter != nil {
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
	return s != nil && s.limiter != nil && s.limiter.Wait(at) > overLimitTolerance
}
