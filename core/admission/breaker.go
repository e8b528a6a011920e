package admission

import "time"

// Breaker is the circuit breaker of a target: it stops calls to a target whose calls keep
// failing. It opens after several failures in a row, lets one probe call through after a
// pause, and closes when the probe succeeds.
type Breaker struct {
	failures    int
	timesOpened int
	openUntil   time.Time
	probing     bool
}

// breakerFailures is the number of failures in a row that open a breaker. The pause doubles
// each time the breaker opens again, up to breakerMaxPause.
const (
	breakerFailures = 3
	breakerPause    = time.Second
	breakerMaxPause = 30 * time.Second
)

// Open reports whether calls are blocked at the given time.
func (b *Breaker) Open(now time.Time) bool {
	if b.failures < breakerFailures {
		return false
	}
	return b.probing || now.Before(b.openUntil)
}

// Sent records that a call was sent. The first call after a pause is the probe, and blocks
// others until it ends.
func (b *Breaker) Sent() {
	if b.failures >= breakerFailures {
		b.probing = true
	}
}

// Succeeded records a successful call and closes the breaker.
func (b *Breaker) Succeeded() { *b = Breaker{} }

// Cancelled records that a call ended without showing whether the target works.
func (b *Breaker) Cancelled() { b.probing = false }

// Failed records a failed call and opens the breaker after several in a row. While the breaker
// is open only the failure of the probe counts: calls that were in flight when it opened tell
// nothing new.
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
