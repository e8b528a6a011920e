package forward

import "time"

// RateLimiter keeps the calls to one target within the limit that it has named: each call takes the
// time that lies between two calls at that rate.
type RateLimiter struct {
	limit Limit
	// asOf is how recent the word is on which the limit rests.
	declaredAt time.Time
	// next is when the calls so far are paid for, last when the last of them was sent.
	nextFree, lastSent time.Time
}

const (
	// burst is how far calls may run ahead of the limit's rate.
	burst = 500 * time.Millisecond
	// minRate is the rate, in requests a second, at which a target is called whatever it names:
	// only an answer shows that it takes more again.
	minRate = 0.25
)

// Limit is the limit in force.
func (l *RateLimiter) Limit() Limit { return l.limit }

// Named is when the limit was last named.
func (l *RateLimiter) DeclaredAt() time.Time { return l.declaredAt }

// recordNotice takes in a target's word and tells whether it is news. Words overtake each other: only a call
// sent after the limit was named shows that it is lifted, and a word that another daemon passes on may
// be older than what is known here.
func (l *RateLimiter) update(said TimedNotice) bool {
	switch {
	case said.Limit.Declared && said.Received.After(l.declaredAt):
		news := l.limit != said.Limit
		l.limit, l.declaredAt = said.Limit, said.Received
		if said.Sent.After(l.lastSent) {
			l.lastSent = said.Sent
		}
		return news
	case said.Limit.Lifted && l.limit.Declared && said.Sent.After(l.declaredAt):
		l.limit, l.declaredAt = Limit{}, said.Sent
		return true
	default:
		return false
	}
}

// Rate is the requests a second that the target is called with.
func (l *RateLimiter) Rate() float64 { return max(l.limit.PerSecond, minRate) }

// Count counts a call.
func (l *RateLimiter) RecordCall(at time.Time) {
	l.lastSent = at
	if l.nextFree.Before(at) {
		l.nextFree = at
	}
	l.nextFree = l.nextFree.Add(time.Duration(float64(time.Second) / l.Rate()))
}

// Wait is how long it takes until one more call keeps to the limit.
func (l *RateLimiter) Wait(at time.Time) time.Duration { return max(0, l.nextFree.Sub(at.Add(burst))) }

// Idle is the time since the last call.
func (l *RateLimiter) SinceLastCall(at time.Time) time.Duration { return max(0, at.Sub(l.lastSent)) }
