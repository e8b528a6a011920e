package blackboard

import (
	"time"

	"doorstack.dev/core/admission"
)

// RepeatTable counts the sends of calls beyond their first, by pool.
type RepeatTable struct {
	mu    Mutex
	limit admission.RepeatLimit
	pools map[string]*admission.RepeatBudget
}

// DefaultRepeatLimit is in force where the operators set none.
func DefaultRepeatLimit() admission.RepeatLimit {
	return admission.RepeatLimit{Share: 0.1, Slack: 20, Window: 10 * time.Second}
}

func newRepeatTable() *RepeatTable {
	return &RepeatTable{mu: NewMutex(RankRepeats), limit: DefaultRepeatLimit(), pools: map[string]*admission.RepeatBudget{}}
}

// SetLimit changes the limit for all pools.
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

// Call counts the first send of a call.
func (t *RepeatTable) CountCall(pool string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pool(pool).CountCall(&t.limit, at)
}

// Take asks for one more send, when so many daemons share the limit.
func (t *RepeatTable) TakeRepeat(pool string, daemons int, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pool(pool).TakeRepeat(&t.limit, daemons, at)
}
