package cluster

import (
	"context"
	"slices"
	"sync"
	"time"

	"doorstack.dev/core/claim"
	"doorstack.dev/core/hostlist"
	"doorstack.dev/core/membership"
	"doorstack.dev/core/watch"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/peer"
)

// heartbeat is sent over each link once a second and answered by the receiver's own
// heartbeat. A daemon also sends heartbeats to the peers that recently sent it some, so both
// ends of a link send them.
type heartbeat struct {
	Incarnation int64 `cbor:"1,keyasint"`
	// SettingsRevision is the settings revision in force.
	SettingsRevision int64 `cbor:"2,keyasint"`
	// Rumors is what the sender knows of the fleet's members, on some heartbeats.
	Rumors []membership.Rumor `cbor:"3,keyasint,omitempty"`
	// Leaving reports that the sender is draining.
	Leaving bool `cbor:"4,keyasint,omitempty"`
	// StartIncarnation is the incarnation with which the sender's process started.
	StartIncarnation int64 `cbor:"5,keyasint,omitempty"`
	// MembersDigest is a digest of the members of an open fleet that are alive, as the
	// sender knows them.
	MembersDigest uint64 `cbor:"6,keyasint,omitempty"`
	// TargetsPosition is the position up to which the sender knows all updates of targets.
	// Field 7 held plain revisions, which cannot be compared with positions.
	TargetsPosition hostlist.Position `cbor:"9,keyasint,omitempty"`
	// VerdictsDigest is a digest of the sender's verdicts on requests that crash targets.
	VerdictsDigest uint64 `cbor:"8,keyasint,omitempty"`
	// WatcherReadAge and ReadAge are how long ago a daemon that watches the store, and any daemon, is known to have
	// read it; zero if no read is known. ReadsFail reports that the sender's own reads fail.
	WatcherReadAge time.Duration `cbor:"10,keyasint,omitempty"`
	ReadAge        time.Duration `cbor:"11,keyasint,omitempty"`
	ReadsFail      bool          `cbor:"12,keyasint,omitempty"`
}

func (h *heartbeat) storeReads() watch.ReadAges {
	return watch.ReadAges{Watcher: h.WatcherReadAge, Any: h.ReadAge, Fails: h.ReadsFail}
}

// Intervals and timeouts of the heartbeat loop.
const (
	heartbeatTimeout = membership.HeartbeatInterval
	// heartbeatsPerSync is the number of heartbeats from one that carries all rumors to the
	// next; this repairs rumors that were lost.
	heartbeatsPerSync = 10
	// compareTimeout is how long a starting daemon waits for neighbours that do not answer
	// before it serves with the settings and targets that it has read itself.
	compareTimeout = 5 * time.Second
	// A neighbour that has not answered a heartbeat within unansweredRoundTrips times the time in which it
	// answers as a rule, but at least minUnansweredTime, counts as not answering. A host that is short of
	// processor time answers that late now and then. Added to the interval between heartbeats, the
	// maximum leaves half a second of 2 s for reading the store and passing on what has changed.
	unansweredRoundTrips = 2
	minUnansweredTime    = membership.HeartbeatInterval / 4
	maxUnansweredTime    = membership.HeartbeatInterval / 2
)

// Run sends heartbeats, renews leases and fetches newer settings and targets from peers
// until ctx ends.
func (c *Cluster) Run(ctx context.Context) {
	var work sync.WaitGroup
	if !c.DisableLeases {
		work.Go(func() { c.runShares(ctx) })
		work.Go(func() { c.runMissingHoldings(ctx) })
		work.Go(func() { c.runLeases(ctx) })
	}
	work.Go(func() { c.processReports(ctx) })
	work.Go(func() { c.settingsFetcher.run(ctx) })
	work.Go(func() { c.targetsFetcher.run(ctx) })
	if c.openFleet() {
		work.Go(func() { c.join(ctx) })
		work.Go(func() { c.Placer.run(ctx) })
		work.Go(func() { c.Placer.links.maintain(ctx) })
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

// HeartbeatNow sends heartbeats without waiting for the next interval, since this daemon's
// state changed.
func (c *Cluster) HeartbeatNow() {
	c.Placer.links.wakeUp()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// sendHeartbeats sends a heartbeat over each link and looks for silent neighbours.
func (c *Cluster) sendHeartbeats(ctx context.Context, withRumors bool) {
	now := time.Now()
	h := c.newHeartbeat(withRumors)
	for _, name := range c.Board.Members.GossipPeers(now) {
		if c.Board.Members.Address(name) == "" {
			continue
		}
		go c.sendHeartbeat(ctx, name, h)
	}
	var rumors []membership.Rumor
	late := now.Sub(c.lastBeat) - membership.HeartbeatInterval
	c.Board.Members.WithLock(func(t *membership.Table) {
		if late > 0 && !c.lastBeat.IsZero() {
			t.ExcludePause(late, now)
		}
		rumors = t.Tick(now)
	})
	c.lastBeat = now
	c.spreadRumors(ctx, rumors, "")
	links := c.Board.Members.GossipPeers(now)
	if c.openFleet() {
		links = append(links, c.Placer.links.wantedPeers()...)
	}
	c.Hub.CloseIdle(func(name string) bool { return slices.Contains(links, name) })
	if !c.DisableLeases {
		c.Board.Claims.Counts(now) // Removes expired keys.
	}
}

// newHeartbeat returns this daemon's heartbeat. In an open fleet it carries a digest of the
// members; otherwise it carries all rumors if withRumors is set.
func (c *Cluster) newHeartbeat(withRumors bool) heartbeat {
	h := heartbeat{Leaving: c.Board.Phase() == blackboard.Draining, StartIncarnation: c.Board.Self.Incarnation, SettingsRevision: c.revision()}
	c.Board.Members.WithLock(func(t *membership.Table) {
		if h.Leaving {
			t.Leave()
		}
		h.Incarnation = t.Incarnation()
		if c.openFleet() {
			h.MembersDigest = t.Digest()
		} else if withRumors {
			h.Rumors = t.SyncRumors()
		}
	})
	if c.openFleet() {
		h.TargetsPosition = c.Board.Directory.Revision()
	}
	now := time.Now()
	h.VerdictsDigest = c.Board.Poison.Digest(now)
	reads := c.Board.StoreReadAges(now)
	h.WatcherReadAge, h.ReadAge, h.ReadsFail = reads.Watcher, reads.Any, reads.Fails
	return h
}

// sendHeartbeat sends a heartbeat to one neighbour and handles the answer.
func (c *Cluster) sendHeartbeat(ctx context.Context, name string, h heartbeat) {
	var answer heartbeat
	sent := time.Now()
	late := time.AfterFunc(c.unansweredTime(name), func() {
		if c.recordUnanswered(ctx, name) && c.Hub.Renew(ctx, c.address(name), sent) {
			c.sendHeartbeat(ctx, name, c.newHeartbeat(false))
		}
	})
	err := c.call(ctx, name, peer.KindHeartbeat, h, &answer, heartbeatTimeout)
	late.Stop()
	if err != nil {
		c.recordUnanswered(ctx, name)
		c.recordNoAnswer(name) // Tick detects silent members.
		return
	}
	c.Board.StoreReads.WithCoverage(time.Now(), func(coverage *watch.Coverage) { coverage.RecordAnswer(name, sent, answer.storeReads()) })
	c.receiveHeartbeat(ctx, name, answer)
}

// unansweredTime returns the time after which a heartbeat to a neighbour counts as not answered.
func (c *Cluster) unansweredTime(name string) time.Duration {
	return min(max(unansweredRoundTrips*c.Placer.links.timeout(name), minUnansweredTime), maxUnansweredTime)
}

// recordUnanswered records that a neighbour does not answer, so that this daemon may not learn of changes through
// it. It reports whether the neighbour should be running.
func (c *Cluster) recordUnanswered(ctx context.Context, name string) bool {
	expected := false
	c.Board.Members.WithLock(func(t *membership.Table) {
		m, known := t.Member(name)
		expected = known && m.State == membership.Alive
	})
	if !expected || ctx.Err() != nil {
		return false
	}
	now := time.Now()
	c.Board.StoreReads.WithCoverage(now, func(coverage *watch.Coverage) { coverage.RecordUnanswered(name, now) })
	return true
}

// recordNoAnswer lets a starting daemon of an open fleet stop waiting for a neighbour. The
// platform's store is never behind what a silent neighbour could report. After a loss of
// power of several hosts, waiting for those that are still down would delay the start by
// compareTimeout.
func (c *Cluster) recordNoAnswer(name string) {
	if !c.openFleet() || c.Board.Phase() != blackboard.Starting {
		return
	}
	select {
	case c.reports <- heartbeatReport{from: name, noAnswer: true}:
	default: // The next heartbeat repeats the report.
	}
}

func (c *Cluster) serveHeartbeat(ctx context.Context, from string, in heartbeat) (heartbeat, error) {
	c.Board.Members.RecordHeartbeat(from, time.Now())
	c.receiveHeartbeat(ctx, from, in)
	return c.newHeartbeat(len(in.Rumors) > 0), nil
}

// receiveHeartbeat handles a heartbeat or the answer to one.
func (c *Cluster) receiveHeartbeat(ctx context.Context, from string, h heartbeat) {
	var rumors []membership.Rumor
	add := func(r membership.Rumor, isNew bool) {
		if isNew {
			rumors = append(rumors, r)
		}
	}
	c.Board.Members.WithLock(func(t *membership.Table) {
		add(t.RecordHeartbeat(from, h.StartIncarnation, h.Incarnation, h.SettingsRevision, time.Now()))
		if h.Leaving {
			add(t.Receive(membership.Rumor{Name: from, Incarnation: h.Incarnation, State: membership.Left}))
		}
		for _, r := range h.Rumors {
			add(t.Receive(r))
		}
	})
	c.Recorder.MarkStage(blackboard.StagePeer)
	now := time.Now()
	c.Board.StoreReads.WithCoverage(now, func(coverage *watch.Coverage) { coverage.RecordReport(from, h.storeReads(), now) })
	c.spreadRumors(ctx, rumors, from)
	c.reconcile(ctx, from, h.MembersDigest)
	c.syncVerdicts(from, h.VerdictsDigest)
	select {
	case c.reports <- heartbeatReport{from: from, revision: h.SettingsRevision, targets: h.TargetsPosition}:
	default: // The next heartbeat repeats the report.
	}
}

func (c *Cluster) serveRumors(ctx context.Context, from string, in []membership.Rumor) (empty, error) {
	c.receiveRumors(ctx, in, from)
	return empty{}, nil
}

// contactNewNeighbours sends a heartbeat to each neighbour that a starting daemon has just
// learned of. Where all daemons start together the neighbours change with each daemon that
// becomes known, and waiting for the next heartbeat would delay the start until the last of
// them.
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
	c.Board.Members.WithLock(func(t *membership.Table) { names = slices.Clone(t.NeighbourNames()) })
	return names
}

// startIfCompared makes a starting daemon serve once every neighbour has reported its
// revision or has been silent for long enough.
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
	mayWait := time.Since(c.started) < compareTimeout
	if c.openFleet() && len(neighbours) == 0 && !c.seedsAnswered.Load() && mayWait {
		return // No neighbour is known yet to compare with.
	}
	for _, name := range neighbours {
		if mayWait && !c.compared[name] && !c.unresponsive[name] {
			return
		}
	}
	if mayWait && c.behindPeers() {
		return
	}
	c.startServing(ctx, neighbours)
}

// startServing makes a starting daemon serve.
func (c *Cluster) startServing(ctx context.Context, neighbours []string) {
	if !c.DisableLeases {
		c.fetchHostLists(ctx, neighbours)
		c.collectHoldings(ctx)
	}
	c.Board.Serve()
	c.Recorder.MarkStage(blackboard.StageServing)
	c.Recorder.Log.Info("serving", "revision", c.Board.Settings.Current().Revision, "compared_with", len(c.compared))
}

// hasReadStore reports whether this daemon has read the store of an open fleet. The store
// is never behind a peer, so there is nothing to compare. After a loss of power the seeds
// may be the last to return, and until then no neighbour is known.
func (c *Cluster) hasReadStore() bool {
	if !c.openFleet() {
		return false
	}
	read := false
	c.Board.Directory.WithLock(func(t *hostlist.Table) { read = (t.HasFullRead() || t.HasFirstPage()) && !t.StoreWasRestored() })
	return read
}

// behindPeers reports whether a peer has reported something newer that this daemon can
// still apply.
func (c *Cluster) behindPeers() bool {
	if c.newestReported.revision > max(c.revision(), c.rejectedFromPeer.Load()) {
		return true
	}
	return c.openFleet() && c.newestReported.targets > c.Board.Directory.Revision()
}

// hostLists is the history of the host list, in wire form.
type hostLists struct {
	Lists []hostListRecord `cbor:"1,keyasint"`
}

// hostListRecord is one version of the host list, in wire form.
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

// fetchHostLists asks one neighbour for the host lists that were in force before this
// daemon started. They are needed for claims of keys created then.
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
