package blackboard

import (
	"time"

	"doorstack.dev/core/poison"
)

// PoisonTable holds which requests end the targets that run them, and which sends are under way.
type PoisonTable struct {
	mu    Mutex
	table *poison.Table
	sends map[poison.Key]map[*activeSend]bool
}

// activeSend is a send that is under way.
type activeSend struct {
	// callBack ends it.
	cancel func()
}

func newPoisonTable() *PoisonTable {
	return &PoisonTable{mu: NewMutex(RankPoison), table: poison.NewTable(), sends: map[poison.Key]map[*activeSend]bool{}}
}

// Sent notes that a request is sent. callBack is called, under the table's lock, if it is
// quarantined before the send has ended, which the function that is returned tells.
func (t *PoisonTable) BeginSend(k poison.Key, callBack func()) (ended func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &activeSend{callBack}
	if t.sends[k] == nil {
		t.sends[k] = map[*activeSend]bool{}
	}
	t.sends[k][s] = true
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.sends[k], s)
		if len(t.sends[k]) == 0 {
			delete(t.sends, k)
		}
	}
}

// callBack ends the sends of a request that has been quarantined; the lock is held.
func (t *PoisonTable) cancelSends(k poison.Key) {
	for s := range t.sends[k] {
		s.cancel()
	}
}

// Empty tells whether nothing is held against any request.
func (t *PoisonTable) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Empty()
}

// Crashed takes in that a target has ended under a request.
func (t *PoisonTable) RecordCrash(c poison.Crash, at time.Time) poison.CrashResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.table.RecordCrash(c, at)
	if f.Quarantined {
		t.cancelSends(c.Request)
	}
	return f
}

// Served takes in that a target has answered a request. It returns the verdict and true where
// that lifts a quarantine.
func (t *PoisonTable) RecordSuccess(k poison.Key, at time.Time) (poison.Verdict, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.RecordSuccess(k, at)
}

// Ask tells what is known of a request that is about to be sent.
func (t *PoisonTable) Check(k poison.Key, at time.Time) poison.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Check(k, at)
}

// Try tells whether a quarantined request may be sent this once, and notes that it is.
func (t *PoisonTable) StartTrial(k poison.Key, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.StartTrial(k, at)
}

// Grant notes that this daemon sends a quarantined request once, on another one's word.
func (t *PoisonTable) RecordTrial(k poison.Key, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.RecordTrial(k, at)
}

// Learn takes in other daemons' verdicts and returns those to pass on.
func (t *PoisonTable) Merge(verdicts []poison.Verdict, at time.Time) (news []poison.Verdict) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range verdicts {
		if next, isNew := t.table.Merge(v, at); isNew {
			news = append(news, next)
			if !next.Lifted {
				t.cancelSends(next.Request)
			}
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
