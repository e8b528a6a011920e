package cluster

import (
	"context"
	"time"

	"doorstack.dev/core/hostlist"
	"doorstack.dev/node/controller"
	"doorstack.dev/node/peer"
)

// Heartbeats tell how new the settings and the targets are that a daemon knows. Whoever
// knows older ones fetches them from the sender.

const (
	// fetchTimeout bounds the fetch of news from a peer. fetchIdleTimeout is how long nothing may
	// come from a peer that has not failed lately: one that is overloaded or cut off must not
	// hold up the fetch from another, and news have to be in force 2 s after they were
	// published. An answer on its way is waited for, since given up it would be sent in vain.
	fetchTimeout     = 5 * time.Second
	fetchIdleTimeout = 600 * time.Millisecond
	// slowPeerPenalty is how long a peer that did not answer a fetch is asked after all others.
	slowPeerPenalty = 5 * time.Second
	// maxQueuedReports bounds the news that wait for a loop.
	maxQueuedReports = 64
)

// heartbeatReport tells what a peer's heartbeat said.
type heartbeatReport struct {
	from     string
	revision int64
	targets  hostlist.Position
	// silent is true where the peer did not answer.
	noAnswer bool
}

// compareLoop opens the doors of a fresh daemon once it has compared with its neighbours, and
// hands what heartbeats say to the followers.
func (c *Cluster) processReports(ctx context.Context) {
	ticker := time.NewTicker(startCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-c.reports:
			if h.noAnswer {
				c.unresponsive[h.from] = true
				break
			}
			c.compared[h.from] = true
			c.newestReported.revision, c.newestReported.targets = max(c.newestReported.revision, h.revision), max(c.newestReported.targets, h.targets)
			c.settingsFetcher.enqueue(h)
			c.targetsFetcher.enqueue(h)
		case <-ticker.C:
		}
		c.contactNewNeighbours(ctx)
		c.startIfCompared(ctx)
	}
}

// startCheckInterval is how often a fresh daemon looks whether it may serve.
const startCheckInterval = 50 * time.Millisecond

// fetcher fetches one kind of news from whoever has newer than this daemon. Settings and
// facts of targets have one each: a target's leaving must not wait behind a fetch of large
// settings.
type fetcher struct {
	cluster *Cluster
	// of is how new a peer's are, own how new this daemon's.
	reported func(heartbeatReport) int64
	own      func() int64
	// catchUp fetches from a peer.
	update func(ctx context.Context, h heartbeatReport)

	reports chan heartbeatReport
	// slowUntil is until when peers that did not answer a fetch are asked last.
	slowUntil map[string]time.Time
}

func (c *Cluster) newFetcher(of func(heartbeatReport) int64, own func() int64, catchUp func(context.Context, heartbeatReport)) *fetcher {
	return &fetcher{cluster: c, reported: of, own: own, update: catchUp, reports: make(chan heartbeatReport, maxQueuedReports), slowUntil: map[string]time.Time{}}
}

// tell passes on what a peer said, if it is news.
func (f *fetcher) enqueue(h heartbeatReport) {
	if f.reported(h) <= f.own() {
		return
	}
	select {
	case f.reports <- h:
	default: // The next heartbeat says it again.
	}
}

// run fetches until ctx ends.
func (f *fetcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-f.reports:
			f.update(ctx, f.takeBest(h))
		}
	}
}

// newest takes all news that wait, so that they cannot pile up while one of them is
// acted on, and returns the newest. Peers that failed lately come last.
func (f *fetcher) takeBest(best heartbeatReport) heartbeatReport {
	now := time.Now()
	for {
		select {
		case h := <-f.reports:
			if f.candidateOf(h, now).preferredTo(f.candidateOf(best, now), f.own()) {
				best = h
			}
		default:
			return best
		}
	}
}

func (f *fetcher) candidateOf(h heartbeatReport, now time.Time) candidate {
	return candidate{f.isSlow(h.from, now), f.reported(h)}
}

// candidate is what a peer has that this daemon may fetch.
type candidate struct {
	// slow is true for a peer that did not answer a fetch lately.
	slow     bool
	revision int64
}

// over tells whether an offer is taken rather than another, where this daemon has a revision
// of its own: that of a peer that answers if it is new, or else the newest.
func (o candidate) preferredTo(other candidate, own int64) bool {
	switch {
	case o.slow && !other.slow && other.revision > own:
		return false
	case other.slow && !o.slow && o.revision > own:
		return true
	}
	return o.revision > other.revision
}

// fetch asks a peer for what it has and this daemon has not, and notes whether it answers.
func (f *fetcher) fetch(ctx context.Context, from string, kind peer.Kind, in, out any) error {
	silence := fetchIdleTimeout
	if f.isSlow(from, time.Now()) {
		silence = fetchTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	err := f.cluster.Hub.CallWithIdleTimeout(ctx, f.cluster.address(from), kind, in, out, silence)
	if err != nil {
		f.slowUntil[from] = time.Now().Add(slowPeerPenalty)
	}
	return err
}

// isSlow tells whether a peer did not answer a fetch lately.
func (f *fetcher) isSlow(name string, now time.Time) bool { return now.Before(f.slowUntil[name]) }

// watchHeadStart is how long a daemon leaves its own watch of the store to bring what a
// peer knows already: both hear of a change within some milliseconds, and fetching it
// from the peer as well would double the bytes between data centres.
const watchHeadStart = 100 * time.Millisecond

// leadToWatch waits for this daemon's own watch, if it has one.
func (c *Cluster) waitForWatch(ctx context.Context) {
	if c.Settings.ShouldWatch() {
		controller.Sleep(ctx, watchHeadStart)
	}
}
