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
	TargetAnew   Kind = "target-anew"   // a target's process ends, and another starts under its id
	StoreForeign Kind = "store-foreign" // another writer leaves entries among the targets'
)

// meanAnew is the mean time between two such events.
const meanAnew = 1500 * time.Millisecond

// withAnew adds such events to a plan, in the phases that have faults.
func withAnew(plan []Event, seed uint64, length time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, 1))
	for at := meanAnew; at < length; at += draw(rng, 2*meanAnew) {
		e := Event{At: at, For: shortest + draw(rng, longest-shortest), Kind: TargetAnew, Which: rng.IntN(1000)}
		if rng.IntN(3) == 0 {
			e.Kind = StoreForeign
		}
		if at/phase%2 == 1 && e.At+e.For <= length {
			plan = append(plan, e)
		}
	}
	slices.SortStableFunc(plan, func(a, b Event) int { return int(a.At - b.At) })
	return plan
}

// startAnew ends a target's process and starts another under its id: at once, which its
// connections tell, or after a loss of power, which they do not.
func (w *world) startAnew(ctx context.Context, e Event) {
	w.mu.Lock()
	b := w.backends[e.Which%len(w.backends)]
	w.mu.Unlock()
	defer w.disturbTarget(e.Kind, b)()
	if e.Which%2 == 0 {
		b.link.Set(Silent)
		pause(ctx, e.For)
		b.link.Set(Fine)
	}
	b.target.Restart(time.Now())
	w.mu.Lock()
	stays := slices.Contains(w.backends, b)
	w.mu.Unlock()
	if stays {
		w.store.PutTargetWithStart(b.target, b.link.Address(), b.service, slots)
	}
}

// foreignEntries are what other writers leave.
var foreignEntries = []string{
	"", "null", "\xff\xfe", "[]", `{"service":"plain"}`, `{"service":7,"address":"127.0.0.1:1","zone":"z1","slots":4,"state":"ready"}`,
	`{"service":"plain","address":"nowhere","zone":"z1","slots":4,"state":"ready"}`,
	`{"service":"plain","address":"127.0.0.1:1","zone":"z1","slots":4,"state":"asleep"}`,
	`{"service":"elsewhere","address":"127.0.0.1:1","zone":"z1","slots":4,"state":"ready"}`,
}

func (w *world) writeForeign(which int) {
	for i := range 3 {
		w.store.PutRaw(fmt.Sprint("servers/other-", which%7+i), []byte(foreignEntries[(which+i)%len(foreignEntries)]))
	}
}
