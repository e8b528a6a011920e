package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"doorstack.dev/core/hostlist"
	"doorstack.dev/core/membership"
	"doorstack.dev/core/storeread"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/telemetry"
	"github.com/go-faster/errors"
)

// TargetSource reads the platform's store, which publishes an entry for each target.
type TargetSource interface {
	// Targets returns all entries, or the changes since the previous call. The error is a storeread.ErrConnectionLost if
	// a call over a new connection may succeed. An answer with changes
	// may be delayed by the duration wait, until there is a change; its timeout beyond wait is
	// the source's own. An answer with all entries has to begin within timeout; zero selects the
	// source's default.
	Targets(ctx context.Context, wait, timeout time.Duration) (hostlist.Update, error)
}

// Directory keeps the list of targets up to date on platforms that publish an entry for each
// target in a store. It merges what the store and the other daemons report.
type Directory struct {
	Board    *blackboard.Blackboard
	Source   TargetSource
	Recorder *telemetry.Recorder
	// ShouldWatch reports whether this daemon has to watch the store. Only a few do; the others learn of
	// changes from their peers, and watch only while they cannot rely on those few.
	ShouldWatch func() bool
	// OnChange is called after each change of the list, so that the peers are told at once.
	OnChange func()
	// MaxHold is the longest time for which a call waits for a change.
	MaxHold time.Duration

	// consecutiveChanges counts the reads in a row that returned changes.
	consecutiveChanges int
	// consecutiveEarly counts the answers in a row that came early and without a change.
	consecutiveEarly int
	// lastFailure is when a call last failed.
	lastFailure time.Time
	// era is the highest era that the store has reported; the store starts a new era when it is
	// restored from a backup.
	era int64
}

const (
	// storeBackoffInitial is the mean delay before a failed read of the store is retried, and
	// storeBackoffMax the mean delay after repeated failures. Long delays save calls, each of
	// which is charged by the platform, refused ones included; but a configuration has to be in
	// force 2 s after the store accepts it.
	storeBackoffInitial = 200 * time.Millisecond
	storeBackoffMax     = 800 * time.Millisecond
	// outageHold is how long the store may delay an answer while it counts as down.
	outageHold = time.Millisecond
	// coalesceDelay is the delay after a read that returned changes, so that changes in quick
	// succession, as during a release, cost one call. It doubles up to maxCoalesceDelay while
	// each call returns changes; both are short against the 2 s in which a change must be in
	// force.
	coalesceDelay    = 150 * time.Millisecond
	maxCoalesceDelay = 400 * time.Millisecond
	// peerDiscoveryDelay is how long a daemon that knows no other daemon waits after its first
	// read. When all hosts start together, each would otherwise hold a watch of its own until it
	// has discovered the daemons that watch.
	peerDiscoveryDelay = time.Second
	// minFullReadDelay and maxFullReadDelay bound how long a daemon that does not watch waits,
	// after the first page of a long list, for its peers to send the rest before it reads the
	// rest itself. Hundreds of hosts that start together and read thousands of targets each
	// saturate the store's link for seconds.
	minFullReadDelay = 2 * time.Second
	maxFullReadDelay = 3500 * time.Millisecond
	// incompleteCheckInterval is how often such a daemon checks whether its list is complete.
	incompleteCheckInterval = 50 * time.Millisecond
	// removalCheckInterval is how often unconfirmed removals are checked.
	removalCheckInterval = 250 * time.Millisecond
)

// Run reads and watches the store until ctx ends. A daemon that does not watch reads the store
// until it has the list of targets, and then once every fallbackReadInterval. When it begins to watch, the
// first call does not wait: its connection may have been lost since the last one.
func (c *Directory) Run(ctx context.Context) {
	go c.confirmRemovals(ctx)
	pause := storeBackoffInitial
	lastRead := time.Time{}
	failed, idle := false, false
	fullReadDelay := minFullReadDelay + rand.N(maxFullReadDelay-minFullReadDelay)
	for ctx.Err() == nil {
		if !c.ShouldWatch() && c.Board.Members.HasHosts() {
			if incomplete := c.Board.Directory.Incomplete(); incomplete && time.Since(lastRead) < fullReadDelay {
				Sleep(ctx, incompleteCheckInterval)
				continue
			} else if !incomplete && time.Since(lastRead) < fallbackReadInterval {
				idle = true
				c.noticeReturnByPeers()
				c.Board.StoreReads.Wait(ctx, idleCheckInterval)
				continue
			}
		}
		first := lastRead.IsZero()
		hold := randomHold(c.MaxHold)
		if idle {
			c.Recorder.Log.Info("begins to read the store", "watches", c.Board.WatchesStore(), "last_read", time.Since(lastRead).String())
			idle, hold = false, outageHold
		}
		lastRead = time.Now()
		if c.readStore(ctx, hold) {
			pause, failed = storeBackoffInitial, false
			if first && c.knowsNoPeer() && !c.Board.Directory.Incomplete() {
				Sleep(ctx, peerDiscoveryDelay)
			}
			continue
		}
		if !failed {
			// The first failure is retried at once: the store may be up and the watch's connection
			// lost. A delay of 0.1 to 0.3 s would postpone the changes that the watch missed by as much.
			failed = true
			continue
		}
		c.Board.RecordStoreRead(time.Now(), false)
		if pause == storeBackoffInitial {
			c.OnChange() // Others may have to read the store in place of this daemon.
		}
		Sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, storeBackoffMax)
	}
}

// knowsNoPeer reports whether no other daemon is known.
func (c *Directory) knowsNoPeer() bool {
	others := 0
	c.Board.Members.WithLock(func(t *membership.Table) { others, _ = t.CountOthers() })
	return others == 0
}

// minHoldShare is the shortest hold time as a share of the longest. The spread keeps daemons with
// the same MaxHold from calling at the same time, and costs a tenth more calls.
const minHoldShare = 0.85

// randomHold returns a random hold time between minHoldShare of longest and longest.
func randomHold(longest time.Duration) time.Duration {
	least := time.Duration(minHoldShare * float64(longest))
	return least + rand.N(longest-least+1)
}

// readStore calls the store once, as a watch that waits up to hold for a change, and merges the
// answer. It reports whether the store answered, or ctx ended.
func (c *Directory) readStore(ctx context.Context, hold time.Duration) bool {
	c.Board.Directory.WithLock(func(t *hostlist.Table) {
		if t.StoreDown() {
			hold = outageHold // An immediate answer shows that the store is back.
		}
	})
	began := time.Now()
	update, err := c.Source.Targets(ctx, hold, c.answerTimeout())
	if ctx.Err() != nil {
		return true
	}
	now := time.Now()
	if errors.Is(err, storeread.ErrConnectionLost) {
		c.Recorder.Metrics.PlatformReads.WithLabelValues("hosts", "connection_lost").Inc()
		c.Recorder.Log.Info("connection is lost", "dependency", "store", "error", err.Error())
		return false
	}
	if err != nil {
		c.recordReadFailure(err)
		return false
	}
	c.Recorder.Metrics.PlatformReads.WithLabelValues("hosts", "read").Inc()
	c.Recorder.MarkStage(blackboard.StageStore)
	c.Board.RecordStoreRead(now, true)
	returned := false
	c.Board.Directory.WithLock(func(t *hostlist.Table) { returned = t.MarkStoreUp(now) })
	if returned {
		c.Recorder.Log.Info("dependency is back", "dependency", "store", "revision", update.AsOf.String())
	}
	c.recordEra(update.AsOf)
	c.mergeUpdate(update, "store", now)
	if len(update.Hosts) == 0 || update.Partial {
		c.consecutiveChanges = 0
		c.delayAfterEarlyAnswers(ctx, now.Sub(began))
		return true
	}
	c.consecutiveEarly = 0
	Sleep(ctx, coalesceDelayAfter(c.consecutiveChanges))
	c.consecutiveChanges++
	return true
}

// The bounds of the random time within which an answer to a daemon without settings has to begin.
// A store that does not respond never answers the calls made meanwhile, so a daemon notices the
// store's return only when its call has timed out and it calls again. Daemons that started together
// with the same timeout would all call again at the same moment, which may be that timeout after
// the return; with random timeouts one of them calls soon, and its answer serves all. A slow store
// usually answers within 0.4 s, and the longer timeouts allow for a slower one.
const (
	minFirstAnswerTimeout = 400 * time.Millisecond
	maxFirstAnswerTimeout = 2 * time.Second
)

// answerTimeout returns the time within which an answer has to begin: zero, the source's default,
// once settings are in force, and a random time before.
func (c *Directory) answerTimeout() time.Duration {
	if c.Board.Settings.Current() != nil {
		return 0
	}
	return minFirstAnswerTimeout + rand.N(maxFirstAnswerTimeout-minFirstAnswerTimeout)
}

// recordEra logs and counts a restore of the store from a backup. Nothing else has to be done: which
// state of a target holds is decided by positions, which are ordered by era first, and settings
// never go back to an older revision.
func (c *Directory) recordEra(at hostlist.Position) {
	if at.Era() > c.era && c.era > 0 {
		c.Recorder.Metrics.StoreRestores.Inc()
		c.Recorder.Log.Warn("the store was restored from an older copy", "era", at.Era(), "before", c.era, "revision", at.Revision())
	}
	c.era = max(c.era, at.Era())
}

// delayAfterEarlyAnswers waits after the second and later answers in a row that came early and
// without a change of targets, as from a store that closes each connection after its answer. The first
// is usual: a watch on a new connection does not wait.
func (c *Directory) delayAfterEarlyAnswers(ctx context.Context, took time.Duration) {
	if took >= coalesceDelay {
		c.consecutiveEarly = 0
		return
	}
	if c.consecutiveEarly > 0 {
		Sleep(ctx, coalesceDelayAfter(c.consecutiveEarly-1))
	}
	c.consecutiveEarly++
}

// coalesceDelayAfter returns the delay after a read that returned changes and that follows the
// given number of such reads.
func coalesceDelayAfter(earlier int) time.Duration {
	delay := coalesceDelay
	for ; earlier > 0 && delay < maxCoalesceDelay; earlier-- {
		delay *= 2
	}
	return min(delay, maxCoalesceDelay)
}

// noticeReturnByPeers marks the store as up again at a daemon that no longer reads it, once another daemon has
// read it since this one could not.
func (c *Directory) noticeReturnByPeers() {
	readAt := c.Board.StoreReads.LastRead()
	if !readAt.After(c.lastFailure) {
		return
	}
	returned := false
	c.Board.Directory.WithLock(func(t *hostlist.Table) { returned = t.MarkStoreUp(readAt) })
	if returned {
		c.Recorder.Log.Info("dependency is back", "dependency", "store", "read_by", "another daemon")
	}
}

// recordReadFailure counts a failed call, marks the store as down, and logs the first failure of an
// outage.
func (c *Directory) recordReadFailure(err error) {
	c.Recorder.Metrics.PlatformReads.WithLabelValues("hosts", "failed").Inc()
	alreadyDown := false
	c.lastFailure = time.Now()
	c.Board.Directory.WithLock(func(t *hostlist.Table) {
		alreadyDown = t.StoreDown()
		t.MarkStoreDown()
	})
	if !alreadyDown {
		c.Recorder.Log.Warn("dependency is lost", "dependency", "store", "error", err.Error())
	}
}

// MergeFromPeer merges an update that the named peer sent. The update is never taken for a full
// read of the store.
func (c *Directory) MergeFromPeer(peer string, update hostlist.Update) {
	update.Full = false
	c.mergeUpdate(update, "peer "+peer, time.Now())
}

func (c *Directory) mergeUpdate(update hostlist.Update, from string, now time.Time) {
	if !c.Board.MergeUpdate(update, now) {
		return
	}
	c.Recorder.Metrics.EvacuatedDataCentres.Set(float64(len(c.Board.EvacuatedDataCentres())))
	c.OnChange()
	c.logUpdate(update, from)
	if len(update.Hosts) > 0 {
		c.Recorder.MarkStage(blackboard.StageTargets)
	}
}

// combinedLogMin is the size of the smallest update whose live targets are logged together in one
// line. The first read of each daemon returns all targets.
const combinedLogMin = 8

// logUpdate logs each target of an update, or all live ones in one line if the update is large.
func (c *Directory) logUpdate(update hostlist.Update, from string) {
	var live []string
	for _, h := range update.Hosts {
		if hostlist.IsEvacuationID(h.ID) {
			c.logEvacuation(&h, from)
			continue
		}
		if len(update.Hosts) >= combinedLogMin && h.State == hostlist.Live {
			live = append(live, h.ID)
			continue
		}
		c.Recorder.Log.Info("target", "target", h.ID, "state", string(h.State), "address", h.Address, "pool", h.Pool,
			"revision", h.Revision.String(), "incarnation", h.Incarnation, "from", from)
	}
	if len(live) > 0 {
		c.Recorder.Log.Info("target", "targets", live, "state", string(hostlist.Live), "revision", update.AsOf.String(), "from", from)
	}
}

// logEvacuation logs the start or the end of the evacuation of a data centre.
func (c *Directory) logEvacuation(h *hostlist.Host, from string) {
	event := "evacuation of a data centre"
	if h.State == hostlist.Gone {
		event = "evacuation of a data centre ended"
	}
	c.Recorder.Log.Info(event, "data_centre", h.DataCentre, "revision", h.Revision.String(), "from", from)
}

// confirmRemovals applies delayed removals until ctx ends. A target whose entry disappeared just
// after an outage of the store, or together with many others, is removed only if the entry does not
// reappear for a while.
func (c *Directory) confirmRemovals(ctx context.Context) {
	for ctx.Err() == nil {
		Sleep(ctx, removalCheckInterval)
		if c.Board.ConfirmRemovals(time.Now()) {
			c.Recorder.Metrics.EvacuatedDataCentres.Set(float64(len(c.Board.EvacuatedDataCentres())))
			c.OnChange()
			c.Recorder.Log.Info("targets removed after their entries did not reappear", "left", fmt.Sprint(len(c.Board.ListedHosts())))
		}
	}
}
