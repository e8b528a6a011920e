package onplatform

import (
	"testing"
	"time"

	"doorstack.dev/core/routing"
)

// A store may come back from a copy some seconds old. What was written since is gone, its
// revisions are given out again, and the operators and the targets write again, in time.

// stateOf is what a daemon believes of a target's life; gone where it knows none of that id.
func (f *fleet) targetState(d *testDaemon, id string) routing.State {
	for _, view := range d.Board.Targets.Views(plainService, time.Now()) {
		if view.ID == id {
			return view.State
		}
	}
	return routing.Unavailable
}

func (f *fleet) awaitTargetState(id string, want routing.State) {
	f.t.Helper()
	for _, d := range f.daemons {
		f.eventually(id+" believed as it is at "+d.boot.Name, func() bool { return f.targetState(d, id) == want })
	}
}

// TestSettingsAfterStoreRestore: a version that is published under a revision which
// the lost one had is in force, and until then nothing goes back.
func TestSettingsAfterStoreRestore(t *testing.T) {
	f := newFleet(t, 2, 1)
	older := f.store.Backup()
	f.store.PutConfig(testConfig(5))
	for _, d := range f.daemons {
		f.eventually("version 5", func() bool { return f.settingsRevision(d) == 5 })
	}
	f.store.Restore(older)
	for _, d := range f.daemons {
		f.eventually("it watches again", func() bool { return f.store.WaitingWatches() == len(f.daemons) })
		if f.settingsRevision(d) != 5 {
			t.Errorf("%s went back to version %d", d.boot.Name, f.settingsRevision(d))
		}
	}
	f.store.PutConfig(testConfig(6))
	for _, d := range f.daemons {
		f.eventually("version 6", func() bool { return f.settingsRevision(d) == 6 })
	}
}

// TestTargetsAfterStoreRestore: what targets write after it counts, though the
// revisions are lower than those that were known; what is known of a dead and of a leaving
// target is not taken back by the copy.
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
		f.eventually("the newest of t4", func() bool { return f.targetSlots(d, "t4") == 5 })
	}
	late := f.addDaemon(2) // It reads the whole list at a revision that is given out again.
	f.eventually("the late daemon serves", func() bool { return f.ready(late) && f.targetSlots(late, "t4") == 5 })
	f.store.Restore(older)
	for _, d := range f.daemons {
		f.eventually("the copy is read", func() bool { return d.Board.Directory.Revision().Era() == 2 })
	}
	fresh := f.addTarget("t5", plainService, 6)
	f.store.PutTarget(f.targets["t4"], plainService, "draining", 6)
	f.awaitTargetState("t5", routing.Live)
	f.awaitTargetState("t4", routing.Draining)
	for _, d := range f.daemons {
		if got := f.targetState(d, "t2"); got == routing.Live {
			t.Errorf("%s sends to a target again that leaves", d.boot.Name)
		}
		if got := f.targetState(d, "t3"); got != routing.Unavailable {
			t.Errorf("%s sends to a target again that is dead", d.boot.Name)
		}
	}
	f.store.RemoveTarget(fresh)
	f.awaitTargetState("t5", routing.Unavailable)
}

// TestLiveTargetInRestoredStoreIsUsedAgain: its removal was lost with what came after the copy, and
// its process never ended. It is used again once the store has settled.
func TestLiveTargetInRestoredStoreIsUsedAgain(t *testing.T) {
	f := newFleet(t, 2, 2)
	older := f.store.Backup()
	f.store.RemoveTarget(f.targets["t1"])
	f.awaitTargetState("t1", routing.Unavailable)
	f.store.Restore(older)
	f.awaitTargetState("t1", routing.Live)
}

// TestDaemonCutOffDuringStoreRestore: it was cut off, and when it sees the store again, that
// has given out more revisions than it had when the daemon last read.
func TestDaemonCutOffDuringStoreRestore(t *testing.T) {
	f := newFleet(t, 1, 2)
	d := f.daemons[0]
	older := f.store.Backup()
	f.store.PutTarget(f.targets["t1"], plainService, "ready", 5)
	f.eventually("the newest of t1", func() bool { return f.targetSlots(d, "t1") == 5 })
	d.storeEndpoint.Refuse(true)
	f.store.Restore(older)
	f.store.PutTarget(f.targets["t2"], plainService, "draining", 6) // It has the revision that t1's entry had.
	f.store.PutTarget(f.targets["t1"], plainService, "ready", 4)
	d.storeEndpoint.Refuse(false)
	f.eventually("the newest of t1", func() bool { return f.targetSlots(d, "t1") == 4 })
	f.awaitTargetState("t2", routing.Draining)
}

// TestNewDaemonAfterStoreRestoreTrustsPeers: its peers know what the copy does not, and it serves
// nothing older than they do.
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
	f.eventually("it serves", func() bool { return f.ready(fresh) })
	if got := f.settingsRevision(fresh); got != 5 {
		t.Errorf("it serves with version %d", got)
	}
	if got := f.targetState(fresh, "t2"); got != routing.Draining {
		t.Errorf("it believes the target that leaves to be in state %v", got)
	}
	f.store.PutTarget(f.targets["t1"], plainService, "ready", 3)
	f.eventually("the newest of t1", func() bool { return f.targetSlots(fresh, "t1") == 3 })
}
