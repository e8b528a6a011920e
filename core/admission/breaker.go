package admission

import "time"

// Breaker keeps work away from a target whose calls keep failing. It opens
// after several failures in a row, lets one call through after a pause, and
// closes when that one succeeds.
type Breaker struct {
	failures    int
	timesOpened int
	openUntil   time.Time
	probing     bool
}

// The breaker's constants: failures in a row that open it, and its pause, which
// doubles each time up to a bound.
const (
	breakerFailures = 3
	breakerPause    = time.Second
	breakerMaxPause = 30 * time.Second
)

// Open tells whether calls are kept away now.
func (b *Breaker) Open(now time.Time) bool {
	if b.failures < breakerFailures {
		return false
	}
	return b.probing || now.Before(b.openUntil)
}

// Sent records that a call was sent; after a pause it is the probe.
func (b *Breaker) Sent() {
	if b.failures >= breakerFailures {
		b.probing = true
	}
}

// Succeeded closes the breaker.
func (b *Breaker) Succeeded() { *b = Breaker{} }

// Cancelled records that a call ended without saying anything of the target.
func (b *Breaker) Cancelled() { b.probing = false }

// Failed records a failure, and opens the breaker after several in a row. While it is open
// only the probe's counts: calls that were under way when it opened tell nothing new.
func (b *Breaker) Failed(now time.Time) {
	if b.failures >= breakerFailures && !b.probing {
		return
	}
	b.failures++
	b.probing = false
	if b.failures < breakerFailures {
		return
	}
	pause := min(breakerMaxPause, breakerPause<<min(b.timesOpened, 6))
	b.openUntil = now.Add(pause)
	b.timesOpened++
}
