package controller

import (
	"context"
	"sync"
	"time"

	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/target"
	"doorstack.dev/node/telemetry"
)

// Reports reads the targets' load reports and cache events, within a budget of
// reads a second, so that its cost does not grow with the fleet.
type Reports struct {
	Board  *blackboard.Blackboard
	Client *target.Client
	Record *telemetry.Recorder
	// PollsPerSecond is the budget.
	PollsPerSecond float64

	mu     sync.Mutex
	events map[string]int64 // last cache event seen, by target
	round  int
}

// The bounds of the pause between two reports of a target, and of a read.
const (
	reportMinEvery = 250 * time.Millisecond
	reportTimeout  = time.Second
	reportParallel = 16
	// eventsEvery is the number of rounds between reads of cache events.
	eventsEvery = 4
)

// Run reads reports until ctx ends.
func (c *Reports) Run(ctx context.Context) {
	c.events = map[string]int64{}
	for ctx.Err() == nil {
		start := time.Now()
		targets := c.Board.Targets.Addresses()
		c.poll(ctx, targets)
		c.Board.Queues.WakeAll()
		for pool, n := range c.Board.Queues.Lengths() {
			c.Record.Metrics.Queue.WithLabelValues(pool).Set(float64(n))
		}
		Sleep(ctx, c.pause(len(targets))-time.Since(start))
	}
}

// pause is the time for one round over n targets within the budget.
func (c *Reports) pause(n int) time.Duration {
	round := time.Duration(float64(n) / c.PollsPerSecond * float64(time.Second))
	return max(round, reportMinEvery)
}

// poll reads each target once, a few at a time, spread over the round.
func (c *Reports) poll(ctx context.Context, targets []blackboard.TargetAddress) {
	c.round++
	slots := make(chan struct{}, reportParallel)
	var wg sync.WaitGroup
	for _, t := range targets {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			c.pollOne(ctx, t)
		})
	}
	wg.Wait()
}

func (c *Reports) pollOne(ctx context.Context, t blackboard.TargetAddress) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
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
	if t.Engine && c.round%eventsEvery == 0 {
		c.pollEvents(ctx, t)
	}
}

func (c *Reports) pollEvents(ctx context.Context, t blackboard.TargetAddress) {
	c.mu.Lock()
	after := c.events[t.ID]
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
	c.events[t.ID] = after
	c.mu.Unlock()
}
