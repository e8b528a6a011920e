package cluster

import (
	"context"
	"sync"
	"time"

	"doorstack.dev/core/rendezvous"
	"doorstack.dev/core/settings"
	"doorstack.dev/core/share"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/controller"
	"doorstack.dev/node/peer"
)

// renewal is a request for a lease on the wire.
type renewal struct {
	Account       string  `cbor:"1,keyasint"`
	Demand        float64 `cbor:"2,keyasint"`
	Fraction      float64 `cbor:"3,keyasint,omitempty"`
	AckedSequence uint64  `cbor:"4,keyasint,omitempty"`
}

// grantAnswer is a lease on the wire.
type grantAnswer struct {
	Account  string  `cbor:"1,keyasint"`
	Sequence uint64  `cbor:"2,keyasint"`
	Fraction float64 `cbor:"3,keyasint"`
}

const renewTimeout = time.Second

// runShares renews the leases on the limits of accounts in use.
func (c *Cluster) runShares(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		controller.Sleep(ctx, share.RenewInterval)
		now := time.Now()
		c.renewShares(ctx, now, now.Sub(last))
		last = now
		c.Board.Shares.Trim(now)
	}
}

// demandOf turns what callers asked for into a part of the account's limits.
func demandOf(a *blackboard.AccountDemand, r *settings.Rules, period time.Duration) float64 {
	seconds := period.Seconds()
	return max(
		a.Demand.Requests/seconds/r.RequestsPerSecond,
		a.Demand.PromptTokens/seconds/r.PromptTokensPerSecond,
		float64(a.Demand.PeakRunning)/float64(r.Concurrent),
	)
}

func (c *Cluster) renewShares(ctx context.Context, now time.Time, period time.Duration) {
	view := c.Board.Settings.Current()
	if view == nil {
		return
	}
	living, listed := c.Board.Members.Living()
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

func (c *Cluster) renewAt(ctx context.Context, owner string, renewals []renewal, asked time.Time) {
	var grants []grantAnswer
	if owner == c.Board.Self.Name {
		grants, _ = c.serveRenew(ctx, owner, renewals)
	} else if err := c.call(ctx, owner, peer.KindRenew, renewals, &grants, renewTimeout); err != nil {
		return // The leases run on until they end; the next round asks again.
	}
	for _, g := range grants {
		c.Board.Shares.Accept(g.Account, share.Grant{Sequence: g.Sequence, Fraction: g.Fraction}, asked)
	}
}

func (c *Cluster) serveRenew(_ context.Context, from string, in []renewal) ([]grantAnswer, error) {
	living, listed := c.Board.Members.Living()
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

// collectHoldings asks all listed daemons, once at the start, for the leases they
// have. If all answer, this daemon need not wait before it leases out limits.
func (c *Cluster) collectHoldings(ctx context.Context) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	all := true
	members := c.Board.Members.Members()
	c.Board.Shares.SetListed(len(members))
	for _, m := range members {
		if m.Name == c.Board.Self.Name {
			continue
		}
		wg.Go(func() {
			ok := c.adoptHoldings(ctx, m.Name)
			mu.Lock()
			defer mu.Unlock()
			all = all && ok
		})
	}
	wg.Wait()
	if all {
		c.Board.Shares.Settle()
	}
}

func (c *Cluster) adoptHoldings(ctx context.Context, name string) bool {
	var holdings []blackboard.Holding
	if err := c.call(ctx, name, peer.KindHoldings, empty{}, &holdings, renewTimeout); err != nil {
		return false
	}
	c.Board.Shares.Adopt(name, holdings, time.Now())
	return true
}

// joined takes in the leases of a daemon that came to life. If it does not tell
// them, nothing is raised until they have run out.
func (c *Cluster) daemonJoined(ctx context.Context, name string) {
	if name != c.Board.Self.Name && !c.adoptHoldings(ctx, name) {
		c.Board.Shares.Joined(time.Now())
	}
}
