// Package share divides an account's limits over the daemons, without shared
// writes. One daemon owns an account (the first of its rendezvous order among
// the living) and leases fractions of the limit to those that have demand.
//
// A small part of the limit, Reserve, is not leased: each published daemon may
// always use its equal part of it, so that a daemon without a lease is never
// quite without room. The rest is leased, but only as much as the part of the
// published daemons that the owner believes alive: in a split, the owners on the
// two sides together lease no more than the whole. When they meet again, nothing
// is raised until the leases of the other side have run out. A fraction is lowered at its
// holder, or has run out, before it is raised elsewhere. A new owner grants
// nothing but what holders say they have until every lease of an owner before it
// has run out.
//
// What can pass the limit: a daemon that restarts uses its part of the reserve
// while its old lease is still counted (that is within the limit), and lists that
// differ while a host is added let each daemon think its part larger than it is,
// by one part in the number of daemons, for as long as the list lags.
package share

import (
	"time"
)

// The times and sizes of leases.
const (
	// TTL is how long a lease lasts without renewal.
	LeaseTTL = 8 * time.Second
	// RenewInterval is the time between renewals.
	RenewInterval = 2 * time.Second
	// Reserve is the part of a limit that is not leased.
	ReserveFraction = 0.05
	// headroom is how many times its demand a holder may be given.
	demandHeadroom = 2
	// minDemandWeight lets a holder with no demand keep a little.
	minDemandWeight = 0.01
)

// Floor is the fraction that each published daemon may always use.
func Floor(published int) float64 { return ReserveFraction / float64(max(1, published)) }

// Renewal asks for a lease, or for more time.
type Renewal struct {
	// Holder is the daemon that asks.
	Holder string
	// Demand is what its callers ask for, in limits: 1 is the whole limit.
	Demand float64
	// Holding is the fraction it has now, Ack the last grant it took over.
	Fraction      float64
	AckedSequence uint64
}

// Grant is a lease.
type Grant struct {
	// Sequence orders the grants of an owner.
	Sequence uint64
	// Fraction is the part of the limit, beside the floor.
	Fraction float64
}

// outstandingGrant is one that may still be in use.
type outstandingGrant struct {
	sequence uint64
	fraction float64
	expires  time.Time
}

type holderState struct {
	demand      float64
	lastRenewal time.Time
	grants      []outstandingGrant // those not superseded by an acknowledged one
}

// outstanding is the most that the holder may be using.
func (h *holderState) maxInUse(now time.Time) float64 {
	most := 0.0
	for _, g := range h.grants {
		if now.Before(g.expires) {
			most = max(most, g.fraction)
		}
	}
	return most
}

// acknowledge drops the grants that a later one has replaced at the holder.
func (h *holderState) acknowledge(sequence uint64, now time.Time) {
	kept := h.grants[:0]
	for _, g := range h.grants {
		if g.sequence >= sequence && now.Before(g.expires) {
			kept = append(kept, g)
		}
	}
	h.grants = kept
}

// Owner leases out the limit of one account.
type Owner struct {
	waitFrom time.Time
	sequence uint64
	holders  map[string]*holderState
}

// NewOwner starts owning an account. The sequence starts at the time, so that
// the grants of an owner before it count as older. With settled true the caller
// vouches that no lease of an owner before can be in use but those that it tells
// by Adopt; otherwise the owner waits until they have run out.
func NewOwner(settled bool, now time.Time) *Owner {
	o := &Owner{waitFrom: now, sequence: uint64(now.UnixNano()), holders: map[string]*holderState{}}
	if settled {
		o.waitFrom = now.Add(-LeaseTTL)
	}
	return o
}

// Adopt counts a lease that a holder has from an owner before.
func (o *Owner) Adopt(name string, fraction float64, now time.Time) {
	h := o.holders[name]
	if h == nil {
		h = &holderState{lastRenewal: now}
		o.holders[name] = h
	}
	h.grants = append(h.grants, outstandingGrant{o.sequence, fraction, now.Add(LeaseTTL)})
}

// Joined tells the owner that a daemon came to life, or back from the other side
// of a split. It may hold a lease of another owner, so nothing is raised until
// that has run out.
func (o *Owner) DaemonJoined(now time.Time) { o.waitFrom = now }

// Renew answers a renewal. alive and published count the daemons that this one
// believes alive and that are on the platform's list.
func (o *Owner) Renew(r Renewal, alive, published int, now time.Time) Grant {
	h := o.holders[r.Holder]
	if h == nil {
		h = &holderState{}
		o.holders[r.Holder] = h
	}
	h.acknowledge(r.AckedSequence, now)
	h.demand, h.lastRenewal = r.Demand, now
	fraction := min(o.targetFraction(r, h, alive, published, now), o.availableFraction(r.Holder, alive, published, now))
	o.sequence++
	h.grants = append(h.grants, outstandingGrant{o.sequence, fraction, now.Add(LeaseTTL)})
	return Grant{Sequence: o.sequence, Fraction: fraction}
}

// leasable is the part of the limit that may be leased out.
func leasable(alive, published int) float64 {
	return (1 - ReserveFraction) * min(1, float64(alive)/float64(max(1, published)))
}

// target is the holder's part by demand.
func (o *Owner) targetFraction(r Renewal, h *holderState, alive, published int, now time.Time) float64 {
	if now.Sub(o.waitFrom) < LeaseTTL {
		// The grants of an owner before this one are still in use.
		return r.Fraction
	}
	sum := 0.0
	for name, other := range o.holders {
		if now.Sub(other.lastRenewal) > LeaseTTL {
			delete(o.holders, name)
			continue
		}
		sum += other.demand + minDemandWeight
	}
	all := leasable(alive, published)
	// Nobody gets much more than it asks for: what is not leased out can be given
	// at once to the next daemon that asks, without taking it from anybody first.
	wanted := demandHeadroom*h.demand + all/float64(2*max(1, published))
	return min(wanted, all*(h.demand+minDemandWeight)/sum)
}

// available is what no other holder may be using.
func (o *Owner) availableFraction(name string, alive, published int, now time.Time) float64 {
	left := leasable(alive, published)
	for other, h := range o.holders {
		if other != name {
			left -= h.maxInUse(now)
		}
	}
	return max(0, left)
}

// Idle tells whether nobody holds a lease any more.
func (o *Owner) Idle(now time.Time) bool {
	for _, h := range o.holders {
		if h.maxInUse(now) > 0 {
			return false
		}
	}
	return now.Sub(o.waitFrom) > LeaseTTL
}

// Holder is a daemon's lease on one account.
type Holder struct {
	fraction float64
	sequence uint64
	expires  time.Time
}

// Accept takes over a grant that was asked for at the given time; the lease
// counts from then, so that it ends at the holder before it ends at the owner.
func (h *Holder) Accept(g Grant, asked time.Time) {
	if g.Sequence <= h.sequence {
		return
	}
	h.fraction, h.sequence, h.expires = g.Fraction, g.Sequence, asked.Add(LeaseTTL)
}

// Leased is the fraction in force now, beside the floor.
func (h *Holder) LeasedFraction(now time.Time) float64 {
	if !now.Before(h.expires) {
		return 0
	}
	return h.fraction
}

// Expires is when the lease ends.
func (h *Holder) Expires() time.Time { return h.expires }

// Renewal asks for more time, with the demand of the last period.
func (h *Holder) NewRenewal(name string, demand float64, now time.Time) Renewal {
	return Renewal{Holder: name, Demand: demand, Fraction: h.LeasedFraction(now), AckedSequence: h.sequence}
}

// Void ends the lease, after a pause of the process.
func (h *Holder) Invalidate() { h.expires = time.Time{} }
