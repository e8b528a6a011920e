package controller

import (
	"context"
	"sync"
	"time"

	"doorstack.dev/core/admission"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/target"
	"doorstack.dev/node/telemetry"
)

// LoadPoller reads the load reports of the targets and the cache events of the engines, within a
// budget of reads a second, so that its cost does not grow with the fleet.
type LoadPoller struct {
	Board    *blackboard.Blackboard
	Client   *target.Client
	Recorder *telemetry.Recorder
	// PollsPerSecond is the budget of report reads a second.
	PollsPerSecond float64

	mu         sync.Mutex
	lastEvents map[string]int64 // sequence of the last cache event read, by target
	round      int
	// dispatched are the counts last added to Metrics.DispatchedByKind, by pool and kind of prompt.
	dispatched map[[2]string]uint64
}

const (
	// minLoadInterval is the shortest time between two reads of a target's report.
	minLoadInterval = 250 * time.Millisecond
	// loadTimeout bounds the reads of a target's report and events; maxParallelLoadReads bounds
	// the targets read at a time.
	loadTimeout          = time.Second
	maxParallelLoadReads = 16
	// roundsPerEventRead is the number of rounds for each read of cache events.
	roundsPerEventRead = 4
)

// Run reads reports until ctx ends. After each round it wakes the queues, since load reports may
// show room for waiting requests, and updates the queue metrics.
func (c *LoadPoller) Run(ctx context.Context) {
	c.lastEvents = map[string]int64{}
	c.dispatched = map[[2]string]uint64{}
	for ctx.Err() == nil {
		start := time.Now()
		targets := c.Board.Targets.Addresses()
		c.pollTargets(ctx, targets)
		c.Board.Queues.WakeAll()
		c.updateQueueMetrics()
		Sleep(ctx, c.roundInterval(len(targets))-time.Since(start))
	}
}

// updateQueueMetrics sets the metrics of the queues.
func (c *LoadPoller) updateQueueMetrics() {
	m := c.Recorder.Metrics
	for pool, s := range c.Board.Queues.Stats(time.Now()) {
		m.QueuedRequests.WithLabelValues(pool).Set(float64(s.Short.Waiting + s.Long.Waiting))
		m.LargestAccountShare.WithLabelValues(pool).Set(s.LargestShare)
		for kind, k := range map[string]admission.KindStats{"short": s.Short, "long": s.Long} {
			m.WaitingByKind.WithLabelValues(pool, kind).Set(float64(k.Waiting))
			series := [2]string{pool, kind}
			m.DispatchedByKind.WithLabelValues(pool, kind).Add(float64(k.Dispatched - c.dispatched[series]))
			c.dispatched[series] = k.Dispatched
		}
	}
}

// roundInterval returns the time between the starts of two rounds over n targets within the budget.
func (c *LoadPoller) roundInterval(n int) time.Duration {
	round := time.Duration(float64(n) / c.PollsPerSecond * float64(time.Second))
	return max(round, minLoadInterval)
}

// pollTargets reads each target once, maxParallelLoadReads at a time.
func (c *LoadPoller) pollTargets(ctx context.Context, targets []blackboard.TargetAddress) {
	c.round++
	slots := make(chan struct{}, maxParallelLoadReads)
	var wg sync.WaitGroup
	for _, t := range targets {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			c.pollTarget(ctx, t)
		})
	}
	wg.Wait()
}

// pollTarget reads a target's report and, for an engine in each roundsPerEventRead-th round, its
// cache events.
func (c *LoadPoller) pollTarget(ctx context.Context, t blackboard.TargetAddress) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	requested := time.Now()
	report, err := c.Client.Load(ctx, t.Address)
	if err != nil {
		c.Board.Targets.RecordMissedReport(t.ID, time.Now())
		return
	}
	// The report is dated by its request, so that what this daemon has sent since then counts in
	// addition to it.
	c.Board.Targets.RecordReport(t.ID, report, requested)
	if t.Engine && c.round%roundsPerEventRead == 0 {
		c.pollEvents(ctx, t)
	}
}

// pollEvents reads the cache events of an engine since the last read, and updates the prefix table.
func (c *LoadPoller) pollEvents(ctx context.Context, t blackboard.TargetAddress) {
	c.mu.Lock()
	after := c.lastEvents[t.ID]
	c.mu.Unlock()
	events, err := c.Client.CacheEvents(ctx, t.Address, after)
	if err != nil {
		return // Events are hints; a later round reads them again.
	}
	for _, e := range events {
		c.Board.Prefixes.Stored(t.ID, e.Stored)
		c.Board.Prefixes.Evicted(t.ID, e.Evicted)
		after = max(after, e.Sequence)
	}
	c.mu.Lock()
	c.lastEvents[t.ID] = after
	c.mu.Unlock()
}
