package blackboard

import (
	"time"

	"doorstack.dev/core/admission"
)

// LagTable holds how far the daemon is behind its own events.
type LagTable struct {
	mu  Mutex
	lag admission.Lag
}

func newLagTable() *LagTable { return &LagTable{mu: NewMutex(RankLag)} }

// Begin notes that a sample was sent.
func (t *LagTable) Begin(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lag.Begin(at)
}

// Pending tells whether a sample is under way.
func (t *LagTable) Pending() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lag.Pending()
}

// End notes that the sample under way has had its turn, and returns the wait that stands.
func (t *LagTable) End(at time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lag.End(at)
	return t.lag.Sustained(at)
}

// Standing is how long what arrives has to wait at least.
func (t *LagTable) Sustained(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lag.Sustained(now)
}
