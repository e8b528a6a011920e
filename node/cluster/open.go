package cluster

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"doorstack.dev/core/membership"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/controller"
	"doorstack.dev/node/peer"
	"github.com/go-faster/errors"
)

// An open fleet is one that the platform does not list: its daemons introduce
// themselves to a few seeds and learn of the others from them.

// The pace of looking for other daemons.
const (
	// joinTimeout bounds one introduction: a seed may be dead and its host silent.
	joinTimeout = 500 * time.Millisecond
	// joinBackoffInitial is the pause after a first introduction that nobody answers, and joinBackoffMax the
	// longest that it grows to: where all hosts start together the seeds may listen half a
	// second later than the first daemons look for them.
	joinBackoffInitial = 50 * time.Millisecond
	joinBackoffMax     = 400 * time.Millisecond
	// rejoinInterval is the mean pause between tries to find a daemon that was lost, or a
	// seed, which is what joins two parts of a fleet again after a cut.
	rejoinInterval = 2 * time.Second
	// minReconcileInterval is the least time between two comparisons of members with one peer.
	minReconcileInterval = 2 * time.Second
)

func (c *Cluster) openFleet() bool { return c.Directory != nil }

// join looks for other daemons until ctx ends.
func (c *Cluster) join(ctx context.Context) {
	pause := joinBackoffInitial
	for round := 0; ctx.Err() == nil; round++ {
		alone := c.introduceRound(ctx, round)
		if alone {
			controller.Sleep(ctx, pause)
			pause = min(2*pause, joinBackoffMax)
			continue
		}
		pause = joinBackoffInitial
		controller.Sleep(ctx, rejoinInterval/2+rand.N(rejoinInterval))
	}
}

// introduceTo introduces this daemon to all seeds while it is alone, later to one
// daemon that was lost or one seed that is not linked. It tells whether it is alone.
func (c *Cluster) introduceRound(ctx context.Context, round int) (alone bool) {
	var addresses []string
	seeds := *c.seeds.Load()
	c.Board.Members.View(func(t *membership.Table) {
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
	if answered := c.introduceToAll(ctx, addresses); alone && answered == len(addresses) {
		c.seedsAnswered.Store(true)
	}
	return alone
}

// knowsFleet tells whether this daemon has found others, or has looked for them and there are
// none.
func (c *Cluster) discoveryDone() bool {
	others := 0
	c.Board.Members.View(func(t *membership.Table) { others, _ = t.CountOthers() })
	return others > 0 || c.seedsAnswered.Load() || time.Since(c.started) > compareTimeout
}

// introduceToAll introduces this daemon at several addresses at once, so that a seed without
// power holds up none of the others, and counts who answers; its own address does.
func (c *Cluster) introduceToAll(ctx context.Context, addresses []string) int {
	var answered atomic.Int64
	var asking sync.WaitGroup
	for _, address := range addresses {
		asking.Go(func() {
			if address == c.Board.Self.Peer || c.introduce(ctx, address) {
				answered.Add(1)
			}
		})
	}
	asking.Wait()
	return int(answered.Load())
}

// introduce makes this daemon known at an address and learns who else is there.
func (c *Cluster) introduce(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var own membership.Rumor
	c.Board.Members.View(func(t *membership.Table) { own = t.Introduction() })
	var all []membership.Rumor
	name, err := c.Hub.CallAt(ctx, address, peer.KindJoin, own, &all)
	if err != nil {
		c.Recorder.Log.Debug("no daemon answers an introduction", "address", address, "error", err.Error())
		return false
	}
	c.Recorder.Reach(blackboard.StagePeer)
	c.receiveRumors(ctx, all, name)
	c.HeartbeatNow()
	return true
}

// serveJoin takes in a daemon that introduces itself and tells it of all others.
func (c *Cluster) serveJoin(ctx context.Context, from string, in membership.Rumor) ([]membership.Rumor, error) {
	if !c.openFleet() {
		return nil, errors.New("this fleet is listed by the platform and takes no introductions")
	}
	c.receiveRumors(ctx, []membership.Rumor{in}, from)
	var all []membership.Rumor
	c.Board.Members.View(func(t *membership.Table) { all = t.AllRumors() })
	return all, nil
}

// receive takes rumors in and passes news on.
func (c *Cluster) receiveRumors(ctx context.Context, in []membership.Rumor, from string) {
	var news []membership.Rumor
	c.Board.Members.View(func(t *membership.Table) {
		for _, r := range in {
			if next, isNew := t.Receive(r); isNew {
				news = append(news, next)
			}
		}
	})
	c.spreadRumors(ctx, news, from)
}

// reconcile sends the digests of all members to a peer that knows of other daemons than this
// one does, and gets what the peer knows where they differ. The peer does the same, so both
// end with the union.
func (c *Cluster) reconcile(ctx context.Context, from string, digest uint64) {
	if !c.openFleet() {
		return
	}
	var digests []uint64
	c.Board.Members.View(func(t *membership.Table) {
		if t.Digest() != digest {
			digests = t.BucketDigests()
		}
	})
	if digests == nil || !c.mayReconcile(from, time.Now()) {
		return
	}
	if err := c.Hub.Notify(ctx, c.address(from), peer.KindDigests, digests); err != nil {
		c.Recorder.Log.Debug("digests of members could not be told to a peer", "peer", from, "error", err.Error())
	}
}

// serveDigests tells a peer what this daemon knows where their digests differ.
func (c *Cluster) serveDigests(ctx context.Context, from string, theirs []uint64) (empty, error) {
	var rumors []membership.Rumor
	c.Board.Members.View(func(t *membership.Table) { rumors = t.DifferingRumors(theirs) })
	if len(rumors) == 0 {
		return empty{}, nil
	}
	return empty{}, c.Hub.Notify(ctx, c.address(from), peer.KindRumor, rumors)
}

func (c *Cluster) mayReconcile(peerName string, now time.Time) bool {
	return c.maySendAll(c.reconciledAt, peerName, now)
}

// mayTell tells whether all of something may be told to a peer again, and notes that it is.
func (c *Cluster) maySendAll(told map[string]time.Time, peerName string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(told[peerName]) < minReconcileInterval {
		return false
	}
	told[peerName] = now
	return true
}
