package controller

import (
	"context"
	"sync"
	"time"

	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/target"
	"doorstack.dev/node/telemetry"
)

// LoadPoller reads the targets' load reports and cache events, within a budget of
// reads a second, so that its cost does not grow with the fleet.
type LoadPoller struct {
	Board    *blackboard.Blackboard
	Client   *target.Client
	Recorder *telemetry.Recorder
	// PollsPerSecond is the budget.
	PollsPerSecond float64

	mu         sync.Mutex
	lastEvents map[string]int64 // last cache event seen, by target
	round      int
}

// The bounds of the pause between two reports of a target, and of a read.
const (
	minLoadInterval      = 250 * time.Millisecond
	loadTimeout          = time.Second
	maxParallelLoadReads = 16
	// roundsPerEventRead is the number of rounds between reads of cache events.
	roundsPerEventRead = 4
)

// Run reads reports until ctx ends.
func (c *LoadPoller) Run(ctx context.Context) {
	c.lastEvents = map[string]int64{}
	for ctx.Err() == nil {
		start := time.Now()
		targets := c.Board.Targets.Addresses()
		c.pollTargets(ctx, targets)
		c.Board.Queues.WakeAll()
		for pool, n := range c.Board.Queues.Lengths() {
			c.Recorder.Metrics.Queue.WithLabelValues(pool).Set(float64(n))
		}
		Sleep(ctx, c.roundInterval(len(targets))-time.Since(start))
	}
}

// pause is the time for one round over n targets within the budget.
func (c *LoadPoller) roundInterval(n int) time.Duration {
	round := time.Duration(float64(n) / c.PollsPerSecond * float64(time.Second))
	return max(round, minLoadInterval)
}

// poll reads each target once, a few at a time, spread over the round.
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

func (c *LoadPoller) pollTarget(ctx context.Context, t blackboard.TargetAddress) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	asked := time.Now()
	report, err := c.Client.Load(ctx, t.Address)
	if err != nil {
		c.Board.Targets.Silent(t.ID, time.Now())
		return
	}
	// The report was true no later than when it was asked for: what this daemon
	// sent since then is surely not in it.
	c.Board.Targets.Report(t.ID, report, asked)
	if t.Engine && c.round%roundsPerEventRead == 0 {
		c.pollEvents(ctx, t)
	}
}

func (c *LoadPoller) pollEvents(ctx context.Context, t blackboard.TargetAddress) {
	c.mu.Lock()
	after := c.lastEvents[t.ID]
	c.mu.Unlock()
	events, err := c.Client.Events(ctx, t.Address, after)
	if err != nil {
		return // Events are hints; the next round asks again.
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
