package cluster

import (
	"context"
	"maps"
	"slices"
	"time"

	"doorstack.dev/core/hostlist"
	"doorstack.dev/node/controller"
	"doorstack.dev/node/peer"
)

// Heartbeats report how recent a daemon's settings and targets are. A daemon with older
// ones fetches the difference from the sender.

const (
	// fetchTimeout bounds a fetch from a peer. fetchIdleTimeout ends it earlier if nothing
	// arrives for so long, unless a fetch from the peer failed within the last slowPeerPenalty:
	// an overloaded or unreachable peer must not delay the fetch from another one, since
	// settings have to be in force 2 s after their publication. As long as parts of an answer
	// arrive the fetch goes on, since the bytes already sent would be wasted otherwise.
	fetchTimeout     = 5 * time.Second
	fetchIdleTimeout = 600 * time.Millisecond
	// slowPeerPenalty is how long a peer that did not answer a fetch ranks behind all
	// others.
	slowPeerPenalty = 5 * time.Second
	// maxQueuedReports bounds the reports queued for processReports, and for each fetcher.
	maxQueuedReports = 64
)

// heartbeatReport is what a peer's heartbeat reported.
type heartbeatReport struct {
	from     string
	revision int64
	targets  hostlist.Position
	// noAnswer is true where the peer did not answer a heartbeat.
	noAnswer bool
}

// processReports makes a starting daemon serve once it has compared its state with its
// neighbours', and passes heartbeat reports to the fetchers.
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

// startCheckInterval is the time between two checks whether a starting daemon may serve.
const startCheckInterval = 50 * time.Millisecond

// fetcher fetches settings or targets from a peer that has newer ones than this daemon.
// Each has its own fetcher, since a target that is draining must become known without
// waiting for a fetch of large settings.
type fetcher struct {
	cluster *Cluster
	// reported returns the peer's revision in a report, own the revision of this daemon.
	reported func(heartbeatReport) int64
	own      func() int64
	// update fetches from the peer that sent a report, and applies what it gets.
	update func(ctx context.Context, h heartbeatReport)

	reports chan heartbeatReport
	// slowUntil is until when a peer that did not answer a fetch ranks behind all others,
	// by name.
	slowUntil map[string]time.Time
	// passedOver are the reports that takeBest last took and did not choose.
	passedOver []heartbeatReport
}

func (c *Cluster) newFetcher(reported func(heartbeatReport) int64, own func() int64, update func(context.Context, heartbeatReport)) *fetcher {
	return &fetcher{cluster: c, reported: reported, own: own, update: update, reports: make(chan heartbeatReport, maxQueuedReports), slowUntil: map[string]time.Time{}}
}

// enqueue queues a report if the peer's revision is newer than this daemon's.
func (f *fetcher) enqueue(h heartbeatReport) {
	if f.reported(h) <= f.own() {
		return
	}
	select {
	case f.reports <- h:
	default: // The next heartbeat repeats the report.
	}
}

// run fetches until ctx ends.
func (f *fetcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-f.reports:
			best := f.takeBest(h)
			f.update(ctx, best)
			if f.isSlow(best.from, time.Now()) {
				f.enqueuePassedOver()
			}
		}
	}
}

// enqueuePassedOver queues the reports of other peers than slow ones that takeBest passed over, after
// a failed fetch: their next heartbeats may come a second later.
func (f *fetcher) enqueuePassedOver() {
	for _, h := range f.passedOver {
		if !f.isSlow(h.from, time.Now()) {
			f.enqueue(h)
		}
	}
}

// takeBest empties the queue, so that reports do not pile up during a fetch, and returns
// the best of its reports and the given one: the newest, with reports of slow peers ranked
// last as long as another peer's report is newer than this daemon's revision.
func (f *fetcher) takeBest(best heartbeatReport) heartbeatReport {
	now := time.Now()
	f.passedOver = f.passedOver[:0]
	for {
		select {
		case h := <-f.reports:
			if f.candidateOf(h, now).preferredTo(f.candidateOf(best, now), f.own()) {
				best, h = h, best
			}
			f.passedOver = append(f.passedOver, h)
		default:
			return best
		}
	}
}

func (f *fetcher) candidateOf(h heartbeatReport, now time.Time) candidate {
	return candidate{f.isSlow(h.from, now), f.reported(h)}
}

// candidate is a peer from which this daemon may fetch.
type candidate struct {
	// slow is true for a peer from which a fetch failed within the last slowPeerPenalty.
	slow     bool
	revision int64
}

// preferredTo reports whether a candidate is preferred to another one, given this daemon's
// own revision. A peer that answers is preferred to a slow one if it has something new;
// otherwise the newer revision is.
func (o candidate) preferredTo(other candidate, own int64) bool {
	switch {
	case o.slow && !other.slow && other.revision > own:
		return false
	case other.slow && !o.slow && o.revision > own:
		return true
	}
	return o.revision > other.revision
}

// fetch calls a peer for what is newer there, and marks the peer as slow if the call fails.
func (f *fetcher) fetch(ctx context.Context, from string, kind peer.Kind, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	idleTimeout := fetchIdleTimeout
	if f.isSlow(from, time.Now()) {
		idleTimeout = fetchTimeout
		defer f.cancelOnBetterReport(ctx, cancel)()
	}
	err := f.cluster.Hub.CallWithIdleTimeout(ctx, f.cluster.address(from), kind, in, out, idleTimeout)
	if err != nil {
		f.slowUntil[from] = time.Now().Add(slowPeerPenalty)
	}
	return err
}

// cancelOnBetterReport calls cancel once a peer that is not slow reports something newer than this
// daemon has: a fetch from a slow peer may take fetchTimeout. The function that it returns ends this
// and queues the reports that arrived meanwhile again.
func (f *fetcher) cancelOnBetterReport(ctx context.Context, cancel context.CancelFunc) (end func()) {
	var arrived []heartbeatReport
	slowUntil := maps.Clone(f.slowUntil)
	ctx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-ctx.Done():
				return
			case h := <-f.reports:
				arrived = append(arrived, h)
				if f.reported(h) > f.own() && !time.Now().Before(slowUntil[h.from]) {
					cancel()
					return
				}
			}
		}
	}()
	return func() {
		stop()
		<-done
		for _, h := range slices.Backward(arrived) { // The queue may not hold all, and the last one is the best.
			f.enqueue(h)
		}
	}
}

// isSlow reports whether a fetch from the peer failed within slowPeerPenalty before now.
func (f *fetcher) isSlow(name string, now time.Time) bool { return now.Before(f.slowUntil[name]) }

// watchHeadStart is how long a daemon waits for its own watch of the store to bring what a
// peer reports: both learn of a change within some milliseconds, and fetching it from the
// peer too would double the bytes between data centres.
const watchHeadStart = 100 * time.Millisecond

// waitForWatch gives this daemon's own watch of the store, if it has one, time to bring a
// change.
func (c *Cluster) waitForWatch(ctx context.Context) {
	if c.Settings.ShouldWatch() {
		controller.Sleep(ctx, watchHeadStart)
	}
}
