package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"doorstack.dev/platform/standin"
)

// Duplicate is a request that may run once and that its caller sent several times under one id.
type Duplicate struct {
	ID string
	// Arrivals are the daemons to which it was sent, in order, and Statuses what they answered; 0 stands for no answer.
	Arrivals, Statuses []int
}

// The behaviour of the callers that send duplicates: half of the requests go to two daemons at once, the others have a short
// timeout and are sent again after it.
const (
	// minShortTimeout and maxShortTimeout bound the timeouts that are declared to the daemon, resendPause follows the answer.
	minShortTimeout = 5 * time.Millisecond
	maxShortTimeout = 65 * time.Millisecond
	resendPause     = 30 * time.Millisecond
	shortAttempts   = 3
	// minSuspension and maxSuspension bound for how long a daemon is suspended; one is at any time.
	minSuspension = 300 * time.Millisecond
	maxSuspension = 1800 * time.Millisecond
)

// playDuplicates lets all callers send duplicates for a time, while one daemon after the other is suspended.
func (tb *testbed) playDuplicates(ctx context.Context, duration time.Duration) {
	callCtx, stop := context.WithTimeout(ctx, duration)
	defer stop()
	var work sync.WaitGroup
	work.Go(func() {
		for i := 0; callCtx.Err() == nil; i++ {
			tb.suspendDaemon(ctx, tb.daemons[i%len(tb.daemons)], minSuspension+rand.N(maxSuspension-minSuspension))
		}
	})
	for range callerCount {
		work.Go(func() {
			client := newClient()
			defer client.CloseIdleConnections()
			for callCtx.Err() == nil {
				d := Duplicate{ID: tb.calls.newID()}
				if rand.IntN(2) == 0 {
					tb.sendTwice(ctx, client, &d)
				} else {
					tb.sendImpatiently(ctx, client, &d)
				}
				tb.calls.addDuplicate(d)
				sleep(callCtx, rand.N(maxThinkTime))
			}
		})
	}
	work.Wait()
}

// sendTwice sends a request to two daemons at once.
func (tb *testbed) sendTwice(ctx context.Context, client *http.Client, d *Duplicate) {
	first := rand.IntN(len(tb.daemons))
	d.Arrivals = []int{first, (first + 1 + rand.IntN(len(tb.daemons)-1)) % len(tb.daemons)}
	d.Statuses = make([]int, len(d.Arrivals))
	var sends sync.WaitGroup
	for i, daemon := range d.Arrivals {
		sends.Go(func() { d.Statuses[i] = tb.sendArrival(ctx, client, d.ID, daemon, unsafePath.Timeout) })
	}
	sends.Wait()
}

// sendImpatiently sends a request with a short timeout, and again after each answer that is no success.
func (tb *testbed) sendImpatiently(ctx context.Context, client *http.Client, d *Duplicate) {
	timeout := minShortTimeout + rand.N(maxShortTimeout-minShortTimeout)
	daemon := rand.IntN(len(tb.daemons))
	for range shortAttempts {
		status := tb.sendArrival(ctx, client, d.ID, daemon, timeout)
		d.Arrivals, d.Statuses = append(d.Arrivals, daemon), append(d.Statuses, status)
		if status == http.StatusOK {
			return
		}
		sleep(ctx, resendPause)
		if rand.IntN(2) == 0 {
			daemon = rand.IntN(len(tb.daemons))
		}
	}
}

// sendArrival sends one arrival of a request and returns the status of the answer, or 0 if there was none.
func (tb *testbed) sendArrival(ctx context.Context, client *http.Client, id string, daemon int, timeout time.Duration) int {
	ctx, cancel := context.WithTimeout(ctx, timeout+giveUpAfter)
	defer cancel()
	request := &standin.CallerRequest{
		Daemon: tb.daemons[daemon].frontend.Address(), Host: callHost, Path: unsafePath.Prefix + "x", ID: id, APIKey: apiKeyPrefix + accountName,
		DeadlineMS: max(1, int(timeout.Milliseconds())), Body: "a body",
	}
	return request.Do(ctx, client).Status
}

// checkDuplicates checks that each duplicate was executed at most once. All daemons keep their state while they are sent.
func checkDuplicates(r *Record) []Violation {
	var list []Violation
	for _, d := range r.Duplicates {
		if n := len(r.executionsOf(d.ID)); n > 1 {
			list = append(list, Violation{"TWICE", d.ID, fmt.Sprintf("%d executions of a request that was sent to the daemons %v, which answered %v", n, d.Arrivals, d.Statuses)})
		}
	}
	return list
}

// reachedByDuplicates says how often duplicates were answered with each status.
func (r *Record) reachedByDuplicates() string {
	statuses, executed := map[int]int{}, 0
	for _, d := range r.Duplicates {
		for _, status := range d.Statuses {
			statuses[status]++
		}
		executed += min(1, len(r.executionsOf(d.ID)))
	}
	return fmt.Sprintf("%d duplicates, %d executed, answers by status %v", len(r.Duplicates), executed, statuses)
}
