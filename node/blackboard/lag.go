package blackboard

import (
	"time"

	"doorstack.dev/core/admission"
)

// LagTable holds the daemon's event lag, measured by admission.Lag: how long events queue
// until the daemon handles them.
type LagTable struct {
	mu  Mutex
	lag admission.Lag
}

func newLagTable() *LagTable { return &LagTable{mu: NewMutex(RankLag)} }

// Begin records that the daemon has sent itself an event, as a sample.
func (t *LagTable) Begin(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lag.Begin(at)
}

// Pending reports whether a sample is in progress.
func (t *LagTable) Pending() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lag.Pending()
}

// End records that the sample in progress was processed, and returns the sustained lag.
func (t *LagTable) End(at time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lag.End(at)
	return t.lag.Sustained(at)
}

// Sustained returns how long new events have to wait at least, judged by the last samples.
func (t *LagTable) Sustained(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lag.Sustained(now)
}
