package controller

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"doorstack.dev/core/engine"
	"doorstack.dev/core/forward"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/target"
	"doorstack.dev/node/telemetry"
	"github.com/go-faster/errors"
)

// SlowdownPoller asks the engines of the pools that this daemon coordinates how fast they work. An
// engine that turns slow says so nowhere else, and takes several times as long for what it is
// given.
type SlowdownPoller struct {
	Board     *blackboard.Blackboard
	Exchanger *target.Exchanger
	Recorder  *telemetry.Recorder
	// Coordinates tells whether this daemon places the calls of a pool for all.
	Coordinates func(pool string) bool

	// pools is what is remembered of each pool.
	pools map[string]*poolPolling
}

// poolPolling is what is remembered of a pool between two rounds of questions.
type poolPolling struct {
	nextRound   time.Time       // when it is asked next
	slowTargets map[string]bool // targets that last said that they are slow
	lastPolled  string          // the target up to which those that are asked in turn have been
}

const (
	// slowdownInterval is the time between two questions to an engine, each of which is paid for.
	slowdownInterval = 2500 * time.Millisecond
	// coordinatorCheckInterval is how soon a daemon notices that it has become a pool's coordinator.
	coordinatorCheckInterval = 250 * time.Millisecond
	// slowdownTimeout bounds a question; maxParallelSlowdownReads is the number of questions at a time.
	slowdownTimeout          = 300 * time.Millisecond
	maxParallelSlowdownReads = 32
	// maxSlowdownBatch is the most targets of a pool that are asked in a round: a question and its
	// report are some 0.3 KB and a connection, so the busiest daemon spends 18 KB/s and 160
	// connections on them, whatever the size of the pool.
	maxSlowdownBatch = 160
	// maxReportSize bounds a report: 64 reservations and some models take a few KB.
	maxReportSize = 64 << 10
)

// Run asks until ctx ends.
func (c *SlowdownPoller) Run(ctx context.Context) {
	c.pools = map[string]*poolPolling{}
	for ctx.Err() == nil {
		for _, pool := range c.Board.Targets.TimedPools() {
			p := c.pools[pool]
			if p == nil {
				p = &poolPolling{}
				c.pools[pool] = p
			}
			if c.Coordinates(pool) && time.Now().After(p.nextRound) {
				p.nextRound = time.Now().Add(slowdownInterval)
				c.pollRound(ctx, p, c.Board.Targets.Askable(pool, time.Now()))
			}
		}
		Sleep(ctx, coordinatorCheckInterval)
	}
}

// askRound asks the live targets of a pool whose turn it is.
func (c *SlowdownPoller) pollRound(ctx context.Context, p *poolPolling, live []blackboard.TargetAddress) {
	batch, rounds := p.nextBatch(live)
	holds := time.Duration(rounds)*slowdownInterval + slowdownTimeout + coordinatorCheckInterval
	before, slow := p.slowTargets, map[string]bool{}
	for _, t := range live {
		if before[t.ID] {
			slow[t.ID] = true
		}
	}
	slots := make(chan struct{}, maxParallelSlowdownReads)
	var mu sync.Mutex // guards slow
	var asking sync.WaitGroup
	for _, t := range batch {
		slots <- struct{}{}
		asking.Go(func() {
			defer func() { <-slots }()
			isSlow := c.pollTarget(ctx, t, before[t.ID], holds)
			mu.Lock()
			defer mu.Unlock()
			slow[t.ID] = isSlow
		})
	}
	asking.Wait()
	p.slowTargets = slow
}

// round chooses whom to ask: all targets of a pool of maxSlowdownBatch or fewer. Of a larger one those
// that were slow are asked in each round, so that one that works as usual again is not avoided
// for long, and the others in turn by id. It returns how many rounds it takes until each has
// been asked.
func (p *poolPolling) nextBatch(live []blackboard.TargetAddress) (batch []blackboard.TargetAddress, rounds int) {
	if len(live) <= maxSlowdownBatch {
		return live, 1
	}
	var others []blackboard.TargetAddress
	for _, t := range live {
		if p.slowTargets[t.ID] && len(batch) < maxSlowdownBatch/2 {
			batch = append(batch, t)
		} else {
			others = append(others, t)
		}
	}
	slices.SortFunc(others, func(a, b blackboard.TargetAddress) int { return cmp.Compare(a.ID, b.ID) })
	inTurn := maxSlowdownBatch - len(batch)
	after := slices.IndexFunc(others, func(t blackboard.TargetAddress) bool { return t.ID > p.lastPolled })
	for i := range min(inTurn, len(others)) {
		batch = append(batch, others[(max(0, after)+i)%len(others)])
	}
	p.lastPolled = batch[len(batch)-1].ID
	return batch, (len(others) + inTurn - 1) / inTurn
}

// ask takes in one target's report, which holds for so long, and tells whether the target is
// slow. One that does not answer is what it was.
func (c *SlowdownPoller) pollTarget(ctx context.Context, t blackboard.TargetAddress, before bool, holds time.Duration) bool {
	report, err := c.readReport(ctx, t)
	if err != nil {
		c.Recorder.Log.Debug("a target does not report", "target", t.ID, "error", err.Error())
		return before
	}
	now := time.Now()
	if c.Board.Targets.Started(t.ID, report.Started, now) {
		c.Recorder.Log.Info("target started anew", "target", t.ID, "pool", t.Pool, "incarnation", report.Started, "from", "its report")
	}
	c.Board.Targets.SetPace(t.ID, report.Slowdown, now.Add(holds), now)
	slow := engine.Slowdown(report.Slowdown) > 1
	if slow != before {
		c.Recorder.Log.Info("target's pace", "target", t.ID, "pool", t.Pool, "pace", report.Slowdown, "slow", slow)
	}
	return slow
}

func (c *SlowdownPoller) readReport(ctx context.Context, t blackboard.TargetAddress) (forward.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, slowdownTimeout)
	defer cancel()
	question := c.Exchanger.Dialect.Report(t.ID)
	reply, err := c.Exchanger.Send(ctx, t.Address, &question)
	if err != nil {
		return forward.Report{}, err
	}
	defer c.Exchanger.Close(reply)
	c.Recorder.Notice(t.Pool, t.ID, reply.TargetNotice(), reply.Sent)
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxReportSize))
	if err != nil {
		return forward.Report{}, errors.Wrap(err, "read the report")
	}
	if reply.Status != http.StatusOK {
		return forward.Report{}, errors.New(fmt.Sprintf("the target answered %d", reply.Status))
	}
	return c.Exchanger.Dialect.ReadReport(body)
}
