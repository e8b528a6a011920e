package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Options configures a run.
type Options struct {
	// Seed determines the plan; Duration is how long faults are injected.
	Seed     uint64
	Duration time.Duration
	Size     Size
	// FailingTargets adds a time in which most targets fail calls while daemons are stopped and killed in series.
	FailingTargets bool
	// Restores is how many restores of the store are played after the plan, one after the other.
	Restores int
	// Program is the path of doorstackd; the daemons' settings and logs are written to Dir.
	Program, Dir string
}

// Result holds the violations found in a run and its size.
type Result struct {
	Violations []Violation
	// Calls is how many calls were made, Served how many of them got a complete answer with
	// status 200.
	Calls, Served int
	Events        int
	// Reached tells how much of what a run is meant to bring about it did.
	Reached string
}

// The times before the first fault and after the last.
const (
	startTimeout = 30 * time.Second
	// settleTime, after the recovery check, lets calls end, reservations expire and watches
	// report.
	settleTime = 4 * time.Second
	// recoveryTimeout is the bound that the users of doorstack set for serving every route again
	// after the last fault.
	recoveryTimeout = 12 * time.Second
	// duplicatesShare divides the time of the plan: for so long callers send duplicates after it.
	duplicatesShare = 2
)

// RunOnce starts the daemons and stand-ins, executes the plan of o.Seed and judges what was
// recorded. An error means that the daemons did not start.
func RunOnce(ctx context.Context, o Options) (*Result, error) {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	tb, err := newTestbed(startCtx, o.Dir, o.Program, o.Size)
	if tb != nil {
		defer tb.close()
	}
	if err != nil {
		return nil, errors.Wrap(err, "start")
	}
	plan := NewPlan(o.Seed, o.Duration)
	tb.runPlan(ctx, plan, o.Duration)
	unrecovered := tb.checkRecovery(ctx)
	tb.planSteps.Steps = map[string]map[string][]float64{}
	_ = tb.addSteps(ctx, &tb.planSteps, 1) // They are printed only.
	if o.FailingTargets {
		tb.runPlan(ctx, newFailingTargetsPlan(o.Seed), failingTime)
		unrecovered = append(unrecovered, tb.checkRecovery(ctx)...)
		tb.playDuplicates(ctx, o.Duration/duplicatesShare)
		unrecovered = append(unrecovered, tb.checkRecovery(ctx)...)
	}
	tb.playRestores(ctx, o.Seed, o.Restores)
	unrecovered = append(unrecovered, tb.checkRecovery(ctx)...)
	tb.playQuietly(ctx, o.Seed)
	tb.flood(ctx)
	tb.startFleet(ctx, o.Seed)
	unrecovered = append(unrecovered, tb.checkRecovery(ctx)...)
	tb.rounds = tb.playRounds(ctx)
	sleep(ctx, settleTime)
	tb.heldMemory = tb.unreleasedMemory(ctx)
	record := tb.collectRecord()
	result := &Result{Violations: append(Judge(record), unrecovered...), Calls: len(record.Calls), Events: len(plan)}
	for i := range record.Calls {
		if record.Calls[i].Status == 200 && record.Calls[i].Complete {
			result.Served++
		}
	}
	result.Reached = record.reached()
	return result, nil
}

// runPlan makes calls while it applies the plan's events, and returns when all calls and
// events have ended.
func (tb *testbed) runPlan(ctx context.Context, plan []Event, duration time.Duration) {
	callCtx, stop := context.WithCancel(ctx)
	var callers, faults sync.WaitGroup
	callers.Go(func() { tb.pollReadiness(callCtx) })
	for range callerCount {
		callers.Go(func() { tb.runCaller(callCtx) })
	}
	started := time.Now()
	for _, e := range plan {
		sleep(ctx, time.Until(started.Add(e.Start)))
		faults.Go(func() { tb.apply(ctx, e) })
	}
	sleep(ctx, time.Until(started.Add(duration)))
	faults.Wait()
	stop()
	callers.Wait()
}

// checkRecovery lists each daemon and path that is not served within recoveryTimeout.
func (tb *testbed) checkRecovery(ctx context.Context) []Violation {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	var mu sync.Mutex
	var list []Violation
	var checks sync.WaitGroup
	for _, p := range tb.daemons {
		checks.Go(func() {
			for _, path := range paths {
				if !tb.awaitSuccess(ctx, p, path) {
					mu.Lock()
					list = append(list, Violation{"RECOVER", p.boot.Name, fmt.Sprintf("does not serve %s within %v", path.Prefix, recoveryTimeout)})
					mu.Unlock()
				}
			}
		})
	}
	checks.Wait()
	return list
}

// retryInterval is the pause between two calls of awaitSuccess.
const retryInterval = 100 * time.Millisecond

// awaitSuccess reports whether a call on the path succeeds, and the daemon is ready after it,
// before ctx ends.
func (tb *testbed) awaitSuccess(ctx context.Context, p *process, path *Path) bool {
	client := newClient()
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		if c := tb.call(ctx, client, p.index, path); c.Status == 200 && c.Complete && p.ready(ctx) {
			return true
		}
		sleep(ctx, retryInterval)
	}
	return false
}
