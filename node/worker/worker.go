// Package worker runs the goroutines that place queued requests on targets. Each
// worker repeatedly takes the name of a target pool that was marked for dispatch,
// and dispatches the requests in that pool's queue.
package worker

import (
	"context"
	"sync"
	"time"

	"doorstack.dev/node/blackboard"
)

// Pool is a fixed number of workers that share one blackboard.
type Pool struct {
	Board *blackboard.Blackboard
	// Size is the number of workers.
	Size int
}

// wakeInterval is how often all queues are dispatched even without an event, since load
// reports become outdated and the priority of waiting requests rises.
const wakeInterval = 50 * time.Millisecond

// Run runs the workers until ctx ends.
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
		case pool := <-p.Board.Queues.Wakeups():
			p.Board.Queues.Dispatch(pool, p.Board.Targets, time.Now())
		}
	}
}
