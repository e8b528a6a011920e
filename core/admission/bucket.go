// Package admission decides which requests get in and in what order: rates and
// concurrency of client accounts, the order of the queue, early refusal when a
// deadline cannot be met, the budget for retries, and the breaker of a target.
//
// All of it is plain state that takes the time as a value. None of it locks;
// the blackboard does that.
package admission

import (
	"math"
	"time"
)

// Bucket limits a rate. Unlike a classic token bucket it lets a request through
// while it is not in debt and then takes the whole cost, so that one prompt of
// a million tokens can pass a limit of less than that a second and is paid for
// by the time until the next.
type Bucket struct {
	rate    float64 // units a second
	burst   float64 // most units saved up
	level   float64 // units at hand; below zero is debt
	updated time.Time
}

// burstSeconds is how long a rate can be saved up.
const burstSeconds = 1.0

// NewBucket returns a full bucket.
func NewBucket(rate float64, now time.Time) Bucket {
	b := Bucket{updated: now}
	b.SetRate(rate, now)
	b.level = b.burst
	return b
}

// SetRate changes the rate from now on. A raise brings what can be saved up of the
// raised part along, so that a daemon that was just given a share can use it at
// once; a limit over several daemons can thus be passed by what is raised, for one
// second, each time that a share moves.
func (b *Bucket) SetRate(rate float64, now time.Time) {
	b.refill(now)
	old := b.burst
	b.rate = rate
	b.burst = max(1, rate*burstSeconds)
	if b.burst > old {
		b.level += b.burst - old
	}
	b.level = min(b.level, b.burst)
}

// Take takes cost units if the bucket is not in debt. Otherwise it takes
// nothing and returns the time until it is out of debt.
func (b *Bucket) Take(cost float64, now time.Time) (ok bool, wait time.Duration) {
	b.refill(now)
	need := min(cost, 1)
	if b.level < need {
		return false, b.timeUntil(need)
	}
	b.level -= cost
	return true, 0
}

// Return gives back units taken for work that did not happen.
func (b *Bucket) Return(cost float64) { b.level = min(b.burst, b.level+cost) }

// Rate is the current rate in units a second.
func (b *Bucket) Rate() float64 { return b.rate }

func (b *Bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.updated).Seconds(); elapsed > 0 {
		b.level = min(b.burst, b.level+elapsed*b.rate)
	}
	b.updated = now
}

// maxRetryAfter bounds the advice to a caller whose limit is close to zero.
const maxRetryAfter = time.Hour

func (b *Bucket) timeUntil(level float64) time.Duration {
	if b.rate <= 0 {
		return maxRetryAfter
	}
	seconds := (level - b.level) / b.rate
	if seconds >= maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}
