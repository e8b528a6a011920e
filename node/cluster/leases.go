package cluster

import (
	"context"
	"slices"
	"sync"
	"time"

	"doorstack.dev/core/claim"
	"doorstack.dev/core/decision"
	"doorstack.dev/core/lease"
	"doorstack.dev/core/membership"
	"doorstack.dev/core/rendezvous"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/controller"
	"doorstack.dev/node/peer"
	"doorstack.dev/node/target"
)

// acquireRequest asks for leases on targets, on the wire.
type acquireRequest struct {
	Targets []string `cbor:"1,keyasint"`
}

// acquireAnswer lists the targets that the witness granted.
type acquireAnswer struct {
	Granted []string `cbor:"1,keyasint"`
}

func (c *Cluster) serveAcquire(_ context.Context, from string, in acquireRequest) (acquireAnswer, error) {
	var answer acquireAnswer
	now := time.Now()
	for _, id := range in.Targets {
		if c.Board.Leases.Ask(lease.Request{Target: id, Owner: from}, now) {
			answer.Granted = append(answer.Granted, id)
		}
	}
	return answer, nil
}

// runLeases keeps the leases on the targets that fall to this daemon, orders what
// they should serve, and releases reservations whose owner is gone.
func (c *Cluster) runLeases(ctx context.Context) {
	for ctx.Err() == nil {
		controller.Sleep(ctx, lease.RenewInterval)
		mine := c.ownTargets()
		c.acquireLeases(ctx, mine)
		for i := range mine {
			c.maintainTarget(ctx, &mine[i], mine)
		}
		c.releaseEnded(ctx)
	}
}

// ownTargets lists the engines whose first daemon of the rendezvous order among
// the living of its region is this one.
func (c *Cluster) ownTargets() []blackboard.TargetAddress {
	var candidates []string
	for _, m := range c.Board.Members.Members() {
		living := m.Name == c.Board.Self.Name || m.State == membership.Alive
		if m.Region == c.Board.Self.Region && living && !m.Leaving {
			candidates = append(candidates, m.Name)
		}
	}
	return slices.DeleteFunc(c.Board.Targets.Addresses(), func(t blackboard.TargetAddress) bool {
		return !t.Engine || rendezvous.Owner(t.ID, candidates) != c.Board.Self.Name
	})
}

// acquire asks the witnesses of the targets, all targets of a witness at once.
func (c *Cluster) acquireLeases(ctx context.Context, targets []blackboard.TargetAddress) {
	now := time.Now()
	byWitness := map[string][]string{}
	for _, t := range targets {
		witnesses := c.leaseWitnesses(t.ID, now)
		c.Board.Leases.Start(t.ID, len(witnesses), now)
		for _, w := range witnesses {
			byWitness[w] = append(byWitness[w], t.ID)
		}
	}
	var wg sync.WaitGroup
	for witness, ids := range byWitness {
		wg.Go(func() { c.acquireFrom(ctx, witness, ids) })
	}
	wg.Wait()
}

// leaseWitnesses are the first few of a target's order over the list in force.
func (c *Cluster) leaseWitnesses(id string, now time.Time) []string {
	sets := c.Board.Members.WitnessSets(claim.Request{Key: id, Created: claim.CreationTime{Known: true, At: now}}, now)
	if len(sets) == 0 {
		return nil
	}
	newest := sets[len(sets)-1]
	return newest[:min(len(newest), lease.WitnessCount)]
}

func (c *Cluster) acquireFrom(ctx context.Context, witness string, ids []string) {
	var answer acquireAnswer
	question := acquireRequest{Targets: ids}
	if witness == c.Board.Self.Name {
		answer, _ = c.serveAcquire(ctx, witness, question)
	} else if err := c.call(ctx, witness, peer.KindAcquire, question, &answer, renewTimeout); err != nil {
		return
	}
	for _, id := range answer.Granted {
		c.Board.Leases.Granted(id, time.Now())
	}
}

// maxLoadingShare is the share of a pool's targets that may be without the model at
// one time because of orders: the weight store is rate-limited, and the others
// must go on serving.
const maxLoadingShare = 0.25

// tend does for a target what only its owner may do.
func (c *Cluster) maintainTarget(ctx context.Context, t *blackboard.TargetAddress, mine []blackboard.TargetAddress) {
	c.orderModel(ctx, t, mine)
	c.releaseOrphans(ctx, t)
}

// orderModel orders a target to serve its pool's model, if it says that it does
// not. The order states the end, so giving it twice is harmless.
func (c *Cluster) orderModel(ctx context.Context, t *blackboard.TargetAddress, mine []blackboard.TargetAddress) {
	view := c.Board.Settings.Current()
	if view == nil {
		return
	}
	pool := view.Tree.Pool(t.Pool)
	if pool == nil || pool.Model == "" || len(t.Models) == 0 || slices.Contains(t.Models, pool.Model) {
		return
	}
	if !c.mayLoad(t, pool.Model, mine) {
		return
	}
	fence, ok := c.Board.Leases.MayOrder(t.ID, pool.Kind.ChecksFencing, time.Now())
	if !ok {
		return
	}
	sending, cancel := context.WithTimeout(ctx, lease.SendTimeout)
	defer cancel()
	err := c.Targets.Order(sending, t.Address, target.Order{Fence: fence, Owner: c.Board.Self.Name, Models: []string{pool.Model}})
	rec := decision.Record{Kind: decision.KindOrder, Pool: t.Pool, Target: t.ID, Revision: view.Revision, Outcome: "ordered", Reason: "load " + pool.Model}
	if err != nil {
		rec.Outcome, rec.Reason = decision.OutcomeFailed, err.Error()
	}
	c.Recorder.Record(rec)
	c.Recorder.Metrics.Orders.WithLabelValues(rec.Outcome).Inc()
}

// mayLoad lets the first few of this daemon's targets that lack the model load it.
func (c *Cluster) mayLoad(t *blackboard.TargetAddress, model string, mine []blackboard.TargetAddress) bool {
	pool, before := 0, 0
	for i := range mine {
		if mine[i].Pool != t.Pool {
			continue
		}
		pool++
		if mine[i].ID < t.ID && len(mine[i].Models) > 0 && !slices.Contains(mine[i].Models, model) {
			before++
		}
	}
	return before < max(1, int(maxLoadingShare*float64(pool)))
}

// orphanGrace is how long after its owner's end of interest a reservation is
// left alone even if the owner seems to live.
const orphanGrace = 10 * time.Second

// releaseOrphans gives back what a target holds for daemons that are gone, that
// have restarted, or whose request has long ended.
func (c *Cluster) releaseOrphans(ctx context.Context, t *blackboard.TargetAddress) {
	if _, ok := c.Board.Leases.MayOrder(t.ID, false, time.Now()); !ok {
		return
	}
	for i := range t.Reservations {
		r := &t.Reservations[i]
		if reason := c.orphanReason(r, time.Now()); reason != "" {
			c.release(ctx, t, r, reason)
		}
	}
}

// releaseOwn gives back what targets hold for requests of this daemon that have
// ended: a release may not have reached an engine that was frozen or cut off.
func (c *Cluster) releaseEnded(ctx context.Context) {
	for _, t := range c.Board.Targets.Addresses() {
		for i := range t.Reservations {
			r := &t.Reservations[i]
			mine := r.Owner == c.Board.Self.Name && r.Incarnation == c.Board.Self.Incarnation
			if mine && !c.Board.Targets.Active(r.ID) {
				c.release(ctx, &t, r, "its request has ended")
			}
		}
	}
}

// releaseAt releases a reservation and records why.
func (c *Cluster) release(ctx context.Context, t *blackboard.TargetAddress, r *target.Reservation, reason string) {
	sending, cancel := context.WithTimeout(ctx, lease.SendTimeout)
	defer cancel()
	if err := c.Targets.Release(sending, t.Address, r.ID); err != nil {
		return // The next round asks again.
	}
	c.Recorder.Metrics.Released.Inc()
	c.Recorder.Record(decision.Record{Kind: decision.KindSweep, Request: r.Request, Pool: t.Pool, Target: t.ID, Outcome: "released", Reason: reason})
}

// orphaned says why a reservation has no owner any more, or "".
func (c *Cluster) orphanReason(r *target.Reservation, now time.Time) string {
	if now.After(r.Expires.Add(orphanGrace)) {
		return "its request's deadline has passed"
	}
	if r.Owner == c.Board.Self.Name {
		if r.Incarnation != c.Board.Self.Incarnation {
			return "its daemon has restarted"
		}
		return ""
	}
	var m membership.Member
	var listed bool
	c.Board.Members.View(func(t *membership.Table) { m, listed = t.Member(r.Owner) })
	switch {
	case !listed:
		return "its daemon is not on the host list any more"
	case m.State == membership.Dead:
		return "its daemon is dead"
	case m.StartIncarnation > r.Incarnation:
		return "its daemon has restarted"
	}
	return ""
}
