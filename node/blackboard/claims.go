package blackboard

import (
	"container/list"
	"time"

	"doorstack.dev/core/claim"
	"doorstack.dev/core/fault"
	"doorstack.dev/node/target"
)

// Outcome is how a claimed call ended. A claimed call has an idempotency key and is sent to a
// target at most once in the fleet; see package claim.
type Outcome struct {
	Execution fault.Execution       `cbor:"1,keyasint"`
	Answer    *target.ServiceAnswer `cbor:"2,keyasint,omitempty"`
}

// ClaimTable holds the claims that this daemon granted as a witness (one of the daemons
// that remember which attempt holds an idempotency key), the outcomes of claimed calls,
// and this daemon's own claimed calls in progress.
type ClaimTable struct {
	mu       Mutex
	witness  *claim.Witness
	outcomes map[string]*list.Element // by key
	byAge    *list.List               // of *outcomeEntry, oldest first
	bytes    int64
	running  map[string]*runningCall // by attempt
}

// outcomeEntry is a recorded outcome with its size in memory.
type outcomeEntry struct {
	key     string
	attempt string
	outcome Outcome
	at      time.Time
	bytes   int64
}

// runningCall is a claimed call of this daemon that has not ended yet.
type runningCall struct {
	done chan struct{}
}

// maxOutcomeBytes bounds the memory of recorded outcomes, maxAnswerBytes the answer kept in
// one of them. outcomeOverhead is the assumed memory of an outcome beside key and answer.
const (
	maxOutcomeBytes = 32 << 20
	maxAnswerBytes  = 16 << 10
	outcomeOverhead = 256
)

func newClaimTable(now time.Time) *ClaimTable {
	return &ClaimTable{
		mu: NewMutex(RankClaims), witness: claim.NewWitness(now),
		outcomes: map[string]*list.Element{}, byAge: list.New(), running: map[string]*runningCall{},
	}
}

// AnswerClaim answers a claim as a witness. If the key is taken and the outcome of the
// holder's call is known, it also returns the outcome.
func (t *ClaimTable) AnswerClaim(r claim.Request, at time.Time) (claim.Reply, *Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	reply := t.witness.Claim(r, at)
	if reply.Answer != claim.Taken {
		return reply, nil
	}
	return reply, t.outcome(r.Key, reply.Attempt)
}

// outcome returns the recorded outcome of an attempt, or nil; the lock is held.
func (t *ClaimTable) outcome(key, attempt string) *Outcome {
	e := t.outcomes[key]
	if e == nil {
		return nil
	}
	entry := e.Value.(*outcomeEntry)
	if entry.attempt != attempt {
		return nil
	}
	o := entry.outcome
	return &o
}

// GiveUp records, as a witness, that an attempt will never send its call.
func (t *ClaimTable) GiveUp(key, attempt string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.witness.GiveUp(key, attempt)
}

// RecordOutcome keeps the outcome of a call, as the daemon that made it or as a witness.
func (t *ClaimTable) RecordOutcome(key, attempt string, o Outcome, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := &outcomeEntry{key: key, attempt: attempt, outcome: o, at: at, bytes: outcomeOverhead + int64(len(key))}
	if o.Answer != nil {
		if len(o.Answer.Body) > maxAnswerBytes {
			entry.outcome.Answer = nil
		} else {
			entry.bytes += int64(len(o.Answer.Body))
		}
	}
	t.removeOutcome(t.outcomes[key])
	t.outcomes[key] = t.byAge.PushBack(entry)
	t.bytes += entry.bytes
	for front := t.byAge.Front(); front != nil; front = t.byAge.Front() {
		old := front.Value.(*outcomeEntry)
		if t.bytes <= maxOutcomeBytes && at.Sub(old.at) < claim.ClaimWindow {
			break
		}
		t.removeOutcome(front)
	}
}

// removeOutcome removes an entry, if there is one; the lock is held.
func (t *ClaimTable) removeOutcome(e *list.Element) {
	if e == nil {
		return
	}
	entry := e.Value.(*outcomeEntry)
	t.byAge.Remove(e)
	delete(t.outcomes, entry.key)
	t.bytes -= entry.bytes
}

// Begin records that this daemon may now send a claimed call.
func (t *ClaimTable) Begin(attempt string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running[attempt] = &runningCall{done: make(chan struct{})}
}

// End records that a claimed call of this daemon has ended.
func (t *ClaimTable) End(attempt string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.running[attempt]; r != nil {
		close(r.done)
		delete(t.running, attempt)
	}
}

// Await returns the outcome of an attempt of this daemon, or a channel that is closed
// when the attempt ends. Both are nil if this daemon does not know the attempt.
func (t *ClaimTable) Await(key, attempt string) (*Outcome, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.running[attempt]; r != nil {
		return nil, r.done
	}
	return t.outcome(key, attempt), nil
}

// ClaimCounts holds the sizes of a ClaimTable.
type ClaimCounts struct {
	claim.Counts
	OutcomeBytes int64
	Running      int
}

// Counts removes expired keys and returns the table's sizes.
func (t *ClaimTable) Counts(at time.Time) ClaimCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.witness.RemoveExpired(at)
	return ClaimCounts{Counts: t.witness.Counts(), OutcomeBytes: t.bytes, Running: len(t.running)}
}
