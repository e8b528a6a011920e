package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"doorstack.dev/core/hostlist"
	"doorstack.dev/core/membership"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/telemetry"
)

// TargetSource publishes an entry for each target. It is read only.
type TargetSource interface {
	// Targets returns all entries or what changed since the last call, for which it
	// waits. An answer has to begin within patience after that; zero leaves the time to
	// the source.
	Targets(ctx context.Context, wait, patience time.Duration) (hostlist.Update, error)
}

// Directory keeps the targets of a platform that publishes entries.
type Directory struct {
	Board    *blackboard.Blackboard
	Source   TargetSource
	Recorder *telemetry.Recorder
	// Watches tells whether this daemon is one of the few that watch the store; the others
	// learn from their peers.
	ShouldWatch func() bool
	// Changed is called after each change of the list, to tell the peers at once.
	OnChange func()
	// Hold is the longest time that a watch is held.
	MaxHold time.Duration

	// busy counts the reads in a row that brought news.
	consecutiveChanges int
	// era is the store's when it last answered.
	era int64
}

const (
	// storeBackoffInitial is the mean pause after a read of the store that failed, and
	// storeBackoffMax the longest it grows to: each call is paid for, refused ones too,
	// and a configuration has to be in force 2 s after the store takes it.
	storeBackoffInitial = 200 * time.Millisecond
	storeBackoffMax     = 800 * time.Millisecond
	// outageHold is how long a watch is held while the store is away.
	outageHold = time.Millisecond
	// gather is the pause after news, so that changes that come close together, as at a
	// release, cost one call. It doubles up to maxCoalesceDelay while each call brings news: short
	// against the 2 s in which news must be in force.
	coalesceDelay    = 150 * time.Millisecond
	maxCoalesceDelay = 400 * time.Millisecond
	// peerDiscoveryDelay is how long a fresh daemon that knows nobody leaves the watch to others after
	// its first read: where all hosts start together each would hold one of its own until it
	// has found those that watch.
	peerDiscoveryDelay = time.Second
	// minFullReadDelay and maxFullReadDelay bound how long a daemon that has read the first page of a long list leaves
	// the others to the daemons that watch the store, which tell it of all: where hundreds of
	// hosts start together, each with thousands of targets to read, the store's link is full for seconds.
	minFullReadDelay = 2 * time.Second
	maxFullReadDelay = 3500 * time.Millisecond
	// incompleteCheckInterval is how often such a daemon looks whether it has been told.
	incompleteCheckInterval = 50 * time.Millisecond
	// removalCheckInterval is how often doubts are looked at.
	removalCheckInterval = 250 * time.Millisecond
)

// Run reads and watches until ctx ends.
func (c *Directory) Run(ctx context.Context) {
	go c.confirmRemovals(ctx)
	pause := storeBackoffInitial
	read := time.Time{}
	away := false
	rest := minFullReadDelay + rand.N(maxFullReadDelay-minFullReadDelay)
	for ctx.Err() == nil {
		if !c.ShouldWatch() && c.Board.Members.HasHosts() {
			if incomplete := c.Board.Directory.Incomplete(); incomplete && time.Since(read) < rest {
				Sleep(ctx, incompleteCheckInterval)
				continue
			} else if !incomplete && time.Since(read) < fallbackReadInterval {
				Sleep(ctx, idleCheckInterval)
				continue
			}
		}
		first := read.IsZero()
		read = time.Now()
		if c.readStore(ctx, randomHold(c.MaxHold)) {
			pause, away = storeBackoffInitial, false
			if first && c.knowsNoPeer() && !c.Board.Directory.Incomplete() {
				Sleep(ctx, peerDiscoveryDelay)
			}
			continue
		}
		if !away {
			// A watch that was cut without a word fails like this while the store is well; the
			// pause of 0.1 to 0.3 s would make what it missed later by as much.
			away = true
			continue
		}
		Sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, storeBackoffMax)
	}
}

// alone tells whether no other daemon is known.
func (c *Directory) knowsNoPeer() bool {
	others := 0
	c.Board.Members.View(func(t *membership.Table) { others, _ = t.CountOthers() })
	return others == 0
}

// minHoldShare is the least part of the longest hold that a watch is held: enough spread that
// daemons with equal holds do not ask together, at a tenth more calls.
const minHoldShare = 0.85

// randomHold draws how long a watch is held.
func randomHold(longest time.Duration) time.Duration {
	least := time.Duration(minHoldShare * float64(longest))
	return least + rand.N(longest-least+1)
}

// read makes one call of the store, a watch that is held for so long, and tells whether it
// was answered.
func (c *Directory) readStore(ctx context.Context, hold time.Duration) bool {
	c.Board.Directory.View(func(t *hostlist.Table) {
		if t.StoreDown() {
			hold = outageHold // An answer at once tells that the store is back.
		}
	})
	facts, err := c.Source.Targets(ctx, hold, c.answerTimeout())
	if ctx.Err() != nil {
		return true
	}
	now := time.Now()
	if err != nil {
		c.recordReadFailure(err)
		return false
	}
	c.Recorder.Metrics.PlatformRead.WithLabelValues("hosts", "read").Inc()
	c.Recorder.Reach(blackboard.StageStore)
	returned := false
	c.Board.Directory.View(func(t *hostlist.Table) { returned = t.MarkStoreUp(now) })
	if returned {
		c.Recorder.Log.Info("dependency is back", "dependency", "store", "revision", facts.AsOf.String())
	}
	c.recordEra(facts.AsOf)
	c.mergeUpdate(facts, "store", now)
	if len(facts.Hosts) == 0 || facts.Partial {
		c.consecutiveChanges = 0
		return true
	}
	Sleep(ctx, coalesceDelayAfter(c.consecutiveChanges))
	c.consecutiveChanges++
	return true
}

// The time that a daemon without settings gives an answer of the store to begin. A silent store
// loses the questions that it was asked; hosts that started together and gave each the same time
// would all ask again at one moment, up to that time after its return. One host with an answer
// is enough for all. A slow store answers within 0.4 s as a rule, and those with more patience
// hear from a slower one.
const (
	minFirstAnswerTimeout = 400 * time.Millisecond
	maxFirstAnswerTimeout = 2 * time.Second
)

// patience is how long an answer may take to begin; zero where the usual time holds.
func (c *Directory) answerTimeout() time.Duration {
	if c.Board.Settings.Current() != nil {
		return 0
	}
	return minFirstAnswerTimeout + rand.N(maxFirstAnswerTimeout-minFirstAnswerTimeout)
}

// noteEra tells of a store that came back from an older copy. What is believed of targets goes
// by the positions of facts; settings never go back.
func (c *Directory) recordEra(at hostlist.Position) {
	if at.Era() > c.era && c.era > 0 {
		c.Recorder.Metrics.StoreReturns.Inc()
		c.Recorder.Log.Warn("the store came back from an older copy", "era", at.Era(), "before", c.era, "revision", at.Revision())
	}
	c.era = max(c.era, at.Era())
}

// coalesceDelayAfter is the pause after news that so many calls with news came before.
func coalesceDelayAfter(busy int) time.Duration {
	pause := coalesceDelay
	for ; busy > 0 && pause < maxCoalesceDelay; busy-- {
		pause *= 2
	}
	return min(pause, maxCoalesceDelay)
}

// lost records a failed call: a line when the store is first lost, a count always.
func (c *Directory) recordReadFailure(err error) {
	c.Recorder.Metrics.PlatformRead.WithLabelValues("hosts", "failed").Inc()
	known := false
	c.Board.Directory.View(func(t *hostlist.Table) {
		known = t.StoreDown()
		t.MarkStoreDown()
	})
	if !known {
		c.Recorder.Log.Warn("dependency is lost", "dependency", "store", "error", err.Error())
	}
}

// MergeFrom takes facts of a peer in.
func (c *Directory) MergeFromPeer(peer string, facts hostlist.Update) {
	facts.Full = false
	c.mergeUpdate(facts, "peer "+peer, time.Now())
}

func (c *Directory) mergeUpdate(facts hostlist.Update, from string, now time.Time) {
	if !c.Board.MergeFacts(facts, now) {
		return
	}
	c.OnChange()
	c.logUpdate(facts, from)
	if len(facts.Hosts) > 0 {
		c.Recorder.Reach(blackboard.StageTargets)
	}
}

// combinedLogMin is the number of targets from which those that live share a line: each daemon's
// first read brings all of them.
const combinedLogMin = 8

// logFacts writes a line for each target, or one for all that live where they are many.
func (c *Directory) logUpdate(facts hostlist.Update, from string) {
	var living []string
	for _, h := range facts.Hosts {
		if len(facts.Hosts) >= combinedLogMin && h.State == hostlist.Live {
			living = append(living, h.ID)
			continue
		}
		c.Recorder.Log.Info("target", "target", h.ID, "state", string(h.State), "address", h.Address, "pool", h.Pool,
			"revision", h.Revision.String(), "incarnation", h.Incarnation, "from", from)
	}
	if len(living) > 0 {
		c.Recorder.Log.Info("target", "targets", living, "state", string(hostlist.Live), "revision", facts.AsOf.String(), "from", from)
	}
}

func (c *Directory) confirmRemovals(ctx context.Context) {
	for ctx.Err() == nil {
		Sleep(ctx, removalCheckInterval)
		if c.Board.TickDirectory(time.Now()) {
			c.OnChange()
			targets, _ := c.Board.Members.Hosts()
			c.Recorder.Log.Info("targets whose entries did not come back count as gone", "left", fmt.Sprint(len(targets.Hosts)))
		}
	}
}
