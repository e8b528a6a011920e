package blackboard

import "doorstack.dev/core/decision"

// DecisionTable keeps the most recent decision records for explanations.
type DecisionTable struct {
	mu   Mutex
	ring *decision.Ring
}

func newDecisionTable(bytes int64) *DecisionTable {
	return &DecisionTable{mu: NewMutex(RankDecisions), ring: decision.NewRing(bytes)}
}

// Put adds a record.
func (t *DecisionTable) Put(r decision.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ring.Put(r)
}

// Find returns the records of a request, oldest first.
func (t *DecisionTable) Find(request string) []decision.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ring.Find(request)
}

// Last returns the newest n records.
func (t *DecisionTable) Last(n int) []decision.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ring.Last(n)
}

// Usage returns the memory in use and the number of records dropped so far.
func (t *DecisionTable) Usage() (bytes, evicted int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ring.Size(), t.ring.Evicted()
}
