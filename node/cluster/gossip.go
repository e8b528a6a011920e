package cluster

import (
	"context"
	"slices"
	"sync"
	"time"

	"doorstack.dev/core/membership"
	"doorstack.dev/node/controller"
	"doorstack.dev/node/peer"
)

// rumorBatchInterval is the least time between two frames of rumors on a link. A single
// rumor is sent at once; where hundreds of daemons start together, the rumors of an
// interval share a frame. With 120 daemons, each sends 180 frames instead of 960.
const rumorBatchInterval = 20 * time.Millisecond

// rumorBatch collects the rumors to be passed on to the neighbours.
type rumorBatch struct {
	mu            sync.Mutex
	pending       []queuedRumor
	lastSent      time.Time // when a batch was last taken
	sendScheduled bool      // a caller of add will send the batch
}

// queuedRumor is a rumor and the peer that it came from, which does not get it back.
type queuedRumor struct {
	rumor membership.Rumor
	from  string
}

// add queues rumors that came from a peer. It reports whether the caller has to send the
// batch, and after which pause.
func (g *rumorBatch) add(rumors []membership.Rumor, from string, now time.Time) (pause time.Duration, mustSend bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range rumors {
		// Only a rumor newer than the known state is passed on, so it replaces the queued
		// one.
		g.pending = slices.DeleteFunc(g.pending, func(w queuedRumor) bool { return w.rumor.Name == r.Name })
		g.pending = append(g.pending, queuedRumor{r, from})
	}
	if g.sendScheduled {
		return 0, false
	}
	g.sendScheduled = true
	return max(0, rumorBatchInterval-now.Sub(g.lastSent)), true
}

// take removes and returns the queued rumors.
func (g *rumorBatch) take(now time.Time) []queuedRumor {
	g.mu.Lock()
	defer g.mu.Unlock()
	waiting := g.pending
	g.pending, g.lastSent, g.sendScheduled = nil, now, false
	return waiting
}

// spreadRumors passes rumors on over all links but the one that they came from.
func (c *Cluster) spreadRumors(ctx context.Context, rumors []membership.Rumor, from string) {
	if len(rumors) == 0 {
		return
	}
	c.logRumors(rumors)
	c.Placer.links.membersChanged()
	for _, r := range rumors {
		if r.State == membership.Alive && !c.DisableLeases {
			go c.requireHoldings(ctx, r.Name)
		}
	}
	pause, mustSend := c.rumorBatch.add(rumors, from, time.Now())
	switch {
	case !mustSend:
	case pause == 0:
		c.sendRumors(ctx)
	default:
		go func() {
			controller.Sleep(ctx, pause)
			c.sendRumors(ctx)
		}()
	}
}

// sendRumors sends the queued rumors over the open links. Lost rumors are repaired when
// heartbeats are compared.
func (c *Cluster) sendRumors(ctx context.Context) {
	waiting := c.rumorBatch.take(time.Now())
	linked := c.Hub.LinkedPeers()
	for _, name := range c.Board.Members.GossipPeers(time.Now()) {
		if !slices.Contains(linked, name) {
			continue
		}
		var rumors []membership.Rumor
		for _, w := range waiting {
			if w.from != name {
				rumors = append(rumors, w.rumor)
			}
		}
		if len(rumors) == 0 {
			continue
		}
		if err := c.Hub.Notify(ctx, c.address(name), peer.KindRumor, rumors); err != nil {
			c.Recorder.Log.Debug("rumors could not be sent to a peer", "peer", name, "error", err.Error())
		}
	}
}

// logRumors writes a line for each daemon that died or left, and one line for all living
// ones, since a daemon that joins learns of hundreds at once.
func (c *Cluster) logRumors(rumors []membership.Rumor) {
	var living []string
	for _, r := range rumors {
		if r.State == membership.Alive {
			living = append(living, r.Name)
			continue
		}
		c.Recorder.Log.Info("membership", "member", r.Name, "state", r.State.String(), "incarnation", r.Incarnation)
	}
	switch len(living) {
	case 0:
	case 1:
		at := slices.IndexFunc(rumors, func(r membership.Rumor) bool { return r.Name == living[0] })
		c.Recorder.Log.Info("membership", "member", living[0], "state", membership.Alive.String(), "incarnation", rumors[at].Incarnation)
	default:
		c.Recorder.Log.Info("membership", "members", living, "state", membership.Alive.String())
	}
}
