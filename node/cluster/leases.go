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

// acquireRequest asks a witness for leases on targets, in wire form.
type acquireRequest struct {
	Targets []string `cbor:"1,keyasint"`
}

// acquireAnswer lists the targets on which the witness granted a lease.
type acquireAnswer struct {
	Granted []string `cbor:"1,keyasint"`
}

func (c *Cluster) serveAcquire(_ context.Context, from string, in acquireRequest) (acquireAnswer, error) {
	var answer acquireAnswer
	now := time.Now()
	for _, id := range in.Targets {
		if c.Board.Leases.Acquire(lease.Request{Target: id, Owner: from}, now) {
			answer.Granted = append(answer.Granted, id)
		}
	}
	return answer, nil
}

// runLeases renews the leases on the targets that this daemon owns, orders them to load
// their models, and releases reservations whose owner is gone.
func (c *Cluster) runLeases(ctx context.Context) {
	for ctx.Err() == nil {
		controller.Sleep(ctx, lease.RenewInterval)
		owned := c.ownTargets()
		c.acquireLeases(ctx, owned)
		for i := range owned {
			c.maintainTarget(ctx, &owned[i], owned)
		}
		c.releaseEnded(ctx)
	}
}

// ownTargets lists the engines that this daemon owns: those for which it comes first in the
// rendezvous order among the living daemons of its region.
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

// acquireLeases asks the targets' witnesses for leases, with one request to each witness.
func (c *Cluster) acquireLeases(ctx context.Context, targets []blackboard.TargetAddress) {
	now := time.Now()
	byWitness := map[string][]string{}
	for _, t := range targets {
		witnesses := c.leaseWitnesses(t.ID, now)
		c.Board.Leases.StartRound(t.ID, len(witnesses), now)
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

// leaseWitnesses returns the first few daemons of a target's rendezvous order over the
// current host list.
func (c *Cluster) leaseWitnesses(id string, now time.Time) []string {
	sets := c.Board.Members.WitnessSets(claim.Request{Key: id, Created: claim.CreationTime{Known: true, At: now}}, now)
	if len(sets) == 0 {
		return nil
	}
	newest := sets[len(sets)-1]
	return newest[:min(len(newest), lease.WitnessCount)]
}

// acquireFrom asks one witness for leases on several targets and counts the leases granted.
func (c *Cluster) acquireFrom(ctx context.Context, witness string, ids []string) {
	var answer acquireAnswer
	request := acquireRequest{Targets: ids}
	if witness == c.Board.Self.Name {
		answer, _ = c.serveAcquire(ctx, witness, request)
	} else if err := c.call(ctx, witness, peer.KindAcquire, request, &answer, renewTimeout); err != nil {
		return
	}
	for _, id := range answer.Granted {
		c.Board.Leases.AddGrant(id, time.Now())
	}
}

// maxLoadingShare is the fraction of a pool's targets that may be loading an ordered model
// at the same time: the weight store is rate-limited, and the other targets must go on
// serving.
const maxLoadingShare = 0.25

// maintainTarget does for a target what only its owner may do: ordering its model and
// releasing orphaned reservations.
func (c *Cluster) maintainTarget(ctx context.Context, t *blackboard.TargetAddress, owned []blackboard.TargetAddress) {
	c.orderModel(ctx, t, owned)
	c.releaseOrphans(ctx, t)
}

// orderModel orders a target to serve its pool's model if the target reports that it does
// not. The order names the wanted state, so a repeated order is harmless.
func (c *Cluster) orderModel(ctx context.Context, t *blackboard.TargetAddress, owned []blackboard.TargetAddress) {
	view := c.Board.Settings.Current()
	if view == nil {
		return
	}
	pool := view.Tree.Pool(t.Pool)
	if pool == nil || pool.Model == "" || len(t.Models) == 0 || slices.Contains(t.Models, pool.Model) {
		return
	}
	if !c.mayLoad(t, pool.Model, owned) {
		return
	}
	fence, ok := c.Board.Leases.MayOrder(t.ID, pool.Kind.ChecksFencing, time.Now())
	if !ok {
		return
	}
	sendCtx, cancel := context.WithTimeout(ctx, lease.SendTimeout)
	defer cancel()
	err := c.Targets.Order(sendCtx, t.Address, target.Order{FencingToken: fence, Owner: c.Board.Self.Name, Models: []string{pool.Model}})
	rec := decision.Record{Kind: decision.KindOrder, Pool: t.Pool, Target: t.ID, Revision: view.Revision, Outcome: "ordered", Reason: "load " + pool.Model}
	if err != nil {
		rec.Outcome, rec.Reason = decision.OutcomeFailed, err.Error()
	}
	c.Recorder.Record(rec)
	c.Recorder.Metrics.Orders.WithLabelValues(rec.Outcome).Inc()
}

// mayLoad reports whether a target is among the first of this daemon's targets that lack
// the model.
func (c *Cluster) mayLoad(t *blackboard.TargetAddress, model string, owned []blackboard.TargetAddress) bool {
	pool, before := 0, 0
	for i := range owned {
		if owned[i].Pool != t.Pool {
			continue
		}
		pool++
		if owned[i].ID < t.ID && len(owned[i].Models) > 0 && !slices.Contains(owned[i].Models, model) {
			before++
		}
	}
	return before < max(1, int(maxLoadingShare*float64(pool)))
}

// orphanGrace is the time from its request's deadline to the release of a reservation whose
// owner seems to be alive.
const orphanGrace = 10 * time.Second

// releaseOrphans releases a target's reservations whose daemon is gone or has restarted, or
// whose request ended long ago.
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

// releaseEnded releases reservations of this daemon's requests that have ended: an earlier
// release may not have reached an engine that was frozen or unreachable.
func (c *Cluster) releaseEnded(ctx context.Context) {
	for _, t := range c.Board.Targets.Addresses() {
		for i := range t.Reservations {
			r := &t.Reservations[i]
			own := r.Owner == c.Board.Self.Name && r.Incarnation == c.Board.Self.Incarnation
			if own && !c.Board.Targets.Active(r.ID) {
				c.release(ctx, &t, r, "its request has ended")
			}
		}
	}
}

// release releases a reservation at a target and records the reason.
func (c *Cluster) release(ctx context.Context, t *blackboard.TargetAddress, r *target.Reservation, reason string) {
	sendCtx, cancel := context.WithTimeout(ctx, lease.SendTimeout)
	defer cancel()
	if err := c.Targets.Release(sendCtx, t.Address, r.ID); err != nil {
		return // The next round retries.
	}
	c.Recorder.Metrics.ReservationsReleased.Inc()
	c.Recorder.Record(decision.Record{Kind: decision.KindSweep, Request: r.Request, Pool: t.Pool, Target: t.ID, Outcome: "released", Reason: reason})
}

// orphanReason returns why a reservation has no owner any more, or the empty string.
func (c *Cluster) orphanReason(r *target.Reservation, now time.Time) string {
	if now.After(r.ExpiresAt.Add(orphanGrace)) {
		return "the deadline of its request has passed"
	}
	if r.Owner == c.Board.Self.Name {
		if r.Incarnation != c.Board.Self.Incarnation {
			return "its daemon has restarted"
		}
		return ""
	}
	var m membership.Member
	var listed bool
	c.Board.Members.WithLock(func(t *membership.Table) { m, listed = t.Member(r.Owner) })
	switch {
	case !listed:
		return "its daemon is no longer on the host list"
	case m.State == membership.Dead:
		return "its daemon is dead"
	case m.StartIncarnation > r.Incarnation:
		return "its daemon has restarted"
	}
	return ""
}
