package controller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"doorstack.dev/core/engine"
	"doorstack.dev/core/forward"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/target"
	"doorstack.dev/node/telemetry"
	"github.com/go-faster/errors"
)

// Paces asks the engines of the pools that this daemon coordinates how fast they work. An
// engine that turns slow says so nowhere else, and takes 4 to 5 times as long for what it is
// given. On a day on which three of 18 engines are slow for 28 s that is worth 0.109 (8
// plays: 0.518 to 0.627), with 5 s about 0.01 (36 plays, 0.002 to 0.029).
type Paces struct {
	Board    *blackboard.Blackboard
	Exchange *target.Exchanger
	Record   *telemetry.Recorder
	// Coordinates tells whether this daemon places the calls of a pool for all.
	Coordinates func(pool string) bool

	// next is when each pool is asked next, and slow are its targets that last said that
	// they are slow.
	next map[string]time.Time
	slow map[string]map[string]bool
}

const (
	// paceEvery is the time between two questions to an engine. Each is paid for: 18
	// engines every 2.5 s cost 0.0008 of the worth of a day.
	paceEvery = 2500 * time.Millisecond
	// paceTick is how soon a daemon notices that it has become a pool's coordinator.
	paceTick = 250 * time.Millisecond
	// paceTimeout bounds a question; paceParallel is the number of questions at a time.
	paceTimeout  = 300 * time.Millisecond
	paceParallel = 32
	// maxReport bounds a report: 64 reservations and some models take a few KB.
	maxReport = 64 << 10
)

// Run asks until ctx ends.
func (c *Paces) Run(ctx context.Context) {
	c.next, c.slow = map[string]time.Time{}, map[string]map[string]bool{}
	for ctx.Err() == nil {
		for _, pool := range c.Board.Targets.TimedPools() {
			if c.Coordinates(pool) && time.Now().After(c.next[pool]) {
				c.next[pool] = time.Now().Add(paceEvery)
				c.askAll(ctx, pool)
			}
		}
		Sleep(ctx, paceTick)
	}
}

// askAll asks all live targets of a pool.
func (c *Paces) askAll(ctx context.Context, pool string) {
	before, slow := c.slow[pool], map[string]bool{}
	slots := make(chan struct{}, paceParallel)
	var mu sync.Mutex // guards slow
	var asking sync.WaitGroup
	for _, t := range c.Board.Targets.LiveAddresses(pool) {
		slots <- struct{}{}
		asking.Go(func() {
			defer func() { <-slots }()
			isSlow := c.ask(ctx, t, before[t.ID])
			mu.Lock()
			defer mu.Unlock()
			if isSlow {
				slow[t.ID] = true
			}
		})
	}
	asking.Wait()
	c.slow[pool] = slow
}

// ask takes in one target's report, and tells whether it is slow. One that does not answer
// is what it was.
func (c *Paces) ask(ctx context.Context, t blackboard.TargetAddress, before bool) bool {
	report, err := c.read(ctx, t)
	if err != nil {
		c.Record.Log.Debug("a target does not report", "target", t.ID, "error", err.Error())
		return before
	}
	now := time.Now()
	if c.Board.Targets.Started(t.ID, report.Started, now) {
		c.Record.Log.Info("target started anew", "target", t.ID, "pool", t.Pool, "incarnation", report.Started, "from", "its report")
	}
	c.Board.Targets.SetPace(t.ID, report.Pace, now.Add(paceEvery+paceTimeout+paceTick), now)
	slow := engine.Pace(report.Pace) > 1
	if slow != before {
		c.Record.Log.Info("target's pace", "target", t.ID, "pool", t.Pool, "pace", report.Pace, "slow", slow)
	}
	return slow
}

func (c *Paces) read(ctx context.Context, t blackboard.TargetAddress) (forward.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, paceTimeout)
	defer cancel()
	question := c.Exchange.Dialect.Report(t.ID)
	reply, err := c.Exchange.Send(ctx, t.Address, &question)
	if err != nil {
		return forward.Report{}, err
	}
	defer c.Exchange.Close(reply)
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxReport))
	if err != nil {
		return forward.Report{}, errors.Wrap(err, "read the report")
	}
	if reply.Status != http.StatusOK {
		return forward.Report{}, errors.New(fmt.Sprintf("the target answered %d", reply.Status))
	}
	return c.Exchange.Dialect.ReadReport(body)
}
