package blackboard

import (
	"time"

	"doorstack.dev/core/poison"
)

// PoisonTable holds which requests end the targets that run them.
type PoisonTable struct {
	mu    Mutex
	table *poison.Table
}

func newPoisonTable() *PoisonTable {
	return &PoisonTable{mu: NewMutex(RankPoison), table: poison.NewTable()}
}

// Empty tells whether nothing is held against any request.
func (t *PoisonTable) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Empty()
}

// Crashed takes in that a target has ended under a request. It returns the verdict and true
// where the request is quarantined by that.
func (t *PoisonTable) Crashed(c poison.Crash, at time.Time) (poison.Verdict, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Crashed(c, at)
}

// Served takes in that a target has answered a request. It returns the verdict and true where
// that lifts a quarantine.
func (t *PoisonTable) Served(k poison.Key, at time.Time) (poison.Verdict, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Served(k, at)
}

// Ask tells what is known of a request that is about to be sent.
func (t *PoisonTable) Ask(k poison.Key, at time.Time) poison.Standing {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Ask(k, at)
}

// Learn takes in other daemons' verdicts and returns those to pass on.
func (t *PoisonTable) Learn(verdicts []poison.Verdict, at time.Time) (news []poison.Verdict) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range verdicts {
		if next, isNew := t.table.Learn(v, at); isNew {
			news = append(news, next)
		}
	}
	return news
}

// Verdicts lists what is held of requests that were quarantined.
func (t *PoisonTable) Verdicts(at time.Time) []poison.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Verdicts(at)
}

// Digest identifies the verdicts.
func (t *PoisonTable) Digest(at time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Digest(at)
}

// Counts tells how many requests are quarantined, and how many others are remembered.
func (t *PoisonTable) Counts() (quarantined, others int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Counts()
}
