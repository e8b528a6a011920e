package cluster

import (
	"context"
	"slices"
	"sync"
	"time"

	"doorstack.dev/core/rendezvous"
	"doorstack.dev/core/settings"
	"doorstack.dev/core/share"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/controller"
	"doorstack.dev/node/peer"
)

// renewal asks an account's owner to renew a lease: a share.Renewal in wire form.
type renewal struct {
	Account       string  `cbor:"1,keyasint"`
	Demand        float64 `cbor:"2,keyasint"`
	Fraction      float64 `cbor:"3,keyasint,omitempty"`
	AckedSequence uint64  `cbor:"4,keyasint,omitempty"`
}

// grantAnswer is a granted lease, in wire form.
type grantAnswer struct {
	Account  string  `cbor:"1,keyasint"`
	Sequence uint64  `cbor:"2,keyasint"`
	Fraction float64 `cbor:"3,keyasint"`
}

// renewTimeout bounds a request for leases on shares or targets, or for the leases that a
// daemon holds.
const renewTimeout = time.Second

// runShares renews the leases on the limits of accounts in use until ctx ends.
func (c *Cluster) runShares(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		controller.Sleep(ctx, share.RenewInterval)
		now := time.Now()
		c.renewShares(ctx, now, now.Sub(last))
		last = now
		c.Board.Shares.RemoveExpired(now)
	}
}

// demandOf returns the callers' demand in a period as a fraction of the account's limits.
func demandOf(a *blackboard.AccountDemand, r *settings.Rules, period time.Duration) float64 {
	seconds := period.Seconds()
	return max(
		a.Demand.Requests/seconds/r.RequestsPerSecond,
		a.Demand.PromptTokens/seconds/r.PromptTokensPerSecond,
		float64(a.Demand.PeakRunning)/float64(r.Concurrent),
	)
}

// renewShares renews this daemon's leases with the accounts' owners, with one request to each.
// period is the time since the last renewal, in which the demand arose.
func (c *Cluster) renewShares(ctx context.Context, now time.Time, period time.Duration) {
	view := c.Board.Settings.Current()
	if view == nil {
		return
	}
	living, listed := c.Board.Members.AliveNames()
	c.Board.Shares.SetListed(listed)
	if listed <= 1 {
		return
	}
	byOwner := map[string][]renewal{}
	demands := c.Board.Accounts.TakeDemand(now)
	for i := range demands {
		account := view.Tree.Account(demands[i].Account)
		if account == nil {
			continue
		}
		r := c.renewalOf(demands[i].Account, demandOf(&demands[i], &account.Rules, period), now)
		owner := rendezvous.Owner(r.Account, living)
		byOwner[owner] = append(byOwner[owner], r)
	}
	var wg sync.WaitGroup
	for owner, renewals := range byOwner {
		wg.Go(func() { c.renewAt(ctx, owner, renewals, now) })
	}
	wg.Wait()
}

func (c *Cluster) renewalOf(account string, demand float64, now time.Time) renewal {
	r := c.Board.Shares.Renewal(c.Board.Self.Name, account, demand, now)
	return renewal{Account: account, Demand: r.Demand, Fraction: r.Fraction, AckedSequence: r.AckedSequence}
}

func (c *Cluster) renewAt(ctx context.Context, owner string, renewals []renewal, requestedAt time.Time) {
	var grants []grantAnswer
	if owner == c.Board.Self.Name {
		grants, _ = c.serveRenew(ctx, owner, renewals)
	} else if err := c.call(ctx, owner, peer.KindRenew, renewals, &grants, renewTimeout); err != nil {
		return // The leases stay valid until they expire; the next round retries.
	}
	for _, g := range grants {
		c.Board.Shares.Accept(g.Account, share.Grant{Sequence: g.Sequence, Fraction: g.Fraction}, requestedAt)
	}
}

func (c *Cluster) serveRenew(_ context.Context, from string, in []renewal) ([]grantAnswer, error) {
	living, listed := c.Board.Members.AliveNames()
	now := time.Now()
	answers := make([]grantAnswer, 0, len(in))
	for _, r := range in {
		g := c.Board.Shares.Renew(r.Account, share.Renewal{Holder: from, Demand: r.Demand, Fraction: r.Fraction, AckedSequence: r.AckedSequence}, len(living), listed, now)
		answers = append(answers, grantAnswer{Account: r.Account, Sequence: g.Sequence, Fraction: g.Fraction})
	}
	return answers, nil
}

func (c *Cluster) serveHoldings(_ context.Context, _ string, _ empty) ([]blackboard.Holding, error) {
	return c.Board.Shares.Holdings(time.Now()), nil
}

// collectHoldings asks all listed daemons for the leases that they hold, once at the start. Once all have answered, this
// daemon need not wait before it grants leases.
func (c *Cluster) collectHoldings(ctx context.Context) {
	var wg sync.WaitGroup
	members := c.Board.Members.Members()
	c.Board.Shares.SetListed(len(members))
	for _, m := range members {
		wg.Go(func() { c.requireHoldings(ctx, m.Name) })
	}
	wg.Wait()
	c.Board.Shares.SetCollected(time.Now())
}

// requireHoldings takes over the leases that a daemon reports. If it does not answer, no grant is raised until it does or
// its leases have expired.
func (c *Cluster) requireHoldings(ctx context.Context, name string) {
	asked := time.Now()
	if name != c.Board.Self.Name && !c.adoptHoldings(ctx, name) {
		c.Board.Shares.LeasesUnreported(name, asked)
	}
}

// adoptHoldings takes over the leases that a daemon reports, and reports whether it answered.
func (c *Cluster) adoptHoldings(ctx context.Context, name string) bool {
	var holdings []blackboard.Holding
	if err := c.call(ctx, name, peer.KindHoldings, empty{}, &holdings, renewTimeout); err != nil {
		return false
	}
	c.Board.Shares.Adopt(name, holdings, time.Now())
	return true
}

// runMissingHoldings asks the living daemons that have not reported their leases again, until ctx ends.
func (c *Cluster) runMissingHoldings(ctx context.Context) {
	for ctx.Err() == nil {
		controller.Sleep(ctx, minShareRequestInterval)
		missing := c.Board.Shares.Unreported()
		if len(missing) == 0 {
			continue
		}
		living, _ := c.Board.Members.AliveNames()
		var wg sync.WaitGroup
		for _, name := range missing {
			if slices.Contains(living, name) {
				wg.Go(func() { c.adoptHoldings(ctx, name) })
			}
		}
		wg.Wait()
	}
}
