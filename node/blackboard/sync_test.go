package blackboard

import (
	"runtime"
	"testing"
	"time"

	"doorstack.dev/core/hostlist"
	"doorstack.dev/core/settings"
)

// TestSyncTargetsReadsHostsInsideLock checks that SyncTargets reads the host list after it has
// taken its lock. Otherwise a slow call could overwrite the result of a faster one with an older list.
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
			t.Fatalf("Addresses returned %d targets, want 3", got)
		}
	}
}
