package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// The kinds of events in which every second target becomes cold for a while, and in which some callers read
// their answers slowly. Their times are drawn from a random source of their own.
const (
	ColdTargets Kind = "cold-targets"
	SlowCallers Kind = "slow-callers"
)

const (
	// coldTime is how long the targets are cold; it fits into a phase of planned operations.
	coldTime = 4500 * time.Millisecond
	// coldPerSecond is how many calls a second a cold target bears from all daemons together, and
	// coldStart how long a target is cold after its start.
	coldPerSecond = 20
	coldStart     = 2 * time.Second
	// coldLearnTime is how long daemons may take to learn that a target is cold.
	coldLearnTime = 2 * time.Second
	// slowCallersTime is how long callers read slowly, slowShare the share of the calls concerned, and
	// readPause the pause of a slow caller after each part that it reads.
	slowCallersTime = 3 * time.Second
	slowShare       = 0.3
	readPause       = 15 * time.Millisecond
)

// The bounds that the users of doorstack set on calls to a cold target: within coldWindow at most coldFactor
// times the rate, plus coldSlack calls.
const (
	coldWindow = time.Second
	coldFactor = 1.5
	coldSlack  = 5
)

// ColdTime is the time in which a target was cold.
type ColdTime struct {
	Target   string
	From, To time.Time
}

// addColdEvents adds one event of each kind to a plan: cold targets at the start of a phase of planned operations
// without an evacuation, which would leave few targets for the calls, and slow callers at any time. A run that is
// too short for such a phase has no cold targets.
func addColdEvents(plan []Event, seed uint64, duration time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, 5))
	if starts := coldStarts(plan, duration); len(starts) > 0 {
		plan = append(plan, Event{Start: starts[rng.IntN(len(starts))], Duration: coldTime, Kind: ColdTargets, Selector: rng.IntN(1000)})
	}
	if duration > slowCallersTime {
		plan = append(plan, Event{Start: randomDuration(rng, duration-slowCallersTime), Duration: slowCallersTime, Kind: SlowCallers})
	}
	slices.SortStableFunc(plan, func(a, b Event) int { return int(a.Start - b.Start) })
	return plan
}

// coldStarts returns the starts of the phases of planned operations in which targets may be cold.
func coldStarts(plan []Event, duration time.Duration) []time.Duration {
	var starts []time.Duration
	for start := time.Duration(0); start+coldTime <= duration; start += 2 * phaseDuration {
		evacuated := slices.ContainsFunc(plan, func(e Event) bool {
			return e.Kind == Evacuation && e.Start < start+coldTime && e.Start+e.Duration > start
		})
		if !evacuated {
			starts = append(starts, start)
		}
	}
	return starts
}

// coolTargets makes every second target cold for the event's duration.
func (tb *testbed) coolTargets(ctx context.Context, e Event) {
	half := tb.everySecondTarget(e.Selector)
	from := time.Now()
	for _, b := range half {
		tb.putColdEntry(b, e.Duration)
	}
	sleep(ctx, e.Duration)
	to := time.Now()
	for _, b := range half {
		tb.putColdEntry(b, 0)
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, b := range half {
		tb.cold = append(tb.cold, ColdTime{b.target.ID, from, to})
	}
}

// putColdEntry writes a target's entry with the time for which it is cold, unless it drains or was removed.
func (tb *testbed) putColdEntry(b *backend, coldFor time.Duration) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if slices.Contains(tb.backends, b) {
		tb.store.PutColdTarget(b.target, b.link.Address(), b.service, targetSlots, coldFor)
	}
}

// slowCallersDown makes some callers read slowly for the event's duration.
func (tb *testbed) slowCallersDown(ctx context.Context, e Event) {
	tb.callersAreSlow.Store(true)
	sleep(ctx, e.Duration)
	tb.callersAreSlow.Store(false)
}

// pauseOfCaller draws the pause after each part of an answer that a caller reads.
func (tb *testbed) pauseOfCaller() time.Duration {
	if tb.callersAreSlow.Load() && rand.Float64() < slowShare {
		return readPause
	}
	return 0
}

// delaysNews reports whether an event of a kind may keep daemons from learning of changes in the store.
func delaysNews(k Kind) bool {
	return slices.Contains([]Kind{Suspend, StoreRefuse, StoreSilent, StoreReset, StoreDropHistory, StoreStallWatches, StoreRestore}, k)
}

// checkColdTargets checks that no window has more calls to a cold target than the bounds allow, once the daemons
// must know that it is cold, unless something kept the news from them.
func checkColdTargets(r *Record) []Violation {
	arrivals := map[string][]time.Time{}
	for _, executions := range r.Executions {
		for _, execution := range executions {
			arrivals[execution.Target] = append(arrivals[execution.Target], execution.Started)
		}
	}
	var list []Violation
	for _, cold := range r.Cold {
		if !r.undisturbedByAny(cold.From.Add(-undisturbedBefore), cold.To, delaysNews) {
			continue
		}
		counted := slices.DeleteFunc(slices.Clone(arrivals[cold.Target]), func(at time.Time) bool {
			return at.Before(cold.From.Add(coldLearnTime)) || !at.Before(cold.To)
		})
		slices.SortFunc(counted, time.Time.Compare)
		if most, allowed := maxWithin(counted, coldWindow), coldFactor*coldPerSecond+coldSlack; most > int(allowed) {
			list = append(list, Violation{"COLD", cold.Target, fmt.Sprintf("cold, bears %d calls a second and got %d in %v, allowed %d", coldPerSecond, most, coldWindow, int(allowed))})
		}
	}
	return list
}

// undisturbedByAny reports whether no disturbance of the kinds that matter affected any daemon between two times.
func (r *Record) undisturbedByAny(from, to time.Time, matters func(Kind) bool) bool {
	return !slices.ContainsFunc(r.Disturbances, func(d Disturbance) bool { return matters(d.Kind) && d.overlaps(from, to) })
}
