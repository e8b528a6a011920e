package cluster

import (
	"context"
	"math/rand/v2"
	"net/http/httptrace"
	"time"

	"doorstack.dev/core/membership"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/controller"
	"doorstack.dev/node/peer"
	"github.com/go-faster/errors"
)

// An open fleet is one whose daemons the platform does not list: each daemon introduces
// itself to a few seeds and learns of the others from them.

// Timeouts and intervals of the search for other daemons.
const (
	// joinTimeout bounds one introduction: a seed's host may be down, so that nothing
	// refuses the connection.
	joinTimeout = 500 * time.Millisecond
	// joinRound is how long a daemon without neighbours dials its seeds until it reads the list of
	// seeds again and looks whether others have found it.
	joinRound = 500 * time.Millisecond
	// rejoinInterval is the mean pause between attempts to reach a dead member or a seed
	// that is not a member. Such attempts join the parts of a fleet again after a network
	// partition.
	rejoinInterval = 2 * time.Second
	// minReconcileInterval is the least time between two transfers of the members' digests
	// to one peer, and between two transfers of all verdicts to it.
	minReconcileInterval = 2 * time.Second
	// reconcileDelay is how long the digests of two daemons must differ before they compare their
	// members. Where many daemons start together, rumors reach all of them sooner, and comparing before
	// that sends most members once more.
	reconcileDelay = 600 * time.Millisecond
)

// openFleet reports whether the fleet is one whose daemons the platform does not list.
func (c *Cluster) openFleet() bool { return c.Directory != nil }

// join introduces this daemon to others until ctx ends.
func (c *Cluster) join(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		alone, allAnswered := c.introduceRound(ctx, round)
		switch {
		case !alone:
			controller.Sleep(ctx, rejoinInterval/2+rand.N(rejoinInterval))
		case allAnswered:
			controller.Sleep(ctx, joinRound) // Such as where this daemon is the only seed.
		}
	}
}

// introduceRound introduces this daemon to all seeds while it has no neighbour, and
// otherwise to one dead member or one seed that is not a member. It reports whether this
// daemon had no neighbour, and whether all addresses answered.
func (c *Cluster) introduceRound(ctx context.Context, round int) (alone, allAnswered bool) {
	var addresses []string
	seeds := *c.seeds.Load()
	c.Board.Members.WithLock(func(t *membership.Table) {
		alone = len(t.NeighbourNames()) == 0
		if alone {
			addresses = seeds
			return
		}
		known := map[string]bool{}
		for _, m := range t.Members() {
			known[m.Address] = m.State == membership.Alive
		}
		for _, m := range t.DeadMembers() {
			addresses = append(addresses, m.Address)
		}
		for _, seed := range seeds {
			if alive, listed := known[seed]; !alive && !listed {
				addresses = append(addresses, seed)
			}
		}
	})
	if !alone && len(addresses) > 0 {
		addresses = addresses[round%len(addresses):][:1]
	}
	begin := time.Now()
	outcome := c.introductions.round(ctx, addresses, c.Board.Self.PeerAddress, alone)
	allAnswered = outcome.answered == len(addresses)
	if alone && allAnswered {
		c.seedsAnswered.Store(true)
	}
	if alone && outcome.first != "" {
		c.Recorder.Log.Info("introduced to the fleet", "seed", outcome.first, "dials", outcome.dials,
			"round_ms", time.Since(begin).Milliseconds(), "since_start_ms", time.Since(c.started).Milliseconds())
	}
	return alone, allAnswered
}

// discoveryDone reports whether this daemon knows other daemons, or has found none at any
// seed or within compareTimeout.
func (c *Cluster) discoveryDone() bool {
	others := 0
	c.Board.Members.WithLock(func(t *membership.Table) { others, _ = t.CountOthers() })
	return others > 0 || c.seedsAnswered.Load() || time.Since(c.started) > compareTimeout
}

// introduceOnce introduces this daemon at an address, within joinTimeout, and learns of the other
// members. It calls connected when the host there has accepted the connection, and reports whether
// the daemon there answered.
func (c *Cluster) introduceOnce(ctx context.Context, address string, connected func()) bool {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var own membership.Rumor
	c.Board.Members.WithLock(func(t *membership.Table) { own = t.Introduction() })
	var all []membership.Rumor
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected() }}
	name, err := c.Hub.CallAt(httptrace.WithClientTrace(ctx, trace), address, peer.KindJoin, own, &all)
	if err != nil {
		c.Recorder.Metrics.Introductions.WithLabelValues("unanswered").Inc()
		c.Recorder.Log.Debug("introduction was not answered", "address", address, "error", err.Error())
		return false
	}
	c.Recorder.Metrics.Introductions.WithLabelValues("answered").Inc()
	c.Recorder.MarkStage(blackboard.StagePeer)
	c.receiveRumors(ctx, all, name)
	c.HeartbeatNow()
	return true
}

// serveJoin handles the introduction of a daemon and answers with all members.
func (c *Cluster) serveJoin(ctx context.Context, from string, in membership.Rumor) ([]membership.Rumor, error) {
	if !c.openFleet() {
		return nil, errors.New("the platform lists the daemons of this fleet; introductions are not accepted")
	}
	c.receiveRumors(ctx, []membership.Rumor{in}, from)
	var all []membership.Rumor
	c.Board.Members.WithLock(func(t *membership.Table) { all = t.AllRumors() })
	return all, nil
}

// receiveRumors applies rumors and passes on those that are new here.
func (c *Cluster) receiveRumors(ctx context.Context, in []membership.Rumor, from string) {
	var fresh []membership.Rumor
	c.Board.Members.WithLock(func(t *membership.Table) {
		for _, r := range in {
			if next, isNew := t.Receive(r); isNew {
				fresh = append(fresh, next)
			}
		}
	})
	c.spreadRumors(ctx, fresh, from)
}

// reconcile sends the digests of all members to a peer whose members digest differs, so
// that the peer sends what it knows where they differ. The peer does the same, and both end
// with the union.
func (c *Cluster) reconcile(ctx context.Context, from string, digest uint64) {
	if !c.openFleet() {
		return
	}
	var digests []uint64
	c.Board.Members.WithLock(func(t *membership.Table) {
		if t.Digest() != digest {
			digests = t.BucketDigests()
		}
	})
	if !c.mayReconcile(from, digests != nil, time.Now()) {
		return
	}
	if err := c.Hub.Notify(ctx, c.address(from), peer.KindDigests, digests); err != nil {
		c.Recorder.Log.Debug("digests of members could not be sent to a peer", "peer", from, "error", err.Error())
	}
}

// serveDigests sends a peer the rumors of the members on which the digests differ.
func (c *Cluster) serveDigests(ctx context.Context, from string, theirs []uint64) (empty, error) {
	var rumors []membership.Rumor
	c.Board.Members.WithLock(func(t *membership.Table) { rumors = t.DifferingRumors(theirs) })
	if len(rumors) == 0 {
		return empty{}, nil
	}
	return empty{}, c.Hub.Notify(ctx, c.address(from), peer.KindRumor, rumors)
}

// mayReconcile reports whether digests may be sent to a peer, whose digest differs from this daemon's or
// not.
func (c *Cluster) mayReconcile(peerName string, differs bool, now time.Time) bool {
	c.mu.Lock()
	since, known := c.differsSince[peerName]
	switch {
	case !differs:
		delete(c.differsSince, peerName)
	case !known:
		c.differsSince[peerName] = now
	}
	c.mu.Unlock()
	return differs && known && now.Sub(since) >= reconcileDelay && c.maySendAll(c.reconciledAt, peerName, now)
}

// maySendAll reports whether a complete state may be sent to a peer again, and records that
// it is sent.
func (c *Cluster) maySendAll(sentAt map[string]time.Time, peerName string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(sentAt[peerName]) < minReconcileInterval {
		return false
	}
	sentAt[peerName] = now
	return true
}
