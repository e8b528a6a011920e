package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Options of a run.
type Options struct {
	// Seed determines the plan; Length is how long faults are injected.
	Seed   uint64
	Length time.Duration
	Size   Size
	// Program is doorstackd; Dir gets the daemons' settings and logs.
	Program, Dir string
}

// Result is what a run has shown.
type Result struct {
	Violations []Violation
	// Calls is how many calls were made, Served how many of them had a whole success.
	Calls, Served int
	Events        int
}

// The times around the faults.
const (
	startWithin = 30 * time.Second
	// settle lets calls end, memory run out and watches notice, after the last fault.
	settle = 4 * time.Second
	// recoverWithin is the users' bound for serving again.
	recoverWithin = 12 * time.Second
)

// Do plays one run.
func Do(ctx context.Context, o Options) (*Result, error) {
	starting, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	w, err := newWorld(starting, o.Dir, o.Program, o.Size)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return nil, errors.Wrap(err, "start")
	}
	plan := NewPlan(o.Seed, o.Length)
	w.play(ctx, plan, o.Length)
	recovered := w.recovered(ctx)
	pause(ctx, settle)
	r := w.record()
	result := &Result{Violations: append(Judge(r), recovered...), Calls: len(r.Calls), Events: len(plan)}
	for i := range r.Calls {
		if r.Calls[i].Status == 200 && r.Calls[i].Whole {
			result.Served++
		}
	}
	return result, nil
}

// play lets callers call while the plan's events happen, and returns when all have ended.
func (w *world) play(ctx context.Context, plan []Event, length time.Duration) {
	calling, stop := context.WithCancel(ctx)
	var crowd, faults sync.WaitGroup
	crowd.Go(func() { w.balance(calling) })
	for range callers {
		crowd.Go(func() { w.caller(calling) })
	}
	began := time.Now()
	for _, e := range plan {
		pause(ctx, time.Until(began.Add(e.At)))
		faults.Go(func() { w.apply(ctx, e) })
	}
	pause(ctx, time.Until(began.Add(length)))
	faults.Wait()
	stop()
	crowd.Wait()
}

// recovered tells which daemons do not serve each path within the bound.
func (w *world) recovered(ctx context.Context) []Violation {
	ctx, cancel := context.WithTimeout(ctx, recoverWithin)
	defer cancel()
	var mu sync.Mutex
	var list []Violation
	var all sync.WaitGroup
	for _, p := range w.daemons {
		all.Go(func() {
			for _, path := range paths {
				if !w.servesAgain(ctx, p, path) {
					mu.Lock()
					list = append(list, Violation{"RECOVER", p.boot.Name, fmt.Sprintf("does not serve %s within %v", path.Prefix, recoverWithin)})
					mu.Unlock()
				}
			}
		})
	}
	all.Wait()
	return list
}

// tryEvery is the pause between two tries of a path.
const tryEvery = 100 * time.Millisecond

func (w *world) servesAgain(ctx context.Context, p *process, path *Path) bool {
	client := newClient()
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		if c := w.call(ctx, client, p.number, path, 0); c.Status == 200 && c.Whole && p.ready(ctx) {
			return true
		}
		pause(ctx, tryEvery)
	}
	return false
}
