// Package lease implements per-target leases: at most one daemon at a time owns a
// target, and only the owner may order it to load models or to change its role.
// No store is needed.
//
// A daemon owns a target while a majority of the target's witnesses (daemons that
// vote on its lease) grant it. The owner counts the lease from its request and a
// witness from its grant, so the lease ends at the owner first. A restarted witness
// grants nothing until every lease that it may have forgotten has expired.
//
// Orders carry a fencing token: the time at which the lease was requested, by the
// owner's clock and never later than what that clock shows. Tokens thus increase from
// owner to owner without stored state, as long as clocks differ by less than TTL.
// Targets that check tokens refuse orders of an earlier owner. For other targets, the
// owner checks its lease immediately before it sends an order, the sending is bounded
// by SendTimeout, and a new owner waits that long before its first order. The remaining
// race is an order that the target still processes after its connection was closed; the
// new owner reads back what the target serves and sends the order again.
//
// model/lease.pml is the specification that is checked exhaustively.
package lease

import "time"

// The parameters of the lease protocol.
const (
	// TTL is the duration of a lease.
	TTL = 10 * time.Second
	// RenewInterval is the time between renewals.
	RenewInterval = 3 * time.Second
	// SendTimeout bounds the delivery of an order to a target.
	SendTimeout = 2 * time.Second
	// WitnessCount is the number of witnesses of a target.
	WitnessCount = 3
)

// Request asks a witness to grant or renew the lease on Target for the daemon Owner.
type Request struct {
	Target, Owner string
}

// grant is a lease that a witness has granted.
type grant struct {
	owner string
	until time.Time
}

// Witness grants leases on targets to one owner at a time.
type Witness struct {
	refusesUntil time.Time
	grants       map[string]grant // by target
}

// NewWitness returns a witness that grants nothing for TTL, because it may have
// forgotten grants. If the host list has only one daemon, that daemon competes only
// with its own previous process, whose leases have expired after TTL as well.
func NewWitness(now time.Time) *Witness {
	return &Witness{refusesUntil: now.Add(TTL), grants: map[string]grant{}}
}

// Acquire grants or renews a lease for TTL and reports whether it did.
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

// Release ends the owner's lease before it expires.
func (w *Witness) Release(r Request) {
	if w.grants[r.Target].owner == r.Owner {
		delete(w.grants, r.Target)
	}
}

// Owner is the state of one lease at the daemon that requests it.
type Owner struct {
	fencingToken int64
	leaseStart   time.Time // start of the round that obtained or renewed the lease
	ordersAfter  time.Time // end of the wait for targets that ignore tokens
	roundStart   time.Time // start of the current round
	grants       int       // in the current round
	witnesses    int       // asked in the current round
}

// StartRound begins a round of requests to the given number of witnesses.
func (o *Owner) StartRound(witnesses int, now time.Time) {
	o.roundStart, o.grants, o.witnesses = now, 0, witnesses
}

// AddGrant counts a witness's grant. It returns true only for the grant that
// completes the round's majority.
func (o *Owner) AddGrant(now time.Time) bool {
	o.grants++
	if o.grants != o.witnesses/2+1 {
		return false
	}
	if !o.Holds(now) {
		// A new lease gets a new fencing token, and a wait during which an order of
		// the previous owner may still arrive.
		o.fencingToken = o.roundStart.UnixMilli()
		o.ordersAfter = now.Add(SendTimeout)
	}
	o.leaseStart = o.roundStart
	return true
}

// Holds reports whether the lease is in force.
func (o *Owner) Holds(now time.Time) bool {
	return !o.leaseStart.IsZero() && now.Sub(o.leaseStart) < TTL
}

// MayOrder reports whether an order may be sent now. Callers check it immediately
// before the send, which must be bounded by SendTimeout. A target that checks tokens
// refuses late orders of the previous owner, so its new owner need not wait.
func (o *Owner) MayOrder(checksFencing bool, now time.Time) bool {
	return o.Holds(now) && (checksFencing || now.After(o.ordersAfter))
}

// FencingToken returns the token that orders carry, in Unix milliseconds.
func (o *Owner) FencingToken() int64 { return o.fencingToken }

// ExpiresAt returns the time at which the lease expires.
func (o *Owner) ExpiresAt() time.Time { return o.leaseStart.Add(TTL) }

// Invalidate ends the lease immediately. It is for use after the process or its host
// was suspended: the clock may have stopped meanwhile, so that the lease seems to last
// longer than it does.
func (o *Owner) Invalidate() { o.leaseStart = time.Time{} }
