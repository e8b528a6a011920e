// Package worker is the pool of goroutines that place waiting requests. Each
// takes the name of a pool of targets whose queue may have work, and offers the
// queue's requests to the targets.
package worker

import (
	"context"
	"sync"
	"time"

	"doorstack.dev/node/blackboard"
)

// Pool is a number of workers over one blackboard.
type Pool struct {
	Board *blackboard.Blackboard
	// Size is the number of workers.
	Size int
}

// wakeInterval is how often queues are looked at without any event, because reports age
// and waiting requests move up.
const wakeInterval = 50 * time.Millisecond

// Run works until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for range p.Size {
		wg.Go(func() { p.dispatch(ctx) })
	}
	ticker := time.NewTicker(wakeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			wg.Wait()
			return
		case <-ticker.C:
			p.Board.Queues.WakeAll()
		}
	}
}

func (p *Pool) dispatch(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case pool := <-p.Board.Queues.Dirty():
			p.Board.Queues.Dispatch(pool, p.Board.Targets, time.Now())
		}
	}
}
