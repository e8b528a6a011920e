package blackboard

import (
	"slices"
	"time"

	"doorstack.dev/core/forward"
	"doorstack.dev/core/routing"
)

// LimitState is a limit that a target has named, as daemons tell each other of it.
type LimitState struct {
	Target    string  `cbor:"1,keyasint"`
	PerSecond float64 `cbor:"2,keyasint,omitempty"`
	// Lifted is true where a call was answered without a limit; it was sent Ago before.
	Lifted bool `cbor:"3,keyasint,omitempty"`
	// Ago is the time since the limit was last named.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
}

// Word is the state as the target's own word, heard at a moment.
func (l *LimitState) TimedNotice(at time.Time) forward.TimedNotice {
	then := at.Add(-max(0, l.Age))
	if l.Lifted {
		return forward.TimedNotice{Notice: forward.Notice{Limit: forward.Limit{Lifted: true}}, Sent: then, Received: at}
	}
	return forward.TimedNotice{Notice: forward.Notice{Limit: forward.DeclaredLimit(l.PerSecond)}, Received: then}
}

// routingRateLimit is what routing needs to know of a target's limit.
func routingRateLimit(s *forward.RateLimiter, at time.Time) *routing.RateLimit {
	if s == nil {
		return nil
	}
	return &routing.RateLimit{PerSecond: s.Rate(), Wait: s.Wait(at).Seconds(), SinceLastCall: s.SinceLastCall(at).Seconds()}
}

// limit is the limit that the target has named.
func (s *targetState) limit() forward.Limit {
	if s.limiter == nil {
		return forward.Limit{}
	}
	return s.limiter.Limit()
}

// limitState describes the target's limit for another daemon.
func (s *targetState) limitState(at time.Time) LimitState {
	return LimitState{Target: s.id, PerSecond: s.limiter.Limit().PerSecond, Age: at.Sub(s.limiter.DeclaredAt())}
}

// Limited is the targets of a pool as routing sees them, where all that live have named limits.
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

// Limits lists the limits that targets of a pool have named.
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

// LimitOf is the limit that a target has named; nil where it names none.
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

// CountLimited counts a call that another daemon placed under its target's limit.
func (t *TargetTable) RecordLimitedCall(id string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.byID[id]; s != nil && s.limiter != nil {
		s.limiter.RecordCall(at)
		s.refresh(at)
	}
}

// overLimitTolerance is how far ahead of a limit this daemon's own calls may be when another daemon, which knows
// of all calls, places one more: their order may change on the way here.
const overLimitTolerance = 500 * time.Millisecond

// OverLimit tells whether one more call would pass a target's limit by this daemon's own calls alone.
func (t *TargetTable) OverLimit(id string, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byID[id]
	return s != nil && s.limiter != nil && s.limiter.Wait(at) > overLimitTolerance
}
