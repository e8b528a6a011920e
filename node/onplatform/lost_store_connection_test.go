package onplatform

import (
	"testing"
	"time"

	"doorstack.dev/core/routing"
)

// Guards against a lost connection being taken for an outage of the store: calls went to a target for up to 2.5 s after its entry was
// removed, as removals after an outage are confirmed late, though the store had been there all the time.
func TestRemovalIsInForceInTimeAfterTheConnectionToTheStoreFellSilent(t *testing.T) {
	f := newFleet(t, 2, 3)
	f.eventually("all daemons to watch", func() bool { return f.store.WaitingWatches() == len(f.daemons) })
	calls := f.store.Calls()
	f.store.StallWatches(true)
	f.store.StallWatches(false) // The waiting watches stay silent, new ones are answered.
	f.eventually("all daemons to watch over new connections", func() bool {
		return f.store.Calls() >= calls+2*len(f.daemons) && f.store.WaitingWatches() == len(f.daemons)
	})
	f.store.RemoveTarget(f.targets["t2"])
	removed := time.Now()
	f.awaitTargetState("t2", routing.Unavailable)
	if took := time.Since(removed); took > applyLimit {
		t.Errorf("the removal was in force after %v, want %v at most", took, applyLimit)
	}
}
