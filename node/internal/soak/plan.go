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
	Term   Kind = "term"   // a daemon is asked to end, and started again
	Hup    Kind = "hup"    // a daemon is told that its settings file has changed
	Config Kind = "config" // the operators publish a new configuration
	Leave  Kind = "leave"  // a target drains and leaves, and another one comes

	Kill  Kind = "kill"  // a daemon is killed, and started again
	Pause Kind = "pause" // a daemon stands still for a while

	FrontDelay  Kind = "front-delay" // what callers and a daemon say comes late
	FrontReset  Kind = "front-reset" // their connections are reset
	FrontOneWay Kind = "front-oneway"
	FrontSilent Kind = "front-silent"

	TargetReset  Kind = "target-reset" // the same between daemons and a target
	TargetOneWay Kind = "target-oneway"
	TargetSilent Kind = "target-silent"
	TargetFails  Kind = "target-fails" // a target breaks off, errs, hangs and turns away

	StoreRefuse Kind = "store-refuse" // the store's connections are refused
	StoreSilent Kind = "store-silent"
	StoreReset  Kind = "store-reset"
	StoreForget Kind = "store-forget" // the store drops its history
	StoreMute   Kind = "store-mute"   // watches hear of nothing
)

// planned are the kinds that are no fault.
var planned = []Kind{Term, Hup, Config, Leave}

// unplanned are the faults. Those of targets stand several times: each strikes one of
// several targets, and what is promised of calls that may have run shows only there.
var unplanned = []Kind{
	Kill, Pause, FrontDelay, FrontReset, FrontOneWay, FrontSilent,
	TargetFails, TargetFails, TargetFails, TargetFails,
	TargetReset, TargetReset, TargetReset, TargetOneWay, TargetSilent,
	StoreRefuse, StoreSilent, StoreReset, StoreForget, StoreMute,
}

// Planned tells whether a kind is planned work.
func (k Kind) Planned() bool { return slices.Contains(planned, k) }

// Event is a fault or a step of planned work.
type Event struct {
	// At is when it begins, from the start of the run; For is how long it lasts.
	At, For time.Duration
	Kind    Kind
	// Which is the number of the daemon or target; it is reduced to those there are.
	Which int
}

// The pace of a plan.
const (
	// meanGap is the mean time between two events that are not of one series.
	meanGap = 350 * time.Millisecond
	// phase is how long only planned work is done, by turns with everything.
	phase = 5 * time.Second
	// seriesShare of the events come as a series of seriesOf of their kind, seriesGap apart.
	seriesShare = 0.2
	seriesOf    = 3
	seriesGap   = 250 * time.Millisecond
	// shortest and longest bound how long a fault lasts.
	shortest = 300 * time.Millisecond
	longest  = 2500 * time.Millisecond
)

// NewPlan draws the events of a run; all of them are over at the length.
func NewPlan(seed uint64, length time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, 0))
	var plan []Event
	add := func(e Event) {
		if e.At+e.For <= length {
			plan = append(plan, e)
		}
	}
	for at := meanGap; at < length; at += draw(rng, 2*meanGap) {
		kinds := planned
		if at/phase%2 == 1 {
			kinds = unplanned
			if rng.Float64() < 0.25 {
				kinds = planned
			}
		}
		e := Event{At: at, For: shortest + draw(rng, longest-shortest), Kind: kinds[rng.IntN(len(kinds))], Which: rng.IntN(1000)}
		add(e)
		if rng.Float64() >= seriesShare {
			continue
		}
		for i := 1; i < seriesOf; i++ {
			e.At, e.Which = e.At+seriesGap, e.Which+1
			add(e)
		}
	}
	return withLimits(withWords(withAnew(plan, seed, length), seed, length), seed, length)
}

// draw is a time below a bound.
func draw(rng *rand.Rand, below time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(below)))
}
