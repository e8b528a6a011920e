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
	SettingsRevision int64 `cbor:"2,keyasint"`
	// News is what the sender knows of the fleet, on some heartbeats.
	Rumors []membership.Rumor `cbor:"3,keyasint,omitempty"`
	// Leaving says that the sender drains.
	Leaving bool `cbor:"4,keyasint,omitempty"`
	// Started is the incarnation that the sender's process began with.
	StartIncarnation int64 `cbor:"5,keyasint,omitempty"`
	// Digest identifies who is alive in an open fleet, as the sender knows it.
	MembersDigest uint64 `cbor:"6,keyasint,omitempty"`
	// Targets is the position up to which the sender knows all facts of targets. Field 7 held
	// bare revisions, which do not compare with positions.
	TargetsPosition hostlist.Position `cbor:"9,keyasint,omitempty"`
	// Verdicts identifies what the sender holds of requests that end their targets.
	VerdictsDigest uint64 `cbor:"8,keyasint,omitempty"`
}

// The pace and the bounds of the members' loop.
const (
	heartbeatTimeout = membership.HeartbeatInterval
	// heartbeatsPerSync is the number of heartbeats between those that carry all news, to
	// repair rumors that got lost.
	heartbeatsPerSync = 10
	// compareTimeout is how long a fresh daemon waits for neighbours that do not
	// answer, before it trusts what it read itself.
	compareTimeout = 5 * time.Second
)

// Run keeps links, heartbeats and the settings of the neighbours in step.
func (c *Cluster) Run(ctx context.Context) {
	var work sync.WaitGroup
	if !c.DisableLeases {
		work.Go(func() { c.runShares(ctx) })
		work.Go(func() { c.runLeases(ctx) })
	}
	work.Go(func() { c.processReports(ctx) })
	work.Go(func() { c.settingsFetcher.run(ctx) })
	work.Go(func() { c.targetsFetcher.run(ctx) })
	if c.openFleet() {
		work.Go(func() { c.join(ctx) })
		work.Go(func() { c.Placer.run(ctx) })
	}
	ticker := time.NewTicker(membership.HeartbeatInterval)
	defer ticker.Stop()
	for beat := 0; ctx.Err() == nil; beat++ {
		c.sendHeartbeats(ctx, beat%heartbeatsPerSync == 0)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-c.wake:
		}
	}
	work.Wait()
}

// Poke sends a heartbeat now, because there is something new to say.
func (c *Cluster) HeartbeatNow() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// beat sends one heartbeat to each link and looks for silent neighbours.
func (c *Cluster) sendHeartbeats(ctx context.Context, withNews bool) {
	now := time.Now()
	h := c.newHeartbeat(withNews)
	for _, name := range c.Board.Members.Links(now) {
		if c.Board.Members.Address(name) == "" {
			continue
		}
		go c.sendHeartbeat(ctx, name, h)
	}
	var rumors []membership.Rumor
	c.Board.Members.View(func(t *membership.Table) { rumors = t.Tick(now) })
	c.spreadRumors(ctx, rumors, "")
	links := c.Board.Members.Links(now)
	c.Hub.CloseIdle(func(name string) bool { return slices.Contains(links, name) })
	if !c.DisableLeases {
		c.Board.Claims.Counts(now)
	}
}

func (c *Cluster) newHeartbeat(withNews bool) heartbeat {
	h := heartbeat{Leaving: c.Board.Phase() == blackboard.Draining, StartIncarnation: c.Board.Self.Incarnation, SettingsRevision: c.revision()}
	c.Board.Members.View(func(t *membership.Table) {
		if h.Leaving {
			t.Leave()
		}
		h.Incarnation = t.Incarnation()
		if c.openFleet() {
			h.MembersDigest = t.Digest()
		} else if withNews {
			h.Rumors = t.SyncRumors()
		}
	})
	if c.openFleet() {
		h.TargetsPosition = c.Board.Directory.Revision()
	}
	h.VerdictsDigest = c.Board.Poison.Digest(time.Now())
	return h
}

func (c *Cluster) sendHeartbeat(ctx context.Context, name string, h heartbeat) {
	var answer heartbeat
	if err := c.call(ctx, name, peer.KindHeartbeat, h, &answer, heartbeatTimeout); err != nil {
		c.recordNoAnswer(name) // Silence is what Tick looks for.
		return
	}
	c.receiveHeartbeat(ctx, name, answer)
}

// unanswered tells a fresh daemon of an open fleet that it need not wait for a neighbour: what
// the store says is never older than what a silent neighbour could tell, and hosts that lost
// power together with this one would hold it up for compareTimeout.
func (c *Cluster) recordNoAnswer(name string) {
	if !c.openFleet() || c.Board.Phase() != blackboard.Starting {
		return
	}
	select {
	case c.reports <- heartbeatReport{from: name, noAnswer: true}:
	default: // The next heartbeat says it again.
	}
}

func (c *Cluster) serveHeartbeat(ctx context.Context, from string, in heartbeat) (heartbeat, error) {
	c.Board.Members.Partner(from, time.Now())
	c.receiveHeartbeat(ctx, from, in)
	return c.newHeartbeat(len(in.Rumors) > 0), nil
}

// hear takes a heartbeat in.
func (c *Cluster) receiveHeartbeat(ctx context.Context, from string, h heartbeat) {
	var rumors []membership.Rumor
	add := func(r membership.Rumor, news bool) {
		if news {
			rumors = append(rumors, r)
		}
	}
	c.Board.Members.View(func(t *membership.Table) {
		add(t.RecordHeartbeat(from, h.StartIncarnation, h.Incarnation, h.SettingsRevision, time.Now()))
		if h.Leaving {
			add(t.Receive(membership.Rumor{Name: from, Incarnation: h.Incarnation, State: membership.Left}))
		}
		for _, r := range h.Rumors {
			add(t.Receive(r))
		}
	})
	c.Recorder.Reach(blackboard.StagePeer)
	c.spreadRumors(ctx, rumors, from)
	c.reconcile(ctx, from, h.MembersDigest)
	c.syncVerdicts(from, h.VerdictsDigest)
	select {
	case c.reports <- heartbeatReport{from: from, revision: h.SettingsRevision, targets: h.TargetsPosition}:
	default: // The next heartbeat says it again.
	}
}

func (c *Cluster) serveRumors(ctx context.Context, from string, in []membership.Rumor) (empty, error) {
	c.receiveRumors(ctx, in, from)
	return empty{}, nil
}

// compareWithNew asks neighbours that a fresh daemon has just come to know, rather than at
// the next heartbeat: where all daemons start at once its neighbours change with each that it
// hears of, and it would wait for the last of them.
func (c *Cluster) contactNewNeighbours(ctx context.Context) {
	if c.Board.Phase() != blackboard.Starting {
		return
	}
	for _, name := range c.neighbours() {
		if c.compared[name] || c.heartbeatSent[name] {
			continue
		}
		c.heartbeatSent[name] = true
		go c.sendHeartbeat(ctx, name, c.newHeartbeat(false))
	}
}

func (c *Cluster) neighbours() (names []string) {
	c.Board.Members.View(func(t *membership.Table) { names = slices.Clone(t.NeighbourNames()) })
	return names
}

// serveWhenCompared opens the doors once every neighbour has told its revision,
// or has been silent for long enough.
func (c *Cluster) startIfCompared(ctx context.Context) {
	if c.Board.Phase() != blackboard.Starting || c.Board.Settings.Current() == nil {
		return
	}
	if _, read := c.Board.Members.Hosts(); read.IsZero() {
		return
	}
	neighbours := c.neighbours()
	if c.hasReadStore() {
		c.startServing(ctx, neighbours)
		return
	}
	patient := time.Since(c.started) < compareTimeout
	if c.openFleet() && len(neighbours) == 0 && !c.seedsAnswered.Load() && patient {
		return // Nobody has been found yet to compare with.
	}
	for _, name := range neighbours {
		if patient && !c.compared[name] && !c.unresponsive[name] {
			return
		}
	}
	if patient && c.behindPeers() {
		return
	}
	c.startServing(ctx, neighbours)
}

// openDoors makes a starting daemon serve.
func (c *Cluster) startServing(ctx context.Context, neighbours []string) {
	if !c.DisableLeases {
		c.fetchHostLists(ctx, neighbours)
		c.collectHoldings(ctx)
	}
	c.Board.Serve()
	c.Recorder.Reach(blackboard.StageServing)
	c.Recorder.Log.Info("serving", "revision", c.Board.Settings.Current().Revision, "compared_with", len(c.compared))
}

// readItself tells whether this daemon has read the store of an open fleet, which never tells
// of anything older than a peer could: there is nothing to compare. The seeds may be the last
// to be back after a loss of power, and until then no neighbour is known.
func (c *Cluster) hasReadStore() bool {
	if !c.openFleet() {
		return false
	}
	read := false
	c.Board.Directory.View(func(t *hostlist.Table) { read = (t.HasFullRead() || t.HasFirstPage()) && !t.StoreWasRestored() })
	return read
}

// behind tells whether a peer has told of something newer that this daemon can still take.
func (c *Cluster) behindPeers() bool {
	if c.newestReported.revision > max(c.revision(), c.Board.Settings.Rejected().Revision) {
		return true
	}
	return c.openFleet() && c.newestReported.targets > c.Board.Directory.Revision()
}

// hostLists is a host list's history on the wire.
type hostLists struct {
	Lists []hostListRecord `cbor:"1,keyasint"`
}

type hostListRecord struct {
	Revision  int64     `cbor:"1,keyasint"`
	Published time.Time `cbor:"2,keyasint"`
	Hosts     []string  `cbor:"3,keyasint"`
}

func (c *Cluster) serveHosts(_ context.Context, _ string, _ empty) (hostLists, error) {
	lists, _ := c.Board.Members.HostLists()
	answer := hostLists{}
	for _, l := range lists {
		answer.Lists = append(answer.Lists, hostListRecord{l.Revision, l.Published, l.Hosts})
	}
	return answer, nil
}

// learnHostLists asks one neighbour for the lists that were in force before this
// daemon started, which claims of older keys need.
func (c *Cluster) fetchHostLists(ctx context.Context, neighbours []string) {
	for _, name := range neighbours {
		var answer hostLists
		if err := c.call(ctx, name, peer.KindHosts, empty{}, &answer, heartbeatTimeout); err != nil {
			continue
		}
		lists := make([]claim.HostList, 0, len(answer.Lists))
		for _, l := range answer.Lists {
			lists = append(lists, claim.HostList{Revision: l.Revision, Published: l.Published, Hosts: l.Hosts})
		}
		c.Board.Members.AddHostLists(lists)
		return
	}
}
