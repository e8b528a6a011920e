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

// Paces asks the engines of the pools that this daemon coordinates how fast they work. An
// engine that turns slow says so nowhere else, and takes several times as long for what it is
// given.
type Paces struct {
	Board    *blackboard.Blackboard
	Exchange *target.Exchanger
	Record   *telemetry.Recorder
	// Coordinates tells whether this daemon places the calls of a pool for all.
	Coordinates func(pool string) bool

	// pools is what is remembered of each pool.
	pools map[string]*pacedPool
}

// pacedPool is what is remembered of a pool between two rounds of questions.
type pacedPool struct {
	next time.Time       // when it is asked next
	slow map[string]bool // targets that last said that they are slow
	last string          // the target up to which those that are asked in turn have been
}

const (
	// paceEvery is the time between two questions to an engine, each of which is paid for.
	paceEvery = 2500 * time.Millisecond
	// paceTick is how soon a daemon notices that it has become a pool's coordinator.
	paceTick = 250 * time.Millisecond
	// paceTimeout bounds a question; paceParallel is the number of questions at a time.
	paceTimeout  = 300 * time.Millisecond
	paceParallel = 32
	// paceBatch is the most targets of a pool that are asked in a round: a question and its
	// report are some 0.3 KB and a connection, so the busiest daemon spends 18 KB/s and 160
	// connections on them, whatever the size of the pool.
	paceBatch = 160
	// maxReport bounds a report: 64 reservations and some models take a few KB.
	maxReport = 64 << 10
)

// Run asks until ctx ends.
func (c *Paces) Run(ctx context.Context) {
	c.pools = map[string]*pacedPool{}
	for ctx.Err() == nil {
		for _, pool := range c.Board.Targets.TimedPools() {
			p := c.pools[pool]
			if p == nil {
				p = &pacedPool{}
				c.pools[pool] = p
			}
			if c.Coordinates(pool) && time.Now().After(p.next) {
				p.next = time.Now().Add(paceEvery)
				c.askRound(ctx, p, c.Board.Targets.Askable(pool, time.Now()))
			}
		}
		Sleep(ctx, paceTick)
	}
}

// askRound asks the live targets of a pool whose turn it is.
func (c *Paces) askRound(ctx context.Context, p *pacedPool, live []blackboard.TargetAddress) {
	batch, rounds := p.round(live)
	holds := time.Duration(rounds)*paceEvery + paceTimeout + paceTick
	before, slow := p.slow, map[string]bool{}
	for _, t := range live {
		if before[t.ID] {
			slow[t.ID] = true
		}
	}
	slots := make(chan struct{}, paceParallel)
	var mu sync.Mutex // guards slow
	var asking sync.WaitGroup
	for _, t := range batch {
		slots <- struct{}{}
		asking.Go(func() {
			defer func() { <-slots }()
			isSlow := c.ask(ctx, t, before[t.ID], holds)
			mu.Lock()
			defer mu.Unlock()
			slow[t.ID] = isSlow
		})
	}
	asking.Wait()
	p.slow = slow
}

// round chooses whom to ask: all targets of a pool of paceBatch or fewer. Of a larger one those
// that were slow are asked in each round, so that one that works as usual again is not avoided
// for long, and the others in turn by id. It returns how many rounds it takes until each has
// been asked.
func (p *pacedPool) round(live []blackboard.TargetAddress) (batch []blackboard.TargetAddress, rounds int) {
	if len(live) <= paceBatch {
		return live, 1
	}
	var others []blackboard.TargetAddress
	for _, t := range live {
		if p.slow[t.ID] && len(batch) < paceBatch/2 {
			batch = append(batch, t)
		} else {
			others = append(others, t)
		}
	}
	slices.SortFunc(others, func(a, b blackboard.TargetAddress) int { return cmp.Compare(a.ID, b.ID) })
	inTurn := paceBatch - len(batch)
	after := slices.IndexFunc(others, func(t blackboard.TargetAddress) bool { return t.ID > p.last })
	for i := range min(inTurn, len(others)) {
		batch = append(batch, others[(max(0, after)+i)%len(others)])
	}
	p.last = batch[len(batch)-1].ID
	return batch, (len(others) + inTurn - 1) / inTurn
}

// ask takes in one target's report, which holds for so long, and tells whether the target is
// slow. One that does not answer is what it was.
func (c *Paces) ask(ctx context.Context, t blackboard.TargetAddress, before bool, holds time.Duration) bool {
	report, err := c.read(ctx, t)
	if err != nil {
		c.Record.Log.Debug("a target does not report", "target", t.ID, "error", err.Error())
		return before
	}
	now := time.Now()
	if c.Board.Targets.Started(t.ID, report.Started, now) {
		c.Record.Log.Info("target started anew", "target", t.ID, "pool", t.Pool, "incarnation", report.Started, "from", "its report")
	}
	c.Board.Targets.SetPace(t.ID, report.Slowdown, now.Add(holds), now)
	slow := engine.Slowdown(report.Slowdown) > 1
	if slow != before {
		c.Record.Log.Info("target's pace", "target", t.ID, "pool", t.Pool, "pace", report.Slowdown, "slow", slow)
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
	c.Record.Notice(t.Pool, t.ID, reply.TargetNotice(), reply.Sent)
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxReport))
	if err != nil {
		return forward.Report{}, errors.Wrap(err, "read the report")
	}
	if reply.Status != http.StatusOK {
		return forward.Report{}, errors.New(fmt.Sprintf("the target answered %d", reply.Status))
	}
	return c.Exchange.Dialect.ReadReport(body)
}
