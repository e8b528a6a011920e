package blackboard

import (
	"time"

	"doorstack.dev/core/poison"
)

// PoisonTable holds the requests and the parts of prompts that crash targets, and the sends in progress.
type PoisonTable struct {
	mu    Mutex
	table *poison.Table
	sends map[poison.Key]map[*activeSend]bool
}

// activeSend is a send in progress.
type activeSend struct {
	// account is the account of the request.
	account string
	// cancel ends the send.
	cancel func()
}

func newPoisonTable() *PoisonTable {
	return &PoisonTable{mu: NewMutex(RankPoison), table: poison.NewTable(), sends: map[poison.Key]map[*activeSend]bool{}}
}

// BeginSend records that a request is being sent, under its own key or those of the parts of its prompt. cancel is
// called, under the table's lock, if one of them is quarantined before the caller of BeginSend has called ended. ended
// may be called more than once.
func (t *PoisonTable) BeginSend(keys []poison.Key, account string, cancel func()) (ended func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &activeSend{account, cancel}
	for _, k := range keys {
		if t.sends[k] == nil {
			t.sends[k] = map[*activeSend]bool{}
		}
		t.sends[k][s] = true
	}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		for _, k := range keys {
			delete(t.sends[k], s)
			if len(t.sends[k]) == 0 {
				delete(t.sends, k)
			}
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

// RecordOwnCrash adds what this daemon knows to its report of a crash. It returns the verdicts that follow from the crash
// of a trial.
func (t *PoisonTable) RecordOwnCrash(c *poison.PartCrash, at time.Time) []poison.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.RecordOwnCrash(c, at)
}

// RecordPartCrash records that a target crashed while it had a prompt with shared parts.
func (t *PoisonTable) RecordPartCrash(c *poison.PartCrash, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.RecordPartCrash(c, at)
}

// JudgeParts returns the verdicts that follow from the recorded crashes.
func (t *PoisonTable) JudgeParts(at time.Time) []poison.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	verdicts := t.table.JudgeParts(at)
	for i := range verdicts {
		if !verdicts[i].Lifted {
			t.cancelWhenApplied(verdicts[i].Request)
		}
	}
	return verdicts
}

// cancelWhenApplied cancels the sends of prompts with a quarantined part once the quarantine applies, unless it has been
// lifted by then.
func (t *PoisonTable) cancelWhenApplied(k poison.Key) {
	time.AfterFunc(poison.ObjectionWindow, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		for s := range t.sends[k] {
			if t.table.CheckPart(k, s.account, time.Now()).Quarantined {
				s.cancel()
			}
		}
	})
}

// RecordAnswer records that a prompt with shared parts was answered, by an answer that began at a time. It returns the
// verdicts that lift quarantines.
func (t *PoisonTable) RecordAnswer(pool string, parts []string, began, at time.Time) []poison.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.RecordAnswer(pool, parts, began, at)
}

// Check returns what is known of a request that is about to be sent.
func (t *PoisonTable) Check(k poison.Key, at time.Time) poison.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Check(k, at)
}

// Quarantine is what applies to a request that is quarantined by some keys.
type Quarantine struct {
	// Keys are those that are quarantined.
	Keys []poison.Key
	// Suspected reports that a target has crashed under the request itself.
	Suspected bool
	// RetryAfter is the time until a trial may be due, and TrialDue reports that it is due for all keys.
	RetryAfter time.Duration
	TrialDue   bool
}

// Quarantined returns what applies to a request of an account: whether it is quarantined itself or by a part of its
// prompt.
func (t *PoisonTable) Quarantined(request poison.Key, parts []poison.Key, account string, at time.Time) Quarantine {
	t.mu.Lock()
	defer t.mu.Unlock()
	status := t.table.Check(request, at)
	q := Quarantine{TrialDue: true, Suspected: status.Suspected}
	q.add(request, status)
	for _, k := range parts {
		q.add(k, t.table.CheckPart(k, account, at))
	}
	return q
}

// add adds a key with its status.
func (q *Quarantine) add(k poison.Key, status poison.Status) {
	if !status.Quarantined {
		return
	}
	q.Keys = append(q.Keys, k)
	q.RetryAfter = max(q.RetryAfter, status.RetryAfter)
	q.TrialDue = q.TrialDue && status.TrialDue
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
			switch {
			case next.Lifted:
			case next.Part != nil:
				t.cancelWhenApplied(next.Request)
			default:
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

// Counts returns the numbers of records.
func (t *PoisonTable) Counts() poison.Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Counts()
}
