package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// The limit that the users of doorstack set on repeats, the sends of calls to targets after their first: in each window at
// most repeatShare of the service's calls plus repeatSlack, over all daemons. The calls are those of the window, the one
// before it or the one half a window before it, whichever has most.
const (
	repeatShare  = 0.2
	repeatSlack  = 100
	repeatWindow = 10 * time.Second
)

// repeatCount is the number of repeats of a service's calls in the window with the most of them, and what is allowed there.
type repeatCount struct {
	service string
	repeats int
	allowed float64
}

// checkRepeats checks that no window has more repeats of a service's calls than the limit allows.
func checkRepeats(r *Record) []Violation {
	var list []Violation
	for _, c := range r.mostRepeats() {
		if float64(c.repeats) > c.allowed {
			list = append(list, Violation{"BUDGET", c.service, fmt.Sprintf("%d repeats in %v, allowed %.0f", c.repeats, repeatWindow, c.allowed)})
		}
	}
	return list
}

// mostRepeats counts the repeats of each service.
func (r *Record) mostRepeats() []repeatCount {
	calls, repeats := map[string][]time.Time{}, map[string][]time.Time{}
	for i := range r.Calls {
		c := &r.Calls[i]
		calls[c.Path.Service] = append(calls[c.Path.Service], c.Sent)
		repeats[c.Path.Service] = append(repeats[c.Path.Service], repeatsOf(r.Executions[c.ID])...)
	}
	var list []repeatCount
	for service, sent := range repeats {
		most := repeatCount{service: service, allowed: repeatSlack}
		for _, end := range sent {
			requests := max(countUntil(calls[service], end), countUntil(calls[service], end.Add(-repeatWindow/2)), countUntil(calls[service], end.Add(-repeatWindow)))
			c := repeatCount{service, countUntil(sent, end), repeatShare*float64(requests) + repeatSlack}
			if float64(c.repeats)/c.allowed > float64(most.repeats)/most.allowed {
				most = c
			}
		}
		list = append(list, most)
	}
	return list
}

// countUntil counts the times in the window that ends at a time.
func countUntil(times []time.Time, end time.Time) (n int) {
	for _, at := range times {
		if at.After(end.Add(-repeatWindow)) && !at.After(end) {
			n++
		}
	}
	return n
}

// repeatsOf returns when the executions after the first started.
func repeatsOf(executions []Execution) (repeats []time.Time) {
	started := make([]time.Time, 0, len(executions))
	for _, e := range executions {
		started = append(started, e.Started)
	}
	slices.SortFunc(started, time.Time.Compare)
	if len(started) > 1 {
		repeats = started[1:]
	}
	return repeats
}

// The events of newFailingTargetsPlan.
const (
	// failingTime is longer than repeatWindow, so that a whole window has failing targets and restarts.
	failingTime = 14 * time.Second
	// targetFailInterval is the time between the starts of two failures, of up to maxFaultDuration each, so that most
	// targets fail at any time.
	targetFailInterval = 150 * time.Millisecond
	// restartInterval is short enough for several restarts of each daemon in a window.
	restartInterval = 600 * time.Millisecond
)

// newFailingTargetsPlan draws a plan in which most targets fail calls while daemons are stopped and killed in series.
func newFailingTargetsPlan(seed uint64) []Event {
	rng := rand.New(rand.NewPCG(seed, 8))
	var plan []Event
	for at := time.Duration(0); at < failingTime; at += targetFailInterval {
		plan = append(plan, Event{Start: at, Duration: maxFaultDuration, Kind: TargetFailures, Selector: rng.IntN(1000)})
	}
	for at := restartInterval; at < failingTime; at += restartInterval {
		kind := Term
		if rng.IntN(2) == 0 {
			kind = Kill
		}
		plan = append(plan, Event{Start: at, Kind: kind, Selector: rng.IntN(1000)})
	}
	slices.SortStableFunc(plan, func(a, b Event) int { return int(a.Start - b.Start) })
	return plan
}
