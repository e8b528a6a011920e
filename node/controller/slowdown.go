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

// SlowdownPoller polls the reports of engines for their slowdown, in the pools that this daemon
// coordinates. An engine that slows down takes several times as long for each request, and only its
// report shows this.
type SlowdownPoller struct {
	Board     *blackboard.Blackboard
	Exchanger *target.Exchanger
	Recorder  *telemetry.Recorder
	// Coordinates reports whether this daemon places the calls of a pool for all daemons.
	Coordinates func(pool string) bool

	// pools holds the polling state of each pool, by name.
	pools map[string]*poolPolling
}

// poolPolling is the polling state of a pool between two rounds.
type poolPolling struct {
	nextRound   time.Time       // when the next round is due
	slowTargets map[string]bool // targets whose last report was slow
	lastPolled  string          // the last target of the previous batch
}

const (
	// slowdownInterval is the time between two rounds of a pool; the platform charges for each
	// read.
	slowdownInterval = 2500 * time.Millisecond
	// coordinatorCheckInterval bounds the time until a daemon notices that it has become a pool's
	// coordinator.
	coordinatorCheckInterval = 250 * time.Millisecond
	// slowdownTimeout bounds the read of a report; maxParallelSlowdownReads bounds the reads at a
	// time.
	slowdownTimeout          = 300 * time.Millisecond
	maxParallelSlowdownReads = 32
	// maxSlowdownBatch bounds the targets of a pool that are polled in a round. A request and its
	// report take some 0.3 KB and a connection, so the busiest daemon spends 18 KB/s and 160
	// connections on them, whatever the size of the pool.
	maxSlowdownBatch = 160
	// maxReportSize bounds a report in bytes; 64 reservations and some models take a few KB.
	maxReportSize = 64 << 10
)

// Run polls the pools that this daemon coordinates until ctx ends.
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
				c.pollRound(ctx, p, c.Board.Targets.PollableTargets(pool, time.Now()))
			}
		}
		Sleep(ctx, coordinatorCheckInterval)
	}
}

// pollRound polls the next batch of the live targets of a pool. The state of live targets outside
// the batch is kept.
func (c *SlowdownPoller) pollRound(ctx context.Context, p *poolPolling, live []blackboard.TargetAddress) {
	batch, rounds := p.nextBatch(live)
	validFor := time.Duration(rounds)*slowdownInterval + slowdownTimeout + coordinatorCheckInterval
	wasSlow, slow := p.slowTargets, map[string]bool{}
	for _, t := range live {
		if wasSlow[t.ID] {
			slow[t.ID] = true
		}
	}
	slots := make(chan struct{}, maxParallelSlowdownReads)
	var mu sync.Mutex // guards slow
	var polling sync.WaitGroup
	for _, t := range batch {
		slots <- struct{}{}
		polling.Go(func() {
			defer func() { <-slots }()
			isSlow := c.pollTarget(ctx, t, wasSlow[t.ID], validFor)
			mu.Lock()
			defer mu.Unlock()
			slow[t.ID] = isSlow
		})
	}
	polling.Wait()
	p.slowTargets = slow
}

// nextBatch chooses the targets to poll in a round. A pool of at most maxSlowdownBatch targets is
// polled whole. In a larger pool the slow targets, up to half of the batch, are polled in each round,
// so that a target that has recovered is not avoided for long, and the others in turn by id.
// nextBatch also returns the number of rounds until each target has been polled.
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

// pollTarget reads a target's report, records its slowdown as valid for the duration validFor, and
// reports whether the target is slow. For a target that does not answer it returns wasSlow.
func (c *SlowdownPoller) pollTarget(ctx context.Context, t blackboard.TargetAddress, wasSlow bool, validFor time.Duration) bool {
	report, err := c.readReport(ctx, t)
	if err != nil {
		c.Recorder.Log.Debug("failed to read the target's report", "target", t.ID, "error", err.Error())
		return wasSlow
	}
	now := time.Now()
	if c.Board.Targets.RecordStart(t.ID, report.Started, now) {
		c.Recorder.Log.Info("target restarted", "target", t.ID, "pool", t.Pool, "incarnation", report.Started, "from", "its report")
	}
	c.Board.Targets.SetSlowdown(t.ID, report.Slowdown, now.Add(validFor), now)
	slow := engine.Slowdown(report.Slowdown) > 1
	if slow != wasSlow {
		c.Recorder.Log.Info("target's slowdown changed", "target", t.ID, "pool", t.Pool, "pace", report.Slowdown, "slow", slow)
	}
	return slow
}

// readReport requests a target's report. It also records the notice in the headers of the answer,
// in which the target says whether it is draining, wants no calls for a while or has a rate limit.
func (c *SlowdownPoller) readReport(ctx context.Context, t blackboard.TargetAddress) (forward.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, slowdownTimeout)
	defer cancel()
	request := c.Exchanger.Dialect.ReportMessage(t.ID)
	reply, err := c.Exchanger.Send(ctx, t.Address, &request)
	if err != nil {
		return forward.Report{}, err
	}
	defer c.Exchanger.Close(reply)
	c.Recorder.RecordNotice(t.Pool, t.ID, reply.TargetNotice(), reply.Sent)
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxReportSize))
	if err != nil {
		return forward.Report{}, errors.Wrap(err, "read the report")
	}
	if reply.Status != http.StatusOK {
		return forward.Report{}, errors.New(fmt.Sprintf("the target answered %d", reply.Status))
	}
	return c.Exchanger.Dialect.ReadReport(body)
}
