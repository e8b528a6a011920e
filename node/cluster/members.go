package cluster

import (
	"context"
	"slices"
	"sync"
	"time"

	"doorstack.dev/core/claim"
	"doorstack.dev/core/hostlist"
	"doorstack.dev/core/membership"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/peer"
)

// heartbeat is sent on each link once a second, and answered by the same. Links
// of neighbours carry them in both directions.
type heartbeat struct {
	Incarnation int64 `cbor:"1,keyasint"`
	// Revision is the settings revision in force.
	Revision int64 `cbor:"2,keyasint"`
	// News is what the sender knows of the fleet, on some heartbeats.
	News []membership.Rumor `cbor:"3,keyasint,omitempty"`
	// Leaving says that the sender drains.
	Leaving bool `cbor:"4,keyasint,omitempty"`
	// Started is the incarnation that the sender's process began with.
	Started int64 `cbor:"5,keyasint,omitempty"`
	// Digest identifies who is alive in an open fleet, as the sender knows it.
	Digest uint64 `cbor:"6,keyasint,omitempty"`
	// Targets is the position up to which the sender knows all facts of targets. Field 7 held
	// bare revisions, which do not compare with positions.
	Targets hostlist.Position `cbor:"9,keyasint,omitempty"`
	// Verdicts identifies what the sender holds of requests that end their targets.
	Verdicts uint64 `cbor:"8,keyasint,omitempty"`
}

// The pace and the bounds of the members' loop.
const (
	heartbeatTimeout = membership.HeartbeatInterval
	// newsEvery is the number of heartbeats between those that carry all news, to
	// repair rumors that got lost.
	newsEvery = 10
	// compareTimeout is how long a fresh daemon waits for neighbours that do not
	// answer, before it trusts what it read itself.
	compareTimeout = 5 * time.Second
)

// Run keeps links, heartbeats and the settings of the neighbours in step.
func (c *Cluster) Run(ctx context.Context) {
	var work sync.WaitGroup
	if !c.MembersOnly {
		work.Go(func() { c.runShares(ctx) })
		work.Go(func() { c.runLeases(ctx) })
	}
	work.Go(func() { c.compareLoop(ctx) })
	work.Go(func() { c.settingsNews.run(ctx) })
	work.Go(func() { c.targetNews.run(ctx) })
	if c.open() {
		work.Go(func() { c.join(ctx) })
		work.Go(func() { c.Placements.run(ctx) })
	}
	ticker := time.NewTicker(membership.HeartbeatInterval)
	defer ticker.Stop()
	for beat := 0; ctx.Err() == nil; beat++ {
		c.beat(ctx, beat%newsEvery == 0)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-c.poke:
		}
	}
	work.Wait()
}

// Poke sends a heartbeat now, because there is something new to say.
func (c *Cluster) Poke() {
	select {
	case c.poke <- struct{}{}:
	default:
	}
}

// beat sends one heartbeat to each link and looks for silent neighbours.
func (c *Cluster) beat(ctx context.Context, withNews bool) {
	now := time.Now()
	h := c.heartbeat(withNews)
	for _, name := range c.Board.Members.Links(now) {
		if c.Board.Members.Address(name) == "" {
			continue
		}
		go c.beatOne(ctx, name, h)
	}
	var rumors []membership.Rumor
	c.Board.Members.View(func(t *membership.Table) { rumors = t.Tick(now) })
	c.spread(ctx, rumors, "")
	links := c.Board.Members.Links(now)
	c.Hub.CloseIdle(func(name string) bool { return slices.Contains(links, name) })
	if !c.MembersOnly {
		c.Board.Claims.Counts(now)
	}
}

func (c *Cluster) heartbeat(withNews bool) heartbeat {
	h := heartbeat{Leaving: c.Board.Phase() == blackboard.Draining, Started: c.Board.Self.Incarnation, Revision: c.revision()}
	c.Board.Members.View(func(t *membership.Table) {
		if h.Leaving {
			t.Leave()
		}
		h.Incarnation = t.Incarnation()
		if c.open() {
			h.Digest = t.Digest()
		} else if withNews {
			h.News = t.SyncRumors()
		}
	})
	if c.open() {
		h.Targets = c.Board.Directory.Revision()
	}
	h.Verdicts = c.Board.Poison.Digest(time.Now())
	return h
}

func (c *Cluster) beatOne(ctx context.Context, name string, h heartbeat) {
	var answer heartbeat
	if err := c.ask(ctx, name, peer.KindHeartbeat, h, &answer, heartbeatTimeout); err != nil {
		c.unanswered(name) // Silence is what Tick looks for.
		return
	}
	c.hear(ctx, name, answer)
}

// unanswered tells a fresh daemon of an open fleet that it need not wait for a neighbour: what
// the store says is never older than what a silent neighbour could tell, and hosts that lost
// power together with this one would hold it up for compareTimeout.
func (c *Cluster) unanswered(name string) {
	if !c.open() || c.Board.Phase() != blackboard.Starting {
		return
	}
	select {
	case c.heard <- heartbeatNews{from: name, silent: true}:
	default: // The next heartbeat says it again.
	}
}

func (c *Cluster) serveHeartbeat(ctx context.Context, from string, in heartbeat) (heartbeat, error) {
	c.Board.Members.Partner(from, time.Now())
	c.hear(ctx, from, in)
	return c.heartbeat(len(in.News) > 0), nil
}

// hear takes a heartbeat in.
func (c *Cluster) hear(ctx context.Context, from string, h heartbeat) {
	var rumors []membership.Rumor
	add := func(r membership.Rumor, news bool) {
		if news {
			rumors = append(rumors, r)
		}
	}
	c.Board.Members.View(func(t *membership.Table) {
		add(t.RecordHeartbeat(from, h.Started, h.Incarnation, h.Revision, time.Now()))
		if h.Leaving {
			add(t.Receive(membership.Rumor{Name: from, Incarnation: h.Incarnation, State: membership.Left}))
		}
		for _, r := range h.News {
			add(t.Receive(r))
		}
	})
	c.Record.Reach(blackboard.StagePeer)
	c.spread(ctx, rumors, from)
	c.reconcile(ctx, from, h.Digest)
	c.compareVerdicts(from, h.Verdicts)
	select {
	case c.heard <- heartbeatNews{from: from, revision: h.Revision, targets: h.Targets}:
	default: // The next heartbeat says it again.
	}
}

func (c *Cluster) serveRumors(ctx context.Context, from string, in []membership.Rumor) (done, error) {
	c.receive(ctx, in, from)
	return done{}, nil
}

// compareWithNew asks neighbours that a fresh daemon has just come to know, rather than at
// the next heartbeat: where all daemons start at once its neighbours change with each that it
// hears of, and it would wait for the last of them.
func (c *Cluster) compareWithNew(ctx context.Context) {
	if c.Board.Phase() != blackboard.Starting {
		return
	}
	for _, name := range c.neighbours() {
		if c.compared[name] || c.asked[name] {
			continue
		}
		c.asked[name] = true
		go c.beatOne(ctx, name, c.heartbeat(false))
	}
}

func (c *Cluster) neighbours() (names []string) {
	c.Board.Members.View(func(t *membership.Table) { names = slices.Clone(t.NeighbourNames()) })
	return names
}

// serveWhenCompared opens the doors once every neighbour has told its revision,
// or has been silent for long enough.
func (c *Cluster) serveWhenCompared(ctx context.Context) {
	if c.Board.Phase() != blackboard.Starting || c.Board.Settings.Current() == nil {
		return
	}
	if _, read := c.Board.Members.Hosts(); read.IsZero() {
		return
	}
	neighbours := c.neighbours()
	if c.readItself() {
		c.openDoors(ctx, neighbours)
		return
	}
	patient := time.Since(c.started) < compareTimeout
	if c.open() && len(neighbours) == 0 && !c.searched.Load() && patient {
		return // Nobody has been found yet to compare with.
	}
	for _, name := range neighbours {
		if patient && !c.compared[name] && !c.silent[name] {
			return
		}
	}
	if patient && c.behind() {
		return
	}
	c.openDoors(ctx, neighbours)
}

// openDoors makes a starting daemon serve.
func (c *Cluster) openDoors(ctx context.Context, neighbours []string) {
	if !c.MembersOnly {
		c.learnHostLists(ctx, neighbours)
		c.collectHoldings(ctx)
	}
	c.Board.Serve()
	c.Record.Reach(blackboard.StageServing)
	c.Record.Log.Info("serving", "revision", c.Board.Settings.Current().Revision, "compared_with", len(c.compared))
}

// readItself tells whether this daemon has read the store of an open fleet, which never tells
// of anything older than a peer could: there is nothing to compare. The seeds may be the last
// to be back after a loss of power, and until then no neighbour is known.
func (c *Cluster) readItself() bool {
	if !c.open() {
		return false
	}
	read := false
	c.Board.Directory.View(func(t *hostlist.Table) { read = (t.HasFullRead() || t.HasFirstPage()) && !t.StoreWasRestored() })
	return read
}

// behind tells whether a peer has told of something newer that this daemon can still take.
func (c *Cluster) behind() bool {
	if c.told.revision > max(c.revision(), c.Board.Settings.Rejected().Revision) {
		return true
	}
	return c.open() && c.told.targets > c.Board.Directory.Revision()
}

// hostLists is a host list's history on the wire.
type hostLists struct {
	Lists []wireList `cbor:"1,keyasint"`
}

type wireList struct {
	Revision int64     `cbor:"1,keyasint"`
	Changed  time.Time `cbor:"2,keyasint"`
	Hosts    []string  `cbor:"3,keyasint"`
}

func (c *Cluster) serveHosts(_ context.Context, _ string, _ done) (hostLists, error) {
	lists, _ := c.Board.Members.HostLists()
	answer := hostLists{}
	for _, l := range lists {
		answer.Lists = append(answer.Lists, wireList{l.Revision, l.Published, l.Hosts})
	}
	return answer, nil
}

// learnHostLists asks one neighbour for the lists that were in force before this
// daemon started, which claims of older keys need.
func (c *Cluster) learnHostLists(ctx context.Context, neighbours []string) {
	for _, name := range neighbours {
		var answer hostLists
		if err := c.ask(ctx, name, peer.KindHosts, done{}, &answer, heartbeatTimeout); err != nil {
			continue
		}
		lists := make([]claim.HostList, 0, len(answer.Lists))
		for _, l := range answer.Lists {
			lists = append(lists, claim.HostList{Revision: l.Revision, Published: l.Changed, Hosts: l.Hosts})
		}
		c.Board.Members.AddHostLists(lists)
		return
	}
}
