// Package soak runs the daemons as separate processes on one machine, between stand-ins
// for the platform's store, for targets and for callers, and injects faults from outside:
// signals, links that fail, targets that misbehave, changes of the configuration. While it
// runs it writes down what callers and targets see, and judges that against the promises.
//
// A run follows a plan that a seed determines. Plan and judge are pure; the processes,
// links and clocks between them are not, so the same seed repeats the faults and not the
// interleaving.
package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault or of planned work.
type Kind string

// The kinds. The first group are planned work, around which nothing may be lost.
const (
	Term        Kind = "term"   // a daemon is asked to end, and started again
	Hup         Kind = "hup"    // a daemon is told that its settings file has changed
	Config      Kind = "config" // the operators publish a new configuration
	TargetDrain Kind = "leave"  // a target drains and leaves, and another one comes

	Kill    Kind = "kill"  // a daemon is killed, and started again
	Suspend Kind = "pause" // a daemon stands still for a while

	FrontendDelay  Kind = "front-delay" // what callers and a daemon say comes late
	FrontendReset  Kind = "front-reset" // their connections are reset
	FrontendOneWay Kind = "front-oneway"
	FrontendSilent Kind = "front-silent"

	TargetReset    Kind = "target-reset" // the same between daemons and a target
	TargetOneWay   Kind = "target-oneway"
	TargetSilent   Kind = "target-silent"
	TargetFailures Kind = "target-fails" // a target breaks off, errs, hangs and turns away

	StoreRefuse       Kind = "store-refuse" // the store's connections are refused
	StoreSilent       Kind = "store-silent"
	StoreReset        Kind = "store-reset"
	StoreDropHistory  Kind = "store-forget" // the store drops its history
	StoreStallWatches Kind = "store-mute"   // watches hear of nothing
)

// plannedKinds are the kinds that are no fault.
var plannedKinds = []Kind{Term, Hup, Config, TargetDrain}

// faultKinds are the faults. Those of targets stand several times: each strikes one of
// several targets, and what is promised of calls that may have run shows only there.
var faultKinds = []Kind{
	Kill, Suspend, FrontendDelay, FrontendReset, FrontendOneWay, FrontendSilent,
	TargetFailures, TargetFailures, TargetFailures, TargetFailures,
	TargetReset, TargetReset, TargetReset, TargetOneWay, TargetSilent,
	StoreRefuse, StoreSilent, StoreReset, StoreDropHistory, StoreStallWatches,
}

// Planned tells whether a kind is planned work.
func (k Kind) Planned() bool { return slices.Contains(plannedKinds, k) }

// Event is a fault or a step of planned work.
type Event struct {
	// At is when it begins, from the start of the run; For is how long it lasts.
	Start, Duration time.Duration
	Kind            Kind
	// Which is the number of the daemon or target; it is reduced to those there are.
	Selector int
}

// The pace of a plan.
const (
	// meanInterval is the mean time between two events that are not of one series.
	meanInterval = 350 * time.Millisecond
	// phase is how long only planned work is done, by turns with everything.
	phaseDuration = 5 * time.Second
	// burstShare of the events come as a series of burstLength of their kind, burstInterval apart.
	burstShare    = 0.2
	burstLength   = 3
	burstInterval = 250 * time.Millisecond
	// shortest and longest bound how long a fault lasts.
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
)

// NewPlan draws the events of a run; all of them are over at the length.
func NewPlan(seed uint64, length time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, 0))
	var plan []Event
	add := func(e Event) {
		if e.Start+e.Duration <= length {
			plan = append(plan, e)
		}
	}
	for at := meanInterval; at < length; at += randomDuration(rng, 2*meanInterval) {
		kinds := plannedKinds
		if at/phaseDuration%2 == 1 {
			kinds = faultKinds
			if rng.Float64() < 0.25 {
				kinds = plannedKinds
			}
		}
		e := Event{Start: at, Duration: minFaultDuration + randomDuration(rng, maxFaultDuration-minFaultDuration), Kind: kinds[rng.IntN(len(kinds))], Selector: rng.IntN(1000)}
		add(e)
		if rng.Float64() >= burstShare {
			continue
		}
		for i := 1; i < burstLength; i++ {
			e.Start, e.Selector = e.Start+burstInterval, e.Selector+1
			add(e)
		}
	}
	return addRateLimitEvent(addNoticeEvents(addRestartEvents(plan, seed, length), seed, length), seed, length)
}

// randomDuration is a time below a bound.
func randomDuration(rng *rand.Rand, below time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(below)))
}
