// Package admission decides, for one daemon, which requests are admitted and in what order. It
// covers the rate and concurrency limits of client accounts, the order of the queue, refusal
// of requests that cannot meet their deadline or that reach a starting or overloaded daemon,
// the retry budgets, and the circuit breaker of a target.
//
// The types hold plain state and take the current time as an argument. None of them locks; the
// tables of package blackboard do.
package admission

import (
	"math"
	"time"
)

// Bucket limits a rate. Unlike a classic token bucket it admits a request while it is not in
// debt and then takes the whole cost. A prompt of a million tokens can thus pass a limit of
// less than a million tokens a second; the requests after it wait until the debt is paid.
type Bucket struct {
	rate    float64 // units per second
	burst   float64 // maximum level, in units
	level   float64 // units available; negative while in debt
	updated time.Time
}

// burstSeconds is the time over which an unused rate accumulates, in seconds.
const burstSeconds = 1.0

// NewBucket returns a full bucket with a rate in units per second.
func NewBucket(rate float64, now time.Time) Bucket {
	b := Bucket{updated: now}
	b.SetRate(rate, now)
	b.level = b.burst
	return b
}

// SetRate changes the rate from now on. Raising the rate also adds the increase of the burst
// to the level, so that a daemon that was just given a larger share can use it at once. A
// limit that several daemons share can therefore be exceeded by the increase, for one second,
// each time a share moves.
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

// Take takes cost units and reports true if the level is at least one unit, or cost where that
// is less. Otherwise it takes nothing and returns the time until the level is high enough.
func (b *Bucket) Take(cost float64, now time.Time) (ok bool, wait time.Duration) {
	b.refill(now)
	need := min(cost, 1)
	if b.level < need {
		return false, b.timeUntil(need)
	}
	b.level -= cost
	return true, 0
}

// Return gives back units that were taken for a request that did not run.
func (b *Bucket) Return(cost float64) { b.level = min(b.burst, b.level+cost) }

// Rate returns the current rate in units per second.
func (b *Bucket) Rate() float64 { return b.rate }

func (b *Bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.updated).Seconds(); elapsed > 0 {
		b.level = min(b.burst, b.level+elapsed*b.rate)
	}
	b.updated = now
}

// maxRetryAfter bounds the advised wait of a caller whose limit is close to zero.
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
