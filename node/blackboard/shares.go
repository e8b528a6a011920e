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
	leasesKnown   bool
	adoptedLeases map[string][]adoptedLease // by account; reported for accounts not yet in owners
	listedDaemons int
	adoptUntil    time.Time // when the last adopted lease expires
}

// adoptedLease is a lease that a previous owner granted.
type adoptedLease struct {
	holder   string
	fraction float64
}

func newShareTable() *ShareTable {
	return &ShareTable{
		mu: NewMutex(RankShares), holders: map[string]*share.Holder{}, owners: map[string]*share.Owner{},
		adoptedLeases: map[string][]adoptedLease{}, listedDaemons: 1,
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
		o = share.NewOwner(t.leasesKnown, at)
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

// Adopt counts the leases that a daemon holds from previous owners.
func (t *ShareTable) Adopt(holder string, holdings []Holding, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.adoptUntil = at.Add(share.LeaseTTL)
	for _, h := range holdings {
		if o := t.owners[h.Account]; o != nil {
			o.Adopt(holder, h.Fraction, at)
			continue
		}
		t.adoptedLeases[h.Account] = append(t.adoptedLeases[h.Account], adoptedLease{holder, h.Fraction})
	}
}

// SetLeasesKnown records that all listed daemons have reported their leases, so that new
// owners can grant leases without waiting.
func (t *ShareTable) SetLeasesKnown() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leasesKnown = true
}

// DaemonJoined records that daemons have joined whose leases are not known.
func (t *ShareTable) DaemonJoined(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leasesKnown = false
	for _, o := range t.owners {
		o.DaemonJoined(at)
	}
}

// Invalidate ends the leases that this daemon holds, after a pause of the process. As an
// owner, the daemon raises no fraction until the leases that others may have granted
// meanwhile have expired.
func (t *ShareTable) Invalidate(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leasesKnown = false
	for _, h := range t.holders {
		h.Invalidate()
	}
	for _, o := range t.owners {
		o.DaemonJoined(at)
	}
}

// RemoveExpired removes idle accounts and expired leases.
func (t *ShareTable) RemoveExpired(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.owners, func(_ string, o *share.Owner) bool { return o.Idle(at) })
	maps.DeleteFunc(t.holders, func(_ string, h *share.Holder) bool { return at.Sub(h.Expires()) > share.LeaseTTL })
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
