package onplatform

import (
	"testing"
	"time"

	"doorstack.dev/core/routing"
)

// The tests in this file restore the store from a backup that is some seconds old: the writes since then
// are lost, their revisions are assigned again, and the operators and targets write again after a while.

// targetState returns the state of a target as a daemon knows it, and routing.Unavailable if the daemon does
// not know the target.
func (f *fleet) targetState(d *testDaemon, id string) routing.State {
	for _, view := range d.Board.Targets.Views(plainService, time.Now()) {
		if view.ID == id {
			return view.State
		}
	}
	return routing.Unavailable
}

// awaitTargetState waits until all daemons know a target in a state.
func (f *fleet) awaitTargetState(id string, want routing.State) {
	f.t.Helper()
	for _, d := range f.daemons {
		f.eventually(id+" in its new state at "+d.boot.Name, func() bool { return f.targetState(d, id) == want })
	}
}

// TestSettingsAfterStoreRestore checks that after the restore the daemons keep the newer version of
// the configuration that they have, and adopt a later version although its revision in the store was
// assigned before to the lost one.
func TestSettingsAfterStoreRestore(t *testing.T) {
	f := newFleet(t, 2, 1)
	older := f.store.Backup()
	f.store.PutConfig(testConfig(5))
	for _, d := range f.daemons {
		f.eventually("version 5", func() bool { return f.settingsRevision(d) == 5 })
	}
	f.store.Restore(older)
	for _, d := range f.daemons {
		f.eventually("the daemons to watch the store again", func() bool { return f.store.WaitingWatches() == len(f.daemons) })
		if f.settingsRevision(d) != 5 {
			t.Errorf("%s uses version %d after the restore, want 5", d.boot.Name, f.settingsRevision(d))
		}
	}
	f.store.PutConfig(testConfig(6))
	for _, d := range f.daemons {
		f.eventually("version 6", func() bool { return f.settingsRevision(d) == 6 })
	}
}

// TestTargetsAfterStoreRestore checks that entries that targets write after the restore apply,
// although their revisions are lower than the known ones. The restored entries of a removed and of a
// draining target do not replace what the daemons know.
func TestTargetsAfterStoreRestore(t *testing.T) {
	f := newFleet(t, 2, 4)
	older := f.store.Backup()
	f.store.PutTarget(f.targets["t2"], plainService, "draining", 6)
	f.store.RemoveTarget(f.targets["t3"])
	for range 5 {
		f.store.PutTarget(f.targets["t4"], plainService, "ready", 6)
	}
	f.store.PutTarget(f.targets["t4"], plainService, "ready", 5)
	f.awaitTargetState("t2", routing.Draining)
	f.awaitTargetState("t3", routing.Unavailable)
	for _, d := range f.daemons {
		f.eventually("the newest entry of t4", func() bool { return f.targetSlots(d, "t4") == 5 })
	}
	late := f.addDaemon(2) // It reads the whole list at a revision that is assigned again later.
	f.eventually("the late daemon to be ready with the newest entry of t4", func() bool { return f.ready(late) && f.targetSlots(late, "t4") == 5 })
	f.store.Restore(older)
	for _, d := range f.daemons {
		f.eventually("the restored store to be read", func() bool { return d.Board.Directory.Revision().Era() == 2 })
	}
	fresh := f.addTarget("t5", plainService, 6)
	f.store.PutTarget(f.targets["t4"], plainService, "draining", 6)
	f.awaitTargetState("t5", routing.Live)
	f.awaitTargetState("t4", routing.Draining)
	for _, d := range f.daemons {
		if got := f.targetState(d, "t2"); got == routing.Live {
			t.Errorf("%s has the draining target t2 in state %v, want any other", d.boot.Name, got)
		}
		if got := f.targetState(d, "t3"); got != routing.Unavailable {
			t.Errorf("%s has the removed target t3 in state %v, want %v", d.boot.Name, got, routing.Unavailable)
		}
	}
	f.store.RemoveTarget(fresh)
	f.awaitTargetState("t5", routing.Unavailable)
}

// TestLiveTargetInRestoredStoreIsUsedAgain checks that if the removal of a target was lost with the
// restore and its process never stopped, the target is used again once the store has settled.
func TestLiveTargetInRestoredStoreIsUsedAgain(t *testing.T) {
	f := newFleet(t, 2, 2)
	older := f.store.Backup()
	f.store.RemoveTarget(f.targets["t1"])
	f.awaitTargetState("t1", routing.Unavailable)
	f.store.Restore(older)
	f.awaitTargetState("t1", routing.Live)
}

// TestDaemonCutOffDuringStoreRestore covers a daemon that is cut off from the store during the
// restore. When it reaches the store again, the store has already assigned more revisions than it had
// at the daemon's last read.
func TestDaemonCutOffDuringStoreRestore(t *testing.T) {
	f := newFleet(t, 1, 2)
	d := f.daemons[0]
	older := f.store.Backup()
	f.store.PutTarget(f.targets["t1"], plainService, "ready", 5)
	f.eventually("the newest entry of t1", func() bool { return f.targetSlots(d, "t1") == 5 })
	d.storeEndpoint.Refuse(true)
	f.store.Restore(older)
	f.store.PutTarget(f.targets["t2"], plainService, "draining", 6) // This entry gets the revision that t1's lost entry had.
	f.store.PutTarget(f.targets["t1"], plainService, "ready", 4)
	d.storeEndpoint.Refuse(false)
	f.eventually("the newest entry of t1", func() bool { return f.targetSlots(d, "t1") == 4 })
	f.awaitTargetState("t2", routing.Draining)
}

// TestNewDaemonAfterStoreRestoreTrustsPeers checks that a daemon that starts after the restore takes
// newer state from its peers and serves with nothing older.
func TestNewDaemonAfterStoreRestoreTrustsPeers(t *testing.T) {
	f := newFleet(t, 2, 2)
	f.awaitMembership()
	older := f.store.Backup()
	f.store.PutConfig(testConfig(5))
	f.store.PutTarget(f.targets["t2"], plainService, "draining", 6)
	f.awaitTargetState("t2", routing.Draining)
	for _, d := range f.daemons {
		f.eventually("version 5", func() bool { return f.settingsRevision(d) == 5 })
	}
	f.store.Restore(older)
	fresh := f.addDaemon(2)
	f.eventually("the new daemon to be ready", func() bool { return f.ready(fresh) })
	if got := f.settingsRevision(fresh); got != 5 {
		t.Errorf("new daemon serves with version %d, want 5", got)
	}
	if got := f.targetState(fresh, "t2"); got != routing.Draining {
		t.Errorf("new daemon has the draining target t2 in state %v, want %v", got, routing.Draining)
	}
	f.store.PutTarget(f.targets["t1"], plainService, "ready", 3)
	f.eventually("the newest entry of t1", func() bool { return f.targetSlots(fresh, "t1") == 3 })
}
