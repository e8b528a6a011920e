package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Targets that start again under their id, and other writers in the store, are drawn beside the
// plan, so that what a seed meant before they were thought of stays as it was.
const (
	TargetRestart       Kind = "target-anew"   // a target's process ends, and another starts under its id
	StoreInvalidEntries Kind = "store-foreign" // another writer leaves entries among the targets'
)

// meanRestartInterval is the mean time between two such events.
const meanRestartInterval = 1500 * time.Millisecond

// addRestartEvents adds such events to a plan, in the phases that have faults.
func addRestartEvents(plan []Event, seed uint64, length time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, 1))
	for at := meanRestartInterval; at < length; at += randomDuration(rng, 2*meanRestartInterval) {
		e := Event{Start: at, Duration: minFaultDuration + randomDuration(rng, maxFaultDuration-minFaultDuration), Kind: TargetRestart, Selector: rng.IntN(1000)}
		if rng.IntN(3) == 0 {
			e.Kind = StoreInvalidEntries
		}
		if at/phaseDuration%2 == 1 && e.Start+e.Duration <= length {
			plan = append(plan, e)
		}
	}
	slices.SortStableFunc(plan, func(a, b Event) int { return int(a.Start - b.Start) })
	return plan
}

// startAnew ends a target's process and starts another under its id: at once, which its
// connections tell, or after a loss of power, which they do not.
func (w *testbed) restartTarget(ctx context.Context, e Event) {
	w.mu.Lock()
	b := w.backends[e.Selector%len(w.backends)]
	w.mu.Unlock()
	defer w.beginTargetDisturbance(e.Kind, b)()
	if e.Selector%2 == 0 {
		b.link.Set(Silent)
		sleep(ctx, e.Duration)
		b.link.Set(NoFault)
	}
	b.target.Restart(time.Now())
	w.mu.Lock()
	stays := slices.Contains(w.backends, b)
	w.mu.Unlock()
	if stays {
		w.store.PutTargetWithStart(b.target, b.link.Address(), b.service, targetSlots)
	}
}

// invalidEntries are what other writers leave.
var invalidEntries = []string{
	"", "null", "\xff\xfe", "[]", `{"service":"plain"}`, `{"service":7,"address":"127.0.0.1:1","zone":"z1","slots":4,"state":"ready"}`,
	`{"service":"plain","address":"nowhere","zone":"z1","slots":4,"state":"ready"}`,
	`{"service":"plain","address":"127.0.0.1:1","zone":"z1","slots":4,"state":"asleep"}`,
	`{"service":"elsewhere","address":"127.0.0.1:1","zone":"z1","slots":4,"state":"ready"}`,
}

func (w *testbed) writeInvalidEntries(which int) {
	for i := range 3 {
		w.store.PutRaw(fmt.Sprint("servers/other-", which%7+i), []byte(invalidEntries[(which+i)%len(invalidEntries)]))
	}
}
