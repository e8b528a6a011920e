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

// gatherRumors is the least time between two frames of rumors on a link. One that comes alone
// goes on at once; where hundreds of daemons start together what comes meanwhile shares a
// frame: 180 frames by one of 120 daemons in place of 960.
const gatherRumors = 20 * time.Millisecond

// gossip gathers the rumors that go on to the links.
type gossip struct {
	mu      sync.Mutex
	waiting []passedOn
	sent    time.Time // when rumors last went out
	due     bool      // somebody will send what waits
}

// passedOn is a rumor and the peer that it came from, which does not get it back.
type passedOn struct {
	rumor membership.Rumor
	from  string
}

// add takes rumors in. It returns true if the caller has to send what waits, after a pause.
func (g *gossip) add(rumors []membership.Rumor, from string, now time.Time) (pause time.Duration, mustSend bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range rumors {
		// A rumor is passed on only if it is newer than what was known.
		g.waiting = slices.DeleteFunc(g.waiting, func(w passedOn) bool { return w.rumor.Name == r.Name })
		g.waiting = append(g.waiting, passedOn{r, from})
	}
	if g.due {
		return 0, false
	}
	g.due = true
	return max(0, gatherRumors-now.Sub(g.sent)), true
}

// take hands out what waits.
func (g *gossip) take(now time.Time) []passedOn {
	g.mu.Lock()
	defer g.mu.Unlock()
	waiting := g.waiting
	g.waiting, g.sent, g.due = nil, now, false
	return waiting
}

// spread passes rumors on to all links but the one that they came from.
func (c *Cluster) spread(ctx context.Context, rumors []membership.Rumor, from string) {
	if len(rumors) == 0 {
		return
	}
	c.logRumors(rumors)
	for _, r := range rumors {
		if r.State == membership.Alive && !c.MembersOnly {
			go c.joined(ctx, r.Name)
		}
	}
	pause, mustSend := c.gossip.add(rumors, from, time.Now())
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

// sendRumors sends what waits over the links that are open. What is lost is repaired when
// heartbeats are compared.
func (c *Cluster) sendRumors(ctx context.Context) {
	waiting := c.gossip.take(time.Now())
	linked := c.Hub.LinkedPeers()
	for _, name := range c.Board.Members.Links(time.Now()) {
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
			c.Record.Log.Debug("rumors could not be told to a peer", "peer", name, "error", err.Error())
		}
	}
}

// logRumors writes a line for each daemon that died or left, and one for all that live: a
// daemon that joins hears of hundreds at once.
func (c *Cluster) logRumors(rumors []membership.Rumor) {
	var living []string
	for _, r := range rumors {
		if r.State == membership.Alive {
			living = append(living, r.Name)
			continue
		}
		c.Record.Log.Info("membership", "member", r.Name, "state", r.State.String(), "incarnation", r.Incarnation)
	}
	switch len(living) {
	case 0:
	case 1:
		at := slices.IndexFunc(rumors, func(r membership.Rumor) bool { return r.Name == living[0] })
		c.Record.Log.Info("membership", "member", living[0], "state", membership.Alive.String(), "incarnation", rumors[at].Incarnation)
	default:
		c.Record.Log.Info("membership", "members", living, "state", membership.Alive.String())
	}
}
