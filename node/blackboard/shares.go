package blackboard

import (
	"maps"
	"slices"
	"time"

	"doorstack.dev/core/admission"
	"doorstack.dev/core/settings"
	"doorstack.dev/core/share"
)

// ShareTable holds this daemon's leases on accounts' limits, and what it leases
// out as the owner of accounts.
type ShareTable struct {
	mu            Mutex
	holders       map[string]*share.Holder
	owners        map[string]*share.Owner
	leasesKnown   bool
	adoptedLeases map[string][]adoptedLease // told by holders before the first renewal
	listedDaemons int
	adoptUntil    time.Time
}

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

// SetListed tells the number of published daemons.
func (t *ShareTable) SetListed(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listedDaemons = n
}

// Share is the part of an account's limits that this daemon may use now.
func (t *ShareTable) Share(account string, r *settings.Rules) admission.Share {
	fraction := t.Fraction(account, time.Now())
	return admission.Share{
		RequestsPerSecond:     r.RequestsPerSecond * fraction,
		PromptTokensPerSecond: r.PromptTokensPerSecond * fraction,
		Concurrent:            int(float64(r.Concurrent)*fraction + roundingSlack),
	}
}

// roundingSlack keeps a whole limit whole in spite of binary fractions.
const roundingSlack = 1e-6

// Fraction is the part of an account's limits in force here. A daemon that is
// alone on the platform's list has all of it.
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

// Renewal asks for a lease on an account.
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

// Accept takes over a grant asked for at the given time.
func (t *ShareTable) Accept(account string, g share.Grant, asked time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.holders[account]; h != nil {
		h.Accept(g, asked)
	}
}

// Renew answers a renewal, as the owner of the account.
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

// Holding is a lease that a daemon has.
type Holding struct {
	Account  string  `cbor:"1,keyasint"`
	Fraction float64 `cbor:"2,keyasint"`
}

// Holdings lists the leases in force here.
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

// Adopt counts the leases that a daemon has from owners before this one.
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

// Settle says that all listed daemons have told their leases, so that new owners
// need not wait.
func (t *ShareTable) SetLeasesKnown() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leasesKnown = true
}

// Joined says that daemons came to life whose leases are not known.
func (t *ShareTable) DaemonJoined(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leasesKnown = false
	for _, o := range t.owners {
		o.DaemonJoined(at)
	}
}

// Void ends all leases, after a pause.
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

// Trim forgets accounts that nobody uses any more.
func (t *ShareTable) RemoveExpired(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.owners, func(_ string, o *share.Owner) bool { return o.Idle(at) })
	maps.DeleteFunc(t.holders, func(_ string, h *share.Holder) bool { return at.Sub(h.Expires()) > share.LeaseTTL })
	if at.After(t.adoptUntil) {
		clear(t.adoptedLeases)
	}
}

// Leases lists the accounts that this daemon has a lease on.
func (t *ShareTable) LeasedAccounts() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.holders))
}
