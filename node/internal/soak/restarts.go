package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// The kinds of restart events. Events of these kinds are drawn from a random source of their
// own, so that they did not change the other events of a seed when they were added.
const (
	TargetRestart       Kind = "target-anew"   // a target's process ends, and another starts under its ID
	StoreInvalidEntries Kind = "store-foreign" // another writer adds invalid target entries to the store
)

// meanRestartInterval is the mean time between two events that addRestartEvents draws.
const meanRestartInterval = 1500 * time.Millisecond

// addRestartEvents adds restarts of targets and invalid store entries to a plan, in the phases
// with faults.
func addRestartEvents(plan []Event, seed uint64, duration time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, 1))
	for at := meanRestartInterval; at < duration; at += randomDuration(rng, 2*meanRestartInterval) {
		e := Event{Start: at, Duration: minFaultDuration + randomDuration(rng, maxFaultDuration-minFaultDuration), Kind: TargetRestart, Selector: rng.IntN(1000)}
		if rng.IntN(3) == 0 {
			e.Kind = StoreInvalidEntries
		}
		if at/phaseDuration%2 == 1 && e.Start+e.Duration <= duration {
			plan = append(plan, e)
		}
	}
	slices.SortStableFunc(plan, func(a, b Event) int { return int(a.Start - b.Start) })
	return plan
}

// restartTarget ends a target's process and starts another one under its ID: at once, which
// closes the connections, or after a simulated loss of power, during which connections stay
// open without data.
func (tb *testbed) restartTarget(ctx context.Context, e Event) {
	tb.mu.Lock()
	b := tb.backends[e.Selector%len(tb.backends)]
	tb.mu.Unlock()
	defer tb.beginTargetDisturbance(e.Kind, b)()
	if e.Selector%2 == 0 {
		b.link.Set(Silent)
		sleep(ctx, e.Duration)
		b.link.Set(NoFault)
	}
	tb.restartProcess(b)
}

// restartProcess ends a target's process and starts another one under its ID.
func (tb *testbed) restartProcess(b *backend) {
	b.target.Restart(time.Now())
	tb.mu.Lock()
	listed := slices.Contains(tb.backends, b)
	tb.mu.Unlock()
	if listed {
		tb.store.PutTargetWithStart(b.target, b.link.Address(), b.service, targetSlots)
	}
}

// invalidEntries are values of target entries that daemons must ignore.
var invalidEntries = []string{
	"", "null", "\xff\xfe", "[]", `{"service":"plain"}`, `{"service":7,"address":"127.0.0.1:1","zone":"z1","slots":4,"state":"ready"}`,
	`{"service":"plain","address":"nowhere","zone":"z1","slots":4,"state":"ready"}`,
	`{"service":"plain","address":"127.0.0.1:1","zone":"z1","slots":4,"state":"asleep"}`,
	`{"service":"elsewhere","address":"127.0.0.1:1","zone":"z1","slots":4,"state":"ready"}`,
}

// writeInvalidEntries adds three invalid entries to the store's target entries.
func (tb *testbed) writeInvalidEntries(selector int) {
	for i := range 3 {
		tb.store.PutRaw(fmt.Sprint("servers/other-", selector%7+i), []byte(invalidEntries[(selector+i)%len(invalidEntries)]))
	}
}
