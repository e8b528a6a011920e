package blackboard

import (
	"time"

	"doorstack.dev/core/admission"
)

// RepeatTable limits the repeats of the calls to each pool. A repeat is any send of a call
// after its first.
type RepeatTable struct {
	mu      Mutex
	started time.Time // has a monotonic reading
	limit   admission.RepeatLimit
	pools   map[string]*admission.RepeatBudget
}

// DefaultRepeatLimit returns the limit in force if the operators set none.
func DefaultRepeatLimit() admission.RepeatLimit {
	return admission.RepeatLimit{Share: 0.1, Slack: 20, Window: 10 * time.Second}
}

func newRepeatTable() *RepeatTable {
	return &RepeatTable{mu: NewMutex(RankRepeats), started: time.Now(), limit: DefaultRepeatLimit(), pools: map[string]*admission.RepeatBudget{}}
}

// SetLimit sets the limit for all pools.
func (t *RepeatTable) SetLimit(l admission.RepeatLimit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit = l
}

func (t *RepeatTable) pool(name string) *admission.RepeatBudget {
	r := t.pools[name]
	if r == nil {
		r = &admission.RepeatBudget{}
		t.pools[name] = r
	}
	return r
}

// CountCall counts the first send of a call.
func (t *RepeatTable) CountCall(pool string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pool(pool).CountCall(&t.limit, time.Since(t.started))
}

// ReserveRepeat decides whether a call may be sent once more, and reserves that send until
// CountRepeat or ReturnRepeat. daemons is the number of daemons that share the limit, or zero if it is
// unknown.
func (t *RepeatTable) ReserveRepeat(pool string, daemons int) admission.RepeatVerdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pool(pool).ReserveRepeat(&t.limit, daemons, time.Since(t.started))
}

// CountRepeat counts a reserved repeat that is sent now.
func (t *RepeatTable) CountRepeat(pool string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pool(pool).CountRepeat(&t.limit, time.Since(t.started))
}

// ReturnRepeat gives up a reserved repeat.
func (t *RepeatTable) ReturnRepeat(pool string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pool(pool).ReturnRepeat()
}
