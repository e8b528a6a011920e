package cluster

import (
	"context"
	"slices"
	"sync"
	"time"

	"doorstack.dev/core/claim"
	"doorstack.dev/core/membership"
	"doorstack.dev/core/settings"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/peer"
	"github.com/go-faster/errors"
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
	// Targets is the revision of the sender's newest fact of a target.
	Targets int64 `cbor:"7,keyasint,omitempty"`
}

// heartbeatNews tells the members' loop what a neighbour said.
type heartbeatNews struct {
	from     string
	revision int64
	targets  int64
}

// heardQueue bounds the news that wait for the loop.
const heardQueue = 64

// The pace and the bounds of the members' loop.
const (
	heartbeatTimeout = membership.HeartbeatEvery
	// newsEvery is the number of heartbeats between those that carry all news, to
	// repair rumors that got lost.
	newsEvery = 10
	// compareTimeout is how long a fresh daemon waits for neighbours that do not
	// answer, before it trusts what it read itself.
	compareTimeout = 5 * time.Second
	// fetchTimeout bounds the fetch of a revision from a peer, which may be a megabyte.
	// firstTimeout is the bound for a peer that has not failed lately: one that is
	// overloaded or cut off must not hold up the fetch from another, and news have to be in
	// force 2 s after they were published.
	fetchTimeout = 5 * time.Second
	firstTimeout = 600 * time.Millisecond
	// slowFor is how long a peer that did not answer a fetch is asked after all others.
	slowFor = 5 * time.Second
)

// Run keeps links, heartbeats and the settings of the neighbours in step.
func (c *Cluster) Run(ctx context.Context) {
	var work sync.WaitGroup
	if !c.MembersOnly {
		work.Go(func() { c.runShares(ctx) })
		work.Go(func() { c.runLeases(ctx) })
	}
	work.Go(func() { c.fetchLoop(ctx) })
	if c.open() {
		work.Go(func() { c.join(ctx) })
		work.Go(func() { c.Placements.run(ctx) })
	}
	ticker := time.NewTicker(membership.HeartbeatEvery)
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
			h.News = t.News()
		}
	})
	if c.open() {
		h.Targets = c.Board.Directory.Revision()
	}
	return h
}

func (c *Cluster) beatOne(ctx context.Context, name string, h heartbeat) {
	var answer heartbeat
	if err := c.ask(ctx, name, peer.KindHeartbeat, h, &answer, heartbeatTimeout); err != nil {
		return // Silence is what Tick looks for.
	}
	c.hear(ctx, name, answer)
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
		add(t.Heard(from, h.Started, h.Incarnation, h.Revision, time.Now()))
		if h.Leaving {
			add(t.Receive(membership.Rumor{Name: from, Incarnation: h.Incarnation, State: membership.Left}))
		}
		for _, r := range h.News {
			add(t.Receive(r))
		}
	})
	c.spread(ctx, rumors, from)
	c.reconcile(ctx, from, h.Digest)
	select {
	case c.heard <- heartbeatNews{from, h.Revision, h.Targets}:
	default: // The next heartbeat says it again.
	}
}

func (c *Cluster) serveRumors(ctx context.Context, from string, in []membership.Rumor) (done, error) {
	c.receive(ctx, in, from)
	return done{}, nil
}

// spread passes rumors on to all links but the one that they came from.
func (c *Cluster) spread(ctx context.Context, rumors []membership.Rumor, from string) {
	if len(rumors) == 0 {
		return
	}
	for _, r := range rumors {
		c.Record.Log.Info("membership", "member", r.Name, "state", r.State.String(), "incarnation", r.Incarnation)
		if r.State == membership.Alive && !c.MembersOnly {
			go c.joined(ctx, r.Name)
		}
	}
	linked := c.Hub.Linked()
	for _, name := range c.Board.Members.Links(time.Now()) {
		if name == from || !slices.Contains(linked, name) {
			continue
		}
		_ = c.Hub.Tell(ctx, c.address(name), peer.KindRumor, rumors)
	}
}

// settingsRequest asks for what changed after a revision.
type settingsRequest struct {
	Since int64 `cbor:"1,keyasint"`
}

func (c *Cluster) serveSettings(_ context.Context, _ string, in settingsRequest) (settings.Changes, error) {
	view := c.Board.Settings.Current()
	if view == nil {
		return settings.Changes{}, errors.New("there are no settings here yet")
	}
	return view.Snapshot.Since(in.Since), nil
}

// fetchLoop fetches newer settings from whoever has them, and opens the doors of
// a fresh daemon once it has compared with its neighbours.
func (c *Cluster) fetchLoop(ctx context.Context) {
	ticker := time.NewTicker(compareTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-c.heard:
			revision, targets := c.newest(h)
			c.catchUp(ctx, revision)
			c.catchUpTargets(ctx, targets)
		case <-ticker.C:
		}
		c.serveWhenCompared(ctx)
	}
}

// newest takes all news that wait, so that they cannot pile up while one of them is
// acted on, and returns those of the peers with the newest settings and targets. Peers
// that failed lately come last.
func (c *Cluster) newest(h heartbeatNews) (revision, targets heartbeatNews) {
	revision, targets = h, h
	now := time.Now()
	for {
		c.compared[h.from] = true
		if c.preferred(h, revision, now, h.revision, revision.revision, c.revision()) {
			revision = h
		}
		if c.preferred(h, targets, now, h.targets, targets.targets, c.Board.Directory.Revision()) {
			targets = h
		}
		select {
		case h = <-c.heard:
		default:
			return revision, targets
		}
	}
}

// preferred tells whether something is rather fetched from the sender of a than of b, by
// the revisions of it that both and this daemon have: from one that has answered and has
// something new, or else from the one with the newest.
func (c *Cluster) preferred(a, b heartbeatNews, now time.Time, ofA, ofB, own int64) bool {
	slowA, slowB := c.isSlow(a.from, now), c.isSlow(b.from, now)
	switch {
	case slowA && !slowB && ofB > own:
		return false
	case slowB && !slowA && ofA > own:
		return true
	}
	return ofA > ofB
}

// fetch asks a peer for what it has and this daemon has not, and notes whether it answers.
func (c *Cluster) fetch(ctx context.Context, from string, kind peer.Kind, in, out any) error {
	timeout := firstTimeout
	if c.isSlow(from, time.Now()) {
		timeout = fetchTimeout
	}
	err := c.ask(ctx, from, kind, in, out, timeout)
	if err != nil {
		c.slowUntil[from] = time.Now().Add(slowFor)
	}
	return err
}

// isSlow tells whether a peer did not answer a fetch lately.
func (c *Cluster) isSlow(name string, now time.Time) bool { return now.Before(c.slowUntil[name]) }

// revision is the settings revision in force, zero before the first.
func (c *Cluster) revision() int64 {
	if view := c.Board.Settings.Current(); view != nil {
		return view.Revision
	}
	return 0
}

// compareTick is how often a fresh daemon looks whether it may serve.
const compareTick = 50 * time.Millisecond

func (c *Cluster) catchUp(ctx context.Context, h heartbeatNews) {
	own := c.revision()
	if h.revision <= own || h.revision == c.Board.Settings.Rejected().Revision {
		return
	}
	if c.open() && own > 0 {
		c.leadToWatch(ctx)
		if own = c.revision(); h.revision <= own {
			return
		}
	}
	var changes settings.Changes
	if err := c.fetch(ctx, h.from, peer.KindSettings, settingsRequest{Since: own}, &changes); err != nil {
		c.Record.Log.Warn("settings could not be fetched from a peer", "peer", h.from, "revision", h.revision, "error", err.Error())
		return
	}
	if err := c.Settings.Offer(changes, "peer "+h.from); err != nil && !errors.Is(err, settings.ErrOlder) {
		c.Record.Log.Warn("settings of a peer were not adopted", "peer", h.from, "revision", h.revision, "error", err.Error())
	}
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
	var neighbours []string
	c.Board.Members.View(func(t *membership.Table) { neighbours = slices.Clone(t.NeighbourNames()) })
	patient := time.Since(c.started) < compareTimeout
	if c.open() && len(neighbours) == 0 && !c.searched.Load() && patient {
		return // Nobody has been found yet to compare with.
	}
	for _, name := range neighbours {
		if !c.compared[name] && patient {
			return
		}
	}
	if !c.MembersOnly {
		c.learnHostLists(ctx, neighbours)
		c.collectHoldings(ctx)
	}
	c.Board.Serve()
	c.Record.Log.Info("serving", "revision", c.Board.Settings.Current().Revision, "compared_with", len(c.compared))
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
		answer.Lists = append(answer.Lists, wireList{l.Revision, l.Changed, l.Hosts})
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
		lists := make([]claim.List, 0, len(answer.Lists))
		for _, l := range answer.Lists {
			lists = append(lists, claim.List{Revision: l.Revision, Changed: l.Changed, Hosts: l.Hosts})
		}
		c.Board.Members.AddHostLists(lists)
		return
	}
}
