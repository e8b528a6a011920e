package blackboard

import (
	"maps"
	"slices"
	"time"

	"doorstack.dev/core/lease"
)

// LeaseTable holds the target leases that this daemon granted as a witness, and the
// leases that it holds itself.
type LeaseTable struct {
	mu      Mutex
	witness *lease.Witness
	owners  map[string]*lease.Owner
}

func newLeaseTable(now time.Time) *LeaseTable {
	return &LeaseTable{mu: NewMutex(RankLeases), witness: lease.NewWitness(now), owners: map[string]*lease.Owner{}}
}

// Acquire answers a lease request as a witness and reports whether it grants the lease.
func (t *LeaseTable) Acquire(r lease.Request, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.witness.Acquire(r, at)
}

// StartRound starts a round of requests to the witnesses for a target's lease.
func (t *LeaseTable) StartRound(id string, witnesses int, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.owners[id]
	if o == nil {
		o = &lease.Owner{}
		t.owners[id] = o
	}
	o.StartRound(witnesses, at)
}

// AddGrant counts a witness's grant and reports whether it completed a majority.
func (t *LeaseTable) AddGrant(id string, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.owners[id]
	return o != nil && o.AddGrant(at)
}

// MayOrder reports whether this daemon may now order a target to load models or to change
// its role, and returns the fencing token for the order. A new owner has to wait first if
// the target does not check tokens.
func (t *LeaseTable) MayOrder(id string, checksFencing bool, at time.Time) (fence int64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.owners[id]
	if o == nil || !o.MayOrder(checksFencing, at) {
		return 0, false
	}
	return o.FencingToken(), true
}

// Invalidate ends all leases that this daemon holds, after a pause of the process.
func (t *LeaseTable) Invalidate() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range t.owners {
		o.Invalidate()
	}
}

// OwnedTarget is a target whose lease this daemon holds.
type OwnedTarget struct {
	Target    string
	Fence     int64
	ExpiresAt time.Time
}

// Owned returns the leases in force, sorted by target.
func (t *LeaseTable) Owned(at time.Time) []OwnedTarget {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []OwnedTarget
	for _, id := range slices.Sorted(maps.Keys(t.owners)) {
		if o := t.owners[id]; o.Holds(at) {
			list = append(list, OwnedTarget{Target: id, Fence: o.FencingToken(), ExpiresAt: o.ExpiresAt()})
		}
	}
	return list
}
