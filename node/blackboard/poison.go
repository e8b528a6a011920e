package blackboard

import (
	"time"

	"doorstack.dev/core/poison"
)

// PoisonTable holds the requests that crash the targets that run them, and the sends in progress.
type PoisonTable struct {
	mu    Mutex
	table *poison.Table
	sends map[poison.Key]map[*activeSend]bool
}

// activeSend is a send in progress.
type activeSend struct {
	// cancel ends the send.
	cancel func()
}

func newPoisonTable() *PoisonTable {
	return &PoisonTable{mu: NewMutex(RankPoison), table: poison.NewTable(), sends: map[poison.Key]map[*activeSend]bool{}}
}

// BeginSend records that a request is being sent. cancel is called, under the table's lock,
// if the request is quarantined before the caller of BeginSend has called ended.
func (t *PoisonTable) BeginSend(k poison.Key, cancel func()) (ended func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &activeSend{cancel}
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

// cancelSends cancels the sends of a request that has been quarantined; the lock is held.
func (t *PoisonTable) cancelSends(k poison.Key) {
	for s := range t.sends[k] {
		s.cancel()
	}
}

// Empty reports whether no crash or quarantine is recorded for any request.
func (t *PoisonTable) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Empty()
}

// RecordCrash records that a target crashed while it ran a request, and cancels the
// request's other sends if that quarantines it.
func (t *PoisonTable) RecordCrash(c poison.Crash, at time.Time) poison.CrashResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	result := t.table.RecordCrash(c, at)
	if result.Quarantined {
		t.cancelSends(c.Request)
	}
	return result
}

// RecordSuccess records that a target has answered a request. It returns the new verdict
// and true if that lifts a quarantine.
func (t *PoisonTable) RecordSuccess(k poison.Key, at time.Time) (poison.Verdict, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.RecordSuccess(k, at)
}

// Check returns what is known of a request that is about to be sent.
func (t *PoisonTable) Check(k poison.Key, at time.Time) poison.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Check(k, at)
}

// StartTrial reports whether a quarantined request may be sent once as a trial, and records the trial.
func (t *PoisonTable) StartTrial(k poison.Key, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.StartTrial(k, at)
}

// RecordTrial records that this daemon sends a quarantined request once as a trial that
// another daemon has allowed.
func (t *PoisonTable) RecordTrial(k poison.Key, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.RecordTrial(k, at)
}

// Merge merges other daemons' verdicts and returns those to pass on.
func (t *PoisonTable) Merge(verdicts []poison.Verdict, at time.Time) (changed []poison.Verdict) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range verdicts {
		if next, isNew := t.table.Merge(v, at); isNew {
			changed = append(changed, next)
			if !next.Lifted {
				t.cancelSends(next.Request)
			}
		}
	}
	return changed
}

// Verdicts returns the verdicts on requests that are or were quarantined.
func (t *PoisonTable) Verdicts(at time.Time) []poison.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Verdicts(at)
}

// Digest returns a hash that identifies the set of verdicts.
func (t *PoisonTable) Digest(at time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Digest(at)
}

// Counts returns the number of quarantined requests and of the other requests on record.
func (t *PoisonTable) Counts() (quarantined, others int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Counts()
}
