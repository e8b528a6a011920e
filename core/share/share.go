// Package share divides the limits of a client account among the daemons, without a
// shared store. One daemon owns an account: the first alive one in the account's
// rendezvous order. It leases fractions of the limit to the daemons that have demand, which
// are then holders of a lease.
//
// A small fraction of the limit, ReserveFraction, is never leased: each published daemon
// (one in the platform's host list) may always use an equal part of it, so that a daemon
// without a lease can still serve calls. Of the rest, the owner leases at most the fraction
// that the daemons it believes alive are of the published daemons: in a network partition,
// the owners on both sides together lease no more than the whole. When the sides reconnect, no
// fraction is raised until the leases of the other side have expired. What one holder gives up
// is leased to another only after the first has lowered its fraction or its lease has expired.
// Until every lease of the previous owner has expired, a new owner grants each holder only
// the fraction that the holder says it has.
//
// The sum of the fractions in use stays within the limit when a daemon restarts, although the
// daemon then uses its part of the reserve while its old lease is still counted. The sum can
// exceed the limit while a host is added: a daemon whose host list still lacks the host
// divides the reserve by too few daemons, so that its part is too large by one part in the
// number of daemons.
package share

import (
	"time"
)

// Durations of leases, and parameters of their fractions.
const (
	// LeaseTTL is how long a lease lasts without renewal.
	LeaseTTL = 8 * time.Second
	// RenewInterval is the time between renewals.
	RenewInterval = 2 * time.Second
	// ReserveFraction is the fraction of a limit that is not leased.
	ReserveFraction = 0.05
	// demandHeadroom is how many times its demand a holder may be granted.
	demandHeadroom = 2
	// minDemandWeight is added to each demand, so that a holder without demand keeps a small fraction.
	minDemandWeight = 0.01
)

// Floor returns the fraction of a limit that each of the published daemons may always use.
func Floor(published int) float64 { return ReserveFraction / float64(max(1, published)) }

// Renewal is a daemon's request for a lease or for its renewal.
type Renewal struct {
	// Holder is the name of the daemon.
	Holder string
	// Demand is what the daemon's callers ask for, as a fraction of the limit; it may exceed 1.
	Demand float64
	// Fraction is the leased fraction that the daemon has now, and AckedSequence the sequence
	// number of the last grant that it accepted.
	Fraction      float64
	AckedSequence uint64
}

// Grant is an owner's answer to a Renewal: a lease for LeaseTTL.
type Grant struct {
	// Sequence orders the grants of an account; later ones are higher.
	Sequence uint64
	// Fraction is the leased fraction of the limit, in addition to the floor.
	Fraction float64
}

// outstandingGrant is a grant that its holder may still be using.
type outstandingGrant struct {
	sequence uint64
	fraction float64
	expires  time.Time
}

// holderState is what an owner knows of one holder.
type holderState struct {
	demand      float64
	lastRenewal time.Time
	grants      []outstandingGrant // those not superseded by an acknowledged one
}

// maxInUse returns the largest fraction that the holder may be using.
func (h *holderState) maxInUse(now time.Time) float64 {
	most := 0.0
	for _, g := range h.grants {
		if now.Before(g.expires) {
			most = max(most, g.fraction)
		}
	}
	return most
}

// acknowledge drops the grants that the holder has replaced by the one with this sequence number,
// and those that have expired.
func (h *holderState) acknowledge(sequence uint64, now time.Time) {
	kept := h.grants[:0]
	for _, g := range h.grants {
		if g.sequence >= sequence && now.Before(g.expires) {
			kept = append(kept, g)
		}
	}
	h.grants = kept
}

// Owner leases out the limits of one account.
type Owner struct {
	// unknownSince is when other owners may last have granted leases that this one does not know of; zero if none did.
	unknownSince time.Time
	sequence     uint64
	holders      map[string]*holderState
}

// NewOwner returns the owner of an account. Sequence numbers start at the current time, so that
// grants of previous owners count as older. See SetUnknownSince.
func NewOwner(unknownSince, now time.Time) *Owner {
	return &Owner{unknownSince: unknownSince, sequence: uint64(now.UnixNano()), holders: map[string]*holderState{}}
}

// SetUnknownSince tells the owner when other owners may last have granted leases that are not passed to Adopt. The owner
// raises no fraction until these leases have expired. With the zero time the caller guarantees that there are none.
func (o *Owner) SetUnknownSince(at time.Time) { o.unknownSince = at }

// Adopt records a lease that a previous owner granted to a holder.
func (o *Owner) Adopt(name string, fraction float64, now time.Time) {
	h := o.holders[name]
	if h == nil {
		h = &holderState{lastRenewal: now}
		o.holders[name] = h
	}
	h.grants = append(h.grants, outstandingGrant{o.sequence, fraction, now.Add(LeaseTTL)})
}

// Renew answers a renewal with a grant. alive is the number of daemons that this one believes
// alive, and published the number in the platform's host list.
func (o *Owner) Renew(r Renewal, alive, published int, now time.Time) Grant {
	h := o.holders[r.Holder]
	if h == nil {
		h = &holderState{}
		o.holders[r.Holder] = h
	}
	h.acknowledge(r.AckedSequence, now)
	h.demand, h.lastRenewal = r.Demand, now
	fraction := min(o.desiredFraction(r, h, alive, published, now), o.availableFraction(r.Holder, alive, published, now))
	o.sequence++
	h.grants = append(h.grants, outstandingGrant{o.sequence, fraction, now.Add(LeaseTTL)})
	return Grant{Sequence: o.sequence, Fraction: fraction}
}

// leasable returns the fraction of the limit that may be leased.
func leasable(alive, published int) float64 {
	return (1 - ReserveFraction) * min(1, float64(alive)/float64(max(1, published)))
}

// desiredFraction returns the fraction that the holder should have: the part of the leasable fraction
// that its demand is of all holders' demands, but not much more than its demand. While leases of a
// previous owner may be in use, it is the fraction that the holder has.
func (o *Owner) desiredFraction(r Renewal, h *holderState, alive, published int, now time.Time) float64 {
	if now.Sub(o.unknownSince) < LeaseTTL {
		// Leases of a previous owner may still be in use.
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
	total := leasable(alive, published)
	// No holder gets much more than its demand: what is not leased can be granted at once to
	// the next daemon that asks, without reducing another holder's fraction first.
	wanted := demandHeadroom*h.demand + total/float64(2*max(1, published))
	return min(wanted, total*(h.demand+minDemandWeight)/sum)
}

// availableFraction returns the leasable fraction that no other holder may be using.
func (o *Owner) availableFraction(name string, alive, published int, now time.Time) float64 {
	left := leasable(alive, published)
	for other, h := range o.holders {
		if other != name {
			left -= h.maxInUse(now)
		}
	}
	return max(0, left)
}

// Idle reports whether no lease of this owner or a previous one can be in use.
func (o *Owner) Idle(now time.Time) bool {
	for _, h := range o.holders {
		if h.maxInUse(now) > 0 {
			return false
		}
	}
	return now.Sub(o.unknownSince) > LeaseTTL
}

// Holder is a daemon's lease on the limits of one account. The zero value holds no lease.
type Holder struct {
	fraction float64
	sequence uint64
	expires  time.Time
}

// Accept applies a grant that was requested at the given time. The lease is counted from that
// time, so that it expires at the holder before it expires at the owner. A grant that is not
// newer than the last one is ignored.
func (h *Holder) Accept(g Grant, asked time.Time) {
	if g.Sequence <= h.sequence {
		return
	}
	h.fraction, h.sequence, h.expires = g.Fraction, g.Sequence, asked.Add(LeaseTTL)
}

// LeasedFraction returns the leased fraction in force, in addition to the floor; zero without a lease.
func (h *Holder) LeasedFraction(now time.Time) float64 {
	if !now.Before(h.expires) {
		return 0
	}
	return h.fraction
}

// Expires returns when the lease expires.
func (h *Holder) Expires() time.Time { return h.expires }

// NewRenewal returns a renewal for the daemon with this name and demand; see Renewal.Demand.
func (h *Holder) NewRenewal(name string, demand float64, now time.Time) Renewal {
	return Renewal{Holder: name, Demand: demand, Fraction: h.LeasedFraction(now), AckedSequence: h.sequence}
}

// Invalidate ends the lease, for example after the process or its host was suspended: the clock may
// have stopped meanwhile, so that the lease seems to last longer than it does.
func (h *Holder) Invalidate() { h.expires = time.Time{} }
