// Package lease gives each target one owner at a time, which alone may order it
// to load models or to change its role, without a store.
//
// A daemon owns a target while a majority of the target's witnesses grant it the
// lease. The lease counts at the owner from before it asked and at a witness
// from its grant, so it ends at the owner first. A witness that restarted grants
// nothing until every lease that it may have forgotten has run out.
//
// Orders carry a fencing number: the time at which the lease was claimed, never
// ahead of the clock, so that it rises from owner to owner without anybody's
// memory, as long as clocks differ by less than TTL. Targets that check it
// refuse what an earlier owner sent. Towards targets that ignore it, the lease
// is checked last thing before an order, an order is bounded by SendTimeout, and
// a new owner waits that long before its first one. What remains there is an
// order that is still on its way inside the target itself when its connection
// has been closed; the new owner reads back what the target serves and orders it
// again.
//
// model/lease.pml is the specification that is checked exhaustively.
package lease

import "time"

// The times of the protocol.
const (
	// TTL is how long a lease lasts.
	TTL = 10 * time.Second
	// RenewInterval is the time between renewals.
	RenewInterval = 3 * time.Second
	// SendTimeout bounds an order on its way.
	SendTimeout = 2 * time.Second
	// Witnesses is the number of witnesses of a target.
	WitnessCount = 3
)

// Request asks for the lease of a target, or for more time.
type Request struct {
	Target, Owner string
}

// grant is a lease at a witness.
type grant struct {
	owner string
	until time.Time
}

// Witness grants leases.
type Witness struct {
	refusesUntil time.Time
	grants       map[string]grant
}

// NewWitness returns a witness that grants nothing for TTL, because it may have
// forgotten grants. A daemon that is alone on the list has nobody to protect
// against but itself, and its earlier self is bounded by the same time.
func NewWitness(now time.Time) *Witness {
	return &Witness{refusesUntil: now.Add(TTL), grants: map[string]grant{}}
}

// Acquire answers a request.
func (w *Witness) Acquire(r Request, now time.Time) bool {
	if now.Before(w.refusesUntil) {
		return false
	}
	g, held := w.grants[r.Target]
	if held && g.owner != r.Owner && now.Before(g.until) {
		return false
	}
	w.grants[r.Target] = grant{r.Owner, now.Add(TTL)}
	return true
}

// Release ends a lease early.
func (w *Witness) Release(r Request) {
	if w.grants[r.Target].owner == r.Owner {
		delete(w.grants, r.Target)
	}
}

// Owner is a daemon's side of one lease.
type Owner struct {
	fencingToken int64
	leaseStart   time.Time // of the claim or renewal in force
	ordersAfter  time.Time // when the first order may be given
	roundStart   time.Time // of the round that is under way
	grants       int
	witnesses    int
}

// Start begins a round of requests to so many witnesses.
func (o *Owner) StartRound(witnesses int, now time.Time) {
	o.roundStart, o.grants, o.witnesses = now, 0, witnesses
}

// Granted counts a witness's grant. It returns true when the round has a
// majority, at the first time.
func (o *Owner) AddGrant(now time.Time) bool {
	o.grants++
	if o.grants != o.witnesses/2+1 {
		return false
	}
	if !o.Holds(now) {
		// A new lease: a number of its own, and the time in which an order of the
		// owner before may still arrive.
		o.fencingToken = o.roundStart.UnixMilli()
		o.ordersAfter = now.Add(SendTimeout)
	}
	o.leaseStart = o.roundStart
	return true
}

// Holds tells whether the lease is in force.
func (o *Owner) Holds(now time.Time) bool {
	return !o.leaseStart.IsZero() && now.Sub(o.leaseStart) < TTL
}

// MayOrder tells whether an order may be sent now. It is asked last thing before
// the send, whose time must be bounded by SendTimeout. A target that checks numbers
// refuses a late order of the owner before, so its new owner need not wait.
func (o *Owner) MayOrder(checksFencing bool, now time.Time) bool {
	return o.Holds(now) && (checksFencing || now.After(o.ordersAfter))
}

// Fence is the number that orders carry.
func (o *Owner) FencingToken() int64 { return o.fencingToken }

// Until is when the lease ends.
func (o *Owner) ExpiresAt() time.Time { return o.leaseStart.Add(TTL) }

// Void ends the lease at once, after a pause of the process.
func (o *Owner) Invalidate() { o.leaseStart = time.Time{} }
