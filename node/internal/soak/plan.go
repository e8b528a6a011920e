// Package soak is a fault-injection test of the daemons. A run starts them as separate
// processes on one machine, with stand-ins for the platform's store, the targets and the
// callers, and injects faults from outside: signals, failing links, failing targets and
// configuration changes. It records what callers and targets observe and lists the
// guarantees of the system that the record violates.
//
// A seed determines a run's plan of faults. Plan and judge are pure functions; processes,
// links and clocks are real, so the same seed repeats the faults but not their
// interleaving with the calls.
package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault or of planned operation.
type Kind string

// The kinds of events that NewPlan draws itself; restarts.go, notices.go, limits.go, evacuations.go, cold.go, peerlinks.go, parts.go and cuts.go add more.
// The first group are planned operations, during which no call may be lost.
const (
	Term        Kind = "term"   // a daemon gets SIGTERM and is started again
	Hup         Kind = "hup"    // a daemon gets SIGHUP, to read its settings file again
	Config      Kind = "config" // a new configuration is published
	TargetDrain Kind = "leave"  // a target drains and is removed, and a new one is added

	Kill    Kind = "kill"  // a daemon gets SIGKILL and is started again
	Suspend Kind = "pause" // a daemon is stopped by SIGSTOP for a time

	FrontendDelay  Kind = "front-delay"  // all data between callers and a daemon is delayed
	FrontendReset  Kind = "front-reset"  // connections between callers and a daemon are reset
	FrontendOneWay Kind = "front-oneway" // the daemon's answers are held back
	FrontendSilent Kind = "front-silent" // data in both directions is held back

	TargetReset    Kind = "target-reset"  // connections between daemons and a target are reset
	TargetOneWay   Kind = "target-oneway" // a target's answers are held back
	TargetSilent   Kind = "target-silent" // data between daemons and a target is held back
	TargetFailures Kind = "target-fails"  // targets close connections, return errors, hang and reject calls

	StoreRefuse       Kind = "store-refuse" // for a time all connections to the store are reset, also new ones
	StoreSilent       Kind = "store-silent" // data between daemons and the store is held back
	StoreReset        Kind = "store-reset"  // some open connections to the store are reset, once
	StoreDropHistory  Kind = "store-forget" // the store discards its history of changes
	StoreStallWatches Kind = "store-mute"   // watches get no changes
)

// plannedKinds are the planned operations.
var plannedKinds = []Kind{Term, Hup, Config, TargetDrain}

// faultKinds are the faults. Some target faults are listed several times and so drawn more
// often: each affects only some of the targets, and no other faults test the guarantees on
// calls that a target may already have executed.
var faultKinds = []Kind{
	Kill, Suspend, FrontendDelay, FrontendReset, FrontendOneWay, FrontendSilent,
	TargetFailures, TargetFailures, TargetFailures, TargetFailures,
	TargetReset, TargetReset, TargetReset, TargetOneWay, TargetSilent,
	StoreRefuse, StoreSilent, StoreReset, StoreDropHistory, StoreStallWatches,
}

// Planned reports whether the kind is a planned operation.
func (k Kind) Planned() bool { return slices.Contains(plannedKinds, k) }

// Event is a fault or a planned operation of a plan.
type Event struct {
	// Start is when the event begins, from the start of the run; Duration is how long it lasts.
	Start, Duration time.Duration
	Kind            Kind
	// Selector is a random number. Its remainders choose the daemon or target and, where an event
	// has variants, the variant.
	Selector int
}

// The frequency and duration of the events.
const (
	// meanInterval is the mean time between two events that are not in one burst.
	meanInterval = 350 * time.Millisecond
	// phaseDuration is how long each phase lasts: phases with planned operations only and
	// phases with all kinds of events alternate.
	phaseDuration = 5 * time.Second
	// With a probability of burstShare an event begins a burst: burstLength events of its kind,
	// burstInterval apart.
	burstShare    = 0.2
	burstLength   = 3
	burstInterval = 250 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound the duration of a fault.
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
)

// NewPlan draws the events of a run, by start time; all of them end within the duration.
func NewPlan(seed uint64, duration time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, 0))
	var plan []Event
	add := func(e Event) {
		if e.Start+e.Duration <= duration {
			plan = append(plan, e)
		}
	}
	for at := meanInterval; at < duration; at += randomDuration(rng, 2*meanInterval) {
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
	plan = addNoticeEvents(addRestartEvents(plan, seed, duration), seed, duration)
	plan = addColdEvents(addEvacuationEvent(addRateLimitEvent(plan, seed, duration), seed, duration), seed, duration)
	return addPathCutEvents(addPartEvents(addPeerLinkEvents(plan, seed, duration), seed, duration), seed, duration)
}

// randomDuration returns a random duration below a bound.
func randomDuration(rng *rand.Rand, bound time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(bound)))
}
