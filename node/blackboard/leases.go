package blackboard

import (
	"maps"
	"slices"
	"time"

	"doorstack.dev/core/lease"
)

// LeaseTable holds this daemon's memory as a witness of leases on targets, and
// the leases that it has itself.
type LeaseTable struct {
	mu      Mutex
	witness *lease.Witness
	owners  map[string]*lease.Owner
}

func newLeaseTable(now time.Time) *LeaseTable {
	return &LeaseTable{mu: NewMutex(RankLeases), witness: lease.NewWitness(now), owners: map[string]*lease.Owner{}}
}

// Ask answers a request as a witness.
func (t *LeaseTable) Acquire(r lease.Request, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.witness.Acquire(r, at)
}

// Start begins a round of requests for a target.
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

// Granted counts a witness's grant and tells whether it made a majority.
func (t *LeaseTable) AddGrant(id string, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.owners[id]
	return o != nil && o.AddGrant(at)
}

// MayOrder tells whether this daemon may give an order now, and its number. A
// target that does not check numbers makes a new owner wait.
func (t *LeaseTable) MayOrder(id string, checksFencing bool, at time.Time) (fence int64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.owners[id]
	if o == nil || !o.MayOrder(checksFencing, at) {
		return 0, false
	}
	return o.FencingToken(), true
}

// Void ends all leases, after a pause.
func (t *LeaseTable) Invalidate() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range t.owners {
		o.Invalidate()
	}
}

// OwnedTarget is a lease of this daemon.
type OwnedTarget struct {
	Target    string
	Fence     int64
	ExpiresAt time.Time
}

// Owned lists the leases in force.
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
