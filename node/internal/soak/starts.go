package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// FleetStart is the kind of the disturbance in which all daemons lose power at once and start again while the store
// does not answer. It follows the plan, so that a seed keeps its meaning.
const FleetStart Kind = "fleet-start"

const (
	// minStoreSilence and maxStoreSilence bound how long the store does not answer after the daemons' start.
	minStoreSilence = time.Second
	maxStoreSilence = 2 * time.Second
	// longerSilence is added for odd seeds: the holds of calls end before the store answers.
	longerSilence = 2 * time.Second
	// startCallers is how many callers call the starting daemons; each pauses for startPause.
	startCallers = 12
	startPause   = 20 * time.Millisecond
	// maxHold bounds the time for which any call is held at a starting daemon, maxHoldShare its share of the
	// call's timeout. Callers drop a connection on which nothing was read for two seconds.
	maxHold      = 2 * time.Second
	maxHoldShare = 0.5
	// notReadyKind is the kind of failure in refusals of a daemon that has not started.
	notReadyKind = "not_ready"
)

// startFleet kills all daemons, starts them while the store is silent, and calls them until all are ready.
func (tb *testbed) startFleet(ctx context.Context, seed uint64) {
	defer tb.beginDisturbance(FleetStart, allDaemons)()
	rng := rand.New(rand.NewPCG(seed, 7))
	for _, p := range tb.daemons {
		p.stop(syscall.SIGKILL)
	}
	tb.storeLink.Set(Silent)
	for _, p := range tb.daemons {
		if err := p.start(); err != nil {
			panic(err) // The program exists: it was started before.
		}
	}
	callCtx, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range startCallers {
		callers.Go(func() {
			client := newClient()
			defer client.CloseIdleConnections()
			for n := i; callCtx.Err() == nil; n++ {
				path := paths[n%3]
				withTimeout, cancel := context.WithTimeout(context.WithoutCancel(ctx), path.Timeout+giveUpAfter)
				tb.call(withTimeout, client, i%len(tb.daemons), path)
				cancel()
				sleep(callCtx, startPause)
			}
		})
	}
	sleep(ctx, minStoreSilence+randomDuration(rng, maxStoreSilence-minStoreSilence)+longerSilence*time.Duration(seed%2))
	tb.storeLink.Set(NoFault)
	readyCtx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	for _, p := range tb.daemons {
		p.awaitReady(readyCtx)
	}
	stop()
	callers.Wait()
}

// checkHeld checks calls at starting daemons: none is held for longer than it may be, whether it is refused or served
// then, and a refused one is not executed, also if it may be repeated.
func checkHeld(r *Record, c *Call) string {
	bound := min(maxHold, time.Duration(maxHoldShare*float64(c.Timeout)))
	refused := c.Status == 503 && strings.Contains(c.Body, notReadyKind)
	executions, held := r.executionsOf(c.ID), c.Done.Sub(c.Sent)
	switch {
	case refused && len(executions) > 0:
		return fmt.Sprintf("HELD: refused by a starting daemon, but executed at %s", executions[0].Target)
	case len(executions) > 0 && r.sentDuringFleetStart(c):
		held = executions[0].Started.Sub(c.Sent) // All targets are idle then, so that a call waits for the start only.
	case !refused:
		return ""
	}
	if held > bound+answerSlack+loadSlack {
		return fmt.Sprintf("HELD: held by a starting daemon for %v, may be held for %v", held.Round(time.Millisecond), bound)
	}
	return ""
}

// sentDuringFleetStart reports whether a call was sent while the daemons started without the store.
func (r *Record) sentDuringFleetStart(c *Call) bool {
	return slices.ContainsFunc(r.Disturbances, func(d Disturbance) bool { return d.Kind == FleetStart && d.overlaps(c.Sent, c.Sent.Add(1)) })
}

// memoryReleaseTime is how long after the last call a daemon may still hold memory for calls.
const memoryReleaseTime = 5 * time.Second

// unreleasedMemory returns the bytes that each daemon holds for calls when no call is in flight, by the daemon's index;
// it waits up to memoryReleaseTime for their release.
func (tb *testbed) unreleasedMemory(ctx context.Context) map[int]float64 {
	held := map[int]float64{}
	for end := time.Now().Add(memoryReleaseTime); ; sleep(ctx, retryInterval) {
		total := 0.0
		for _, p := range tb.daemons {
			families, err := p.metrics(ctx)
			metrics := families["doorstack_call_memory_bytes"].GetMetric()
			if err != nil || len(metrics) != 1 {
				held[p.index] = -1 // Not known, which is a violation too.
			} else {
				held[p.index] = metrics[0].GetGauge().GetValue()
			}
			total += max(held[p.index], -held[p.index])
		}
		if total == 0 || time.Now().After(end) || ctx.Err() != nil {
			return held
		}
	}
}

// checkMemory checks that no daemon holds memory for calls when no call is in flight.
func checkMemory(r *Record) []Violation {
	var list []Violation
	for daemon, bytes := range r.UnreleasedMemory {
		if bytes != 0 {
			list = append(list, Violation{"MEMORY", fmt.Sprint("daemon ", daemon), fmt.Sprintf("holds %v bytes for calls, and none is in flight (-1: not known)", bytes)})
		}
	}
	return list
}
