package blackboard

import (
	"maps"
	"slices"
	"time"

	"doorstack.dev/core/admission"
	"doorstack.dev/core/settings"
	"doorstack.dev/core/share"
)

// ShareTable holds this daemon's leases on fractions of accounts' limits, and the leases
// that it grants to other daemons as the owner of accounts.
type ShareTable struct {
	mu            Mutex
	holders       map[string]*share.Holder
	owners        map[string]*share.Owner
	adoptedLeases map[string][]adoptedLease // by account; reported for accounts not yet in owners
	listedDaemons int
	adoptUntil    time.Time // when the last adopted lease expires
	// collected is true once all listed daemons were asked for their leases. unreported holds those that have not
	// answered, with the time of the question, and unknownSince is when the leases of all daemons were last unknown.
	collected    bool
	unreported   map[string]time.Time
	unknownSince time.Time
}

// adoptedLease is a lease that a previous owner granted.
type adoptedLease struct {
	holder   string
	fraction float64
}

func newShareTable() *ShareTable {
	return &ShareTable{
		mu: NewMutex(RankShares), holders: map[string]*share.Holder{}, owners: map[string]*share.Owner{},
		adoptedLeases: map[string][]adoptedLease{}, listedDaemons: 1, unreported: map[string]time.Time{},
	}
}

// SetListed sets the number of daemons on the host list.
func (t *ShareTable) SetListed(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listedDaemons = n
}

// Share returns the part of an account's limits that this daemon may use now.
func (t *ShareTable) Share(account string, r *settings.Rules) admission.Share {
	fraction := t.Fraction(account, time.Now())
	return admission.Share{
		RequestsPerSecond:     r.RequestsPerSecond * fraction,
		PromptTokensPerSecond: r.PromptTokensPerSecond * fraction,
		Concurrent:            int(float64(r.Concurrent)*fraction + roundingSlack),
	}
}

// roundingSlack keeps floating-point error from rounding a whole limit down.
const roundingSlack = 1e-6

// Fraction returns the fraction of an account's limits in force at this daemon. A daemon
// that is alone on the host list has all of it.
func (t *ShareTable) Fraction(account string, at time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listedDaemons <= 1 {
		return 1
	}
	fraction := share.Floor(t.listedDaemons)
	if h := t.holders[account]; h != nil {
		fraction += h.LeasedFraction(at)
	}
	return fraction
}

// Renewal returns this daemon's request to the owner for a lease on an account.
func (t *ShareTable) Renewal(self, account string, demand float64, at time.Time) share.Renewal {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.holders[account]
	if h == nil {
		h = &share.Holder{}
		t.holders[account] = h
	}
	return h.NewRenewal(self, demand, at)
}

// Accept applies a grant that was requested at the given time.
func (t *ShareTable) Accept(account string, g share.Grant, asked time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.holders[account]; h != nil {
		h.Accept(g, asked)
	}
}

// Renew answers a renewal as the owner of the account. alive is the number of daemons that
// this one believes alive, and published the number on the host list.
func (t *ShareTable) Renew(account string, r share.Renewal, alive, published int, at time.Time) share.Grant {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.owners[account]
	if o == nil {
		o = share.NewOwner(t.leasesUnknownSince(at), at)
		if at.Before(t.adoptUntil) {
			for _, a := range t.adoptedLeases[account] {
				o.Adopt(a.holder, a.fraction, at)
			}
		}
		t.owners[account] = o
	}
	return o.Renew(r, alive, published, at)
}

// Holding is a lease that a daemon holds.
type Holding struct {
	Account  string  `cbor:"1,keyasint"`
	Fraction float64 `cbor:"2,keyasint"`
}

// Holdings returns the leases that this daemon holds now.
func (t *ShareTable) Holdings(at time.Time) []Holding {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Holding
	for account, h := range t.holders {
		if f := h.LeasedFraction(at); f > 0 {
			list = append(list, Holding{Account: account, Fraction: f})
		}
	}
	return list
}

// Adopt counts the leases that a daemon reports that it holds from previous owners.
func (t *ShareTable) Adopt(holder string, holdings []Holding, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.unreported, holder)
	defer t.updateOwners(at)
	t.adoptUntil = at.Add(share.LeaseTTL)
	for _, h := range holdings {
		if o := t.owners[h.Account]; o != nil {
			o.Adopt(holder, h.Fraction, at)
			continue
		}
		t.adoptedLeases[h.Account] = append(t.adoptedLeases[h.Account], adoptedLease{holder, h.Fraction})
	}
}

// LeasesUnreported records that a daemon did not report its leases. Until it does, or the leases have expired, owners
// raise no fraction.
func (t *ShareTable) LeasesUnreported(name string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unreported[name] = at
	t.updateOwners(at)
}

// Unreported returns the daemons that have not reported their leases.
func (t *ShareTable) Unreported() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.unreported))
}

// SetCollected records that all listed daemons were asked for their leases.
func (t *ShareTable) SetCollected(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.collected = true
	t.updateOwners(at)
}

// leasesUnknownSince returns when other owners may last have granted leases that are not known here; zero if there are
// none. The lock is held.
func (t *ShareTable) leasesUnknownSince(at time.Time) time.Time {
	if !t.collected {
		return at
	}
	latest := t.unknownSince
	for _, asked := range t.unreported {
		if asked.After(latest) {
			latest = asked
		}
	}
	return latest
}

// updateOwners tells all owners since when leases are unknown; the lock is held.
func (t *ShareTable) updateOwners(at time.Time) {
	since := t.leasesUnknownSince(at)
	for _, o := range t.owners {
		o.SetUnknownSince(since)
	}
}

// Invalidate ends the leases that this daemon holds, after a pause of the process. As an
// owner, the daemon raises no fraction until the leases that others may have granted
// meanwhile have expired.
func (t *ShareTable) Invalidate(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.holders {
		h.Invalidate()
	}
	t.unknownSince = at
	t.updateOwners(at)
}

// RemoveExpired removes idle accounts and expired leases.
func (t *ShareTable) RemoveExpired(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.owners, func(_ string, o *share.Owner) bool { return o.Idle(at) })
	maps.DeleteFunc(t.holders, func(_ string, h *share.Holder) bool { return at.Sub(h.Expires()) > share.LeaseTTL })
	maps.DeleteFunc(t.unreported, func(_ string, asked time.Time) bool { return at.Sub(asked) > share.LeaseTTL })
	if at.After(t.adoptUntil) {
		clear(t.adoptedLeases)
	}
}

// LeasedAccounts returns the accounts on which this daemon has requested a lease, sorted.
func (t *ShareTable) LeasedAccounts() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.holders))
}
