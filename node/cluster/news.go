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
	// fetchTimeout bounds the fetch of news from a peer. firstSilence is how long nothing may
	// come from a peer that has not failed lately: one that is overloaded or cut off must not
	// hold up the fetch from another, and news have to be in force 2 s after they were
	// published. An answer on its way is waited for, since given up it would be sent in vain.
	fetchTimeout = 5 * time.Second
	firstSilence = 600 * time.Millisecond
	// slowFor is how long a peer that did not answer a fetch is asked after all others.
	slowFor = 5 * time.Second
	// heardQueue bounds the news that wait for a loop.
	heardQueue = 64
)

// heartbeatNews tells what a peer's heartbeat said.
type heartbeatNews struct {
	from     string
	revision int64
	targets  hostlist.Position
	// silent is true where the peer did not answer.
	silent bool
}

// compareLoop opens the doors of a fresh daemon once it has compared with its neighbours, and
// hands what heartbeats say to the followers.
func (c *Cluster) compareLoop(ctx context.Context) {
	ticker := time.NewTicker(compareTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-c.heard:
			if h.silent {
				c.silent[h.from] = true
				break
			}
			c.compared[h.from] = true
			c.told.revision, c.told.targets = max(c.told.revision, h.revision), max(c.told.targets, h.targets)
			c.settingsNews.tell(h)
			c.targetNews.tell(h)
		case <-ticker.C:
		}
		c.compareWithNew(ctx)
		c.serveWhenCompared(ctx)
	}
}

// compareTick is how often a fresh daemon looks whether it may serve.
const compareTick = 50 * time.Millisecond

// follower fetches one kind of news from whoever has newer than this daemon. Settings and
// facts of targets have one each: a target's leaving must not wait behind a fetch of large
// settings.
type follower struct {
	cluster *Cluster
	// of is how new a peer's are, own how new this daemon's.
	of  func(heartbeatNews) int64
	own func() int64
	// catchUp fetches from a peer.
	catchUp func(ctx context.Context, h heartbeatNews)

	told chan heartbeatNews
	// slowUntil is until when peers that did not answer a fetch are asked last.
	slowUntil map[string]time.Time
}

func (c *Cluster) newFollower(of func(heartbeatNews) int64, own func() int64, catchUp func(context.Context, heartbeatNews)) *follower {
	return &follower{cluster: c, of: of, own: own, catchUp: catchUp, told: make(chan heartbeatNews, heardQueue), slowUntil: map[string]time.Time{}}
}

// tell passes on what a peer said, if it is news.
func (f *follower) tell(h heartbeatNews) {
	if f.of(h) <= f.own() {
		return
	}
	select {
	case f.told <- h:
	default: // The next heartbeat says it again.
	}
}

// run fetches until ctx ends.
func (f *follower) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-f.told:
			f.catchUp(ctx, f.newest(h))
		}
	}
}

// newest takes all news that wait, so that they cannot pile up while one of them is
// acted on, and returns the newest. Peers that failed lately come last.
func (f *follower) newest(best heartbeatNews) heartbeatNews {
	now := time.Now()
	for {
		select {
		case h := <-f.told:
			if f.offer(h, now).over(f.offer(best, now), f.own()) {
				best = h
			}
		default:
			return best
		}
	}
}

func (f *follower) offer(h heartbeatNews, now time.Time) offer {
	return offer{f.isSlow(h.from, now), f.of(h)}
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
func (f *follower) fetch(ctx context.Context, from string, kind peer.Kind, in, out any) error {
	silence := firstSilence
	if f.isSlow(from, time.Now()) {
		silence = fetchTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	err := f.cluster.Hub.CallWithIdleTimeout(ctx, f.cluster.address(from), kind, in, out, silence)
	if err != nil {
		f.slowUntil[from] = time.Now().Add(slowFor)
	}
	return err
}

// isSlow tells whether a peer did not answer a fetch lately.
func (f *follower) isSlow(name string, now time.Time) bool { return now.Before(f.slowUntil[name]) }

// watchLead is how long a daemon leaves its own watch of the store to bring what a
// peer knows already: both hear of a change within some milliseconds, and fetching it
// from the peer as well would double the bytes between data centres.
const watchLead = 100 * time.Millisecond

// leadToWatch waits for this daemon's own watch, if it has one.
func (c *Cluster) leadToWatch(ctx context.Context) {
	if c.Settings.ShouldWatch() {
		controller.Sleep(ctx, watchLead)
	}
}
