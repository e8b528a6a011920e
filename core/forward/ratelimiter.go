package forward

import "time"

// RateLimiter keeps the calls to one target within its declared limit: each call occupies one
// interval at the limit's rate.
type RateLimiter struct {
	limit Limit
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
)

// Limit returns the limit in force.
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

// Rate returns the rate at which the target is called, in requests per second.
func (l *RateLimiter) Rate() float64 { return max(l.limit.PerSecond, minRate) }

// RecordCall records a call that is sent to the target.
func (l *RateLimiter) RecordCall(at time.Time) {
	l.lastSent = at
	if l.nextFree.Before(at) {
		l.nextFree = at
	}
	l.nextFree = l.nextFree.Add(time.Duration(float64(time.Second) / l.Rate()))
}

// Wait returns the time until one more call is within the limit.
func (l *RateLimiter) Wait(at time.Time) time.Duration { return max(0, l.nextFree.Sub(at.Add(burst))) }

// SinceLastCall returns the time since the last call to the target.
func (l *RateLimiter) SinceLastCall(at time.Time) time.Duration { return max(0, at.Sub(l.lastSent)) }
