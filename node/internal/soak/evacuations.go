package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Evacuation is the kind of the event in which the operators evacuate the data centre of every third
// target for a while. Its time is drawn from a random source of its own.
const Evacuation Kind = "evacuation"

const (
	// evacuatedCentre is the data centre that is evacuated; every thirdTarget is there.
	evacuatedCentre = "z2"
	thirdTarget     = 3
	// evacuationTime is how long an evacuation lasts; it fits into a phase of planned operations.
	evacuationTime = 4500 * time.Millisecond
	// evacuationApplyTime is how long daemons may take to apply an evacuation.
	evacuationApplyTime = 2 * time.Second
)

// EvacuatedTime is the time from the store's answer to the start of an evacuation to its end.
type EvacuatedTime struct{ From, To time.Time }

// addEvacuationEvent adds an evacuation at the start of a phase of planned operations to a plan.
func addEvacuationEvent(plan []Event, seed uint64, duration time.Duration) []Event {
	phases := int((duration - evacuationTime) / (2 * phaseDuration))
	if duration < evacuationTime {
		return plan
	}
	rng := rand.New(rand.NewPCG(seed, 4))
	start := 2*phaseDuration*time.Duration(rng.IntN(phases+1)) + randomDuration(rng, phaseDuration-evacuationTime)
	plan = append(plan, Event{Start: min(start, duration-evacuationTime), Duration: evacuationTime, Kind: Evacuation})
	slices.SortStableFunc(plan, func(a, b Event) int { return int(a.Start - b.Start) })
	return plan
}

// evacuate evacuates evacuatedCentre for the event's duration.
func (tb *testbed) evacuate(ctx context.Context, e Event) {
	tb.store.Evacuate(evacuatedCentre)
	from := time.Now()
	sleep(ctx, e.Duration)
	to := time.Now()
	tb.store.EndEvacuation(evacuatedCentre)
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.evacuated = append(tb.evacuated, EvacuatedTime{from, to})
}

// dataCentreOfTarget returns the data centre of the target with a number.
func dataCentreOfTarget(number int) string {
	if number%thirdTarget == 0 {
		return evacuatedCentre
	}
	return "z1"
}

// checkEvacuations checks that no call reaches a target of the evacuated data centre once the daemons must
// have applied the evacuation, unless a fault disturbed the call's daemon meanwhile.
func checkEvacuations(r *Record) []Violation {
	var list []Violation
	for i := range r.Calls {
		c := &r.Calls[i]
		for _, execution := range r.Executions[c.ID] {
			if r.TargetCentres[execution.Target] != evacuatedCentre {
				continue
			}
			for _, e := range r.Evacuated {
				since := execution.Started.Sub(e.From)
				if since > evacuationApplyTime+loadSlack && execution.Started.Before(e.To) && r.undisturbed(c.Daemon, e.From, execution.Started, isFault) {
					list = append(list, Violation{"EVACUATION", c.ID, fmt.Sprintf("reached %s %v after the start of the evacuation of %s", execution.Target, since.Round(time.Millisecond), evacuatedCentre)})
				}
			}
		}
	}
	return list
}
