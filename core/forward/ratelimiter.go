package forward

import (
	"math"
	"time"
)

// RateLimiter keeps the calls to one target within its declared limit and, while it is cold, within
// the rate that a cold target bears: each call occupies one interval at the lower rate.
type RateLimiter struct {
	limit Limit
	// coldRate is the rate that the target bears until coldUntil, in requests per second.
	coldRate  float64
	coldUntil time.Time
	// declaredAt is the time of the notice that set or lifted the limit.
	declaredAt time.Time
	// nextFree is the end of the intervals of all calls so far, and lastSent when the last one was sent.
	nextFree, lastSent time.Time
}

const (
	// burst is how far calls may run ahead of the limit's rate.
	burst = 500 * time.Millisecond
	// minRate is the rate, in requests per second, to which lower declared limits are raised: only
	// an answer shows that the target accepts more again.
	minRate = 0.25
	// coldShare is the share of a cold target's rate that a daemon uses, and coldBurst how far its
	// calls may run ahead. While a pool changes its coordinator, two daemons that do not know of each
	// other's calls may place the pool's calls, and a target that is sent much more than its rate
	// crashes.
	coldShare = 0.6
	coldBurst = 200 * time.Millisecond
)

// InForce reports whether the target has a limit: it declared one, or it is cold.
func (l *RateLimiter) InForce(at time.Time) bool { return l.limit.Declared || l.ColdFor(at) > 0 }

// ColdFor returns for how much longer the target is cold.
func (l *RateLimiter) ColdFor(at time.Time) time.Duration { return max(0, l.coldUntil.Sub(at)) }

// ColdRate returns the rate that the target bears while it is cold, in requests per second.
func (l *RateLimiter) ColdRate() float64 { return l.coldRate }

// setCold records that the target is cold until a time, and reports whether it was not known to be cold.
func (l *RateLimiter) setCold(rate float64, until, at time.Time) bool {
	isNew := l.ColdFor(at) == 0 && until.After(at)
	if until.After(l.coldUntil) {
		l.coldRate, l.coldUntil = rate, until
	}
	return isNew
}

// Limit returns the declared limit.
func (l *RateLimiter) Limit() Limit { return l.limit }

// DeclaredAt returns when the limit was last declared.
func (l *RateLimiter) DeclaredAt() time.Time { return l.declaredAt }

// update applies the limit of a notice and reports whether it changes the limit. Notices arrive out
// of order: only a call sent after the limit was declared shows that it is lifted, and a notice that
// another daemon passes on may be older than the limit in force.
func (l *RateLimiter) update(notice TimedNotice) bool {
	switch {
	case notice.Limit.Declared && notice.Received.After(l.declaredAt):
		changed := l.limit != notice.Limit
		l.limit, l.declaredAt = notice.Limit, notice.Received
		if notice.Sent.After(l.lastSent) {
			l.lastSent = notice.Sent
		}
		return changed
	case notice.Limit.Lifted && l.limit.Declared && notice.Sent.After(l.declaredAt):
		l.limit, l.declaredAt = Limit{}, notice.Sent
		return true
	default:
		return false
	}
}

// Rate returns the rate at which this daemon calls the target, in requests per second.
func (l *RateLimiter) Rate(at time.Time) float64 {
	rate := math.Inf(1)
	if l.limit.Declared {
		rate = max(l.limit.PerSecond, minRate)
	}
	if l.ColdFor(at) > 0 {
		rate = min(rate, coldShare*l.coldRate)
	}
	return rate
}

// burst returns how far calls may run ahead of the rate.
func (l *RateLimiter) burst(at time.Time) time.Duration {
	if l.ColdFor(at) > 0 {
		return coldBurst
	}
	return burst
}

// RecordCall records a call that is sent to the target.
func (l *RateLimiter) RecordCall(at time.Time) {
	l.lastSent = at
	if l.nextFree.Before(at) {
		l.nextFree = at
	}
	l.nextFree = l.nextFree.Add(time.Duration(float64(time.Second) / l.Rate(at)))
}

// Wait returns the time until one more call is within the limit.
func (l *RateLimiter) Wait(at time.Time) time.Duration {
	return max(0, l.nextFree.Sub(at.Add(l.burst(at))))
}

// SinceLastCall returns the time since the last call to the target.
func (l *RateLimiter) SinceLastCall(at time.Time) time.Duration { return max(0, at.Sub(l.lastSent)) }
