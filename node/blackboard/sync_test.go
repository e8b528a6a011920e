package blackboard

import (
	"runtime"
	"testing"
	"time"

	"doorstack.dev/core/hostlist"
	"doorstack.dev/core/settings"
)

// TestSyncTargetsReadsHostsInsideLock: a daemon's view is read inside the one step,
// so that a slow step cannot end with what it read before a faster one.
func TestSyncTargetsReadsHostsInsideLock(t *testing.T) {
	tree, err := settings.Parse([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	for range 100 {
		b := New(Identity{Name: "d"}, DefaultLimits())
		b.Settings.Adopt(&SettingsView{Tree: tree, Revision: 1})
		b.syncMu.Lock()
		done := make(chan struct{})
		go func() {
			b.SyncTargets()
			close(done)
		}()
		runtime.Gosched()
		b.Members.SetHosts(hostlist.List{Revision: 1, Hosts: targetHosts(3)}, time.Now())
		b.syncMu.Unlock()
		<-done
		if got := len(b.Targets.Addresses()); got != 3 {
			t.Fatalf("%d targets are known, want 3", got)
		}
	}
}
