package cluster

import (
	"context"
	"time"

	"doorstack.dev/core/hostlist"
	"doorstack.dev/core/settings"
	"doorstack.dev/node/controller"
	"doorstack.dev/node/peer"
	"github.com/go-faster/errors"
)

// Heartbeats tell how new the settings and the targets are that a daemon knows. Whoever
// knows older ones fetches them from the sender.

const (
	// fetchTimeout bounds the fetch of a revision from a peer, which may be a megabyte.
	// firstTimeout is the bound for a peer that has not failed lately: one that is
	// overloaded or cut off must not hold up the fetch from another, and news have to be in
	// force 2 s after they were published.
	fetchTimeout = 5 * time.Second
	firstTimeout = 600 * time.Millisecond
	// slowFor is how long a peer that did not answer a fetch is asked after all others.
	slowFor = 5 * time.Second
)

// heartbeatNews tells the members' loop what a neighbour said.
type heartbeatNews struct {
	from     string
	revision int64
	targets  int64
}

// heardQueue bounds the news that wait for the loop.
const heardQueue = 64

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
		slow, slowRevision, slowTargets := c.isSlow(h.from, now), c.isSlow(revision.from, now), c.isSlow(targets.from, now)
		if (offer{slow, h.revision}).over(offer{slowRevision, revision.revision}, c.revision()) {
			revision = h
		}
		if (offer{slow, h.targets}).over(offer{slowTargets, targets.targets}, c.Board.Directory.Revision()) {
			targets = h
		}
		select {
		case h = <-c.heard:
		default:
			return revision, targets
		}
	}
}

// offer is what a peer has that this daemon may fetch.
type offer struct {
	// slow is true for a peer that did not answer a fetch lately.
	slow     bool
	revision int64
}

// over tells whether an offer is taken rather than another, where this daemon has a revision
// of its own: that of a peer that answers if it is new, or else the newest.
func (o offer) over(other offer, own int64) bool {
	switch {
	case o.slow && !other.slow && other.revision > own:
		return false
	case other.slow && !o.slow && o.revision > own:
		return true
	}
	return o.revision > other.revision
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
	began := time.Now()
	var changes settings.Changes
	if err := c.fetch(ctx, h.from, peer.KindSettings, settingsRequest{Since: own}, &changes); err != nil {
		c.Record.Log.Warn("settings could not be fetched from a peer", "peer", h.from, "revision", h.revision, "error", err.Error())
		return
	}
	c.Record.Log.Info("settings were fetched", "peer", h.from, "revision", changes.Revision, "since", changes.Since, "bytes", sizeOf(changes), "took_ms", time.Since(began).Milliseconds())
	if err := c.Settings.Offer(changes, "peer "+h.from); err != nil && !errors.Is(err, settings.ErrOlder) {
		c.Record.Log.Warn("settings of a peer were not adopted", "peer", h.from, "revision", h.revision, "error", err.Error())
	}
}

// sizeOf is the size of the parts that changes bring, in bytes.
func sizeOf(changes settings.Changes) int {
	size := 0
	for _, part := range changes.Parts {
		size += len(part.Data)
	}
	return size
}

// targetsRequest asks for the facts of targets above a revision.
type targetsRequest struct {
	Since int64 `cbor:"1,keyasint"`
}

func (c *Cluster) serveTargets(_ context.Context, _ string, in targetsRequest) (hostlist.Facts, error) {
	return c.Board.Directory.Since(in.Since), nil
}

// watchLead is how long a daemon leaves its own watch of the store to bring what a
// peer knows already: both hear of a change within some milliseconds, and fetching it
// from the peer as well would double the bytes between data centres.
const watchLead = 100 * time.Millisecond

// leadToWatch waits for this daemon's own watch, if it has one.
func (c *Cluster) leadToWatch(ctx context.Context) {
	if c.Settings.Watches() {
		controller.Sleep(ctx, watchLead)
	}
}

// catchUpTargets fetches what a peer knows of targets and this daemon does not.
func (c *Cluster) catchUpTargets(ctx context.Context, h heartbeatNews) {
	if !c.open() || h.targets <= c.Board.Directory.Revision() {
		return
	}
	c.leadToWatch(ctx)
	own := c.Board.Directory.Revision()
	if h.targets <= own {
		return
	}
	var facts hostlist.Facts
	if err := c.fetch(ctx, h.from, peer.KindTargets, targetsRequest{Since: own}, &facts); err != nil {
		c.Record.Log.Warn("targets could not be fetched from a peer", "peer", h.from, "revision", h.targets, "error", err.Error())
		return
	}
	c.Directory.MergeFrom(h.from, facts)
}
