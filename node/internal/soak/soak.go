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
	Seed     uint64
	Duration time.Duration
	Size     Size
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
	startTimeout = 30 * time.Second
	// settle lets calls end, memory run out and watches notice, after the last fault.
	settleTime = 4 * time.Second
	// recoveryTimeout is the users' bound for serving again.
	recoveryTimeout = 12 * time.Second
)

// RunOnce plays one run.
func RunOnce(ctx context.Context, o Options) (*Result, error) {
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	w, err := newTestbed(starting, o.Dir, o.Program, o.Size)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return nil, errors.Wrap(err, "start")
	}
	plan := NewPlan(o.Seed, o.Duration)
	w.runPlan(ctx, plan, o.Duration)
	recovered := w.checkRecovery(ctx)
	sleep(ctx, settleTime)
	r := w.collectRecord()
	result := &Result{Violations: append(Judge(r), recovered...), Calls: len(r.Calls), Events: len(plan)}
	for i := range r.Calls {
		if r.Calls[i].Status == 200 && r.Calls[i].Complete {
			result.Served++
		}
	}
	return result, nil
}

// play lets callers call while the plan's events happen, and returns when all have ended.
func (w *testbed) runPlan(ctx context.Context, plan []Event, length time.Duration) {
	calling, stop := context.WithCancel(ctx)
	var crowd, faults sync.WaitGroup
	crowd.Go(func() { w.pollReadiness(calling) })
	for range callerCount {
		crowd.Go(func() { w.runCaller(calling) })
	}
	began := time.Now()
	for _, e := range plan {
		sleep(ctx, time.Until(began.Add(e.Start)))
		faults.Go(func() { w.apply(ctx, e) })
	}
	sleep(ctx, time.Until(began.Add(length)))
	faults.Wait()
	stop()
	crowd.Wait()
}

// recovered tells which daemons do not serve each path within the bound.
func (w *testbed) checkRecovery(ctx context.Context) []Violation {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	var mu sync.Mutex
	var list []Violation
	var all sync.WaitGroup
	for _, p := range w.daemons {
		all.Go(func() {
			for _, path := range paths {
				if !w.awaitSuccess(ctx, p, path) {
					mu.Lock()
					list = append(list, Violation{"RECOVER", p.boot.Name, fmt.Sprintf("does not serve %s within %v", path.Prefix, recoveryTimeout)})
					mu.Unlock()
				}
			}
		})
	}
	all.Wait()
	return list
}

// retryInterval is the pause between two tries of a path.
const retryInterval = 100 * time.Millisecond

func (w *testbed) awaitSuccess(ctx context.Context, p *process, path *Path) bool {
	client := newClient()
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		if c := w.call(ctx, client, p.index, path, 0); c.Status == 200 && c.Complete && p.ready(ctx) {
			return true
		}
		sleep(ctx, retryInterval)
	}
	return false
}
