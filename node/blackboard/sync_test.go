package blackboard

import (
	"sync"
	"testing"
	"time"

	"doorstack.dev/core/settings"
	"doorstack.dev/node/platform"
)

// TestHostsAndSettingsAtOneTime: whichever comes first, the targets are there
// when both have been taken over.
func TestHostsAndSettingsAtOneTime(t *testing.T) {
	tree, err := settings.Parse([]byte(poolDocument))
	if err != nil {
		t.Fatal(err)
	}
	for range 500 {
		b := New(Identity{Name: "d"}, DefaultLimits())
		var wg sync.WaitGroup
		wg.Go(func() {
			b.Settings.Adopt(&SettingsView{Tree: tree, Revision: 1})
			b.SyncTargets()
		})
		wg.Go(func() {
			b.Members.SetHosts(platform.HostList{Revision: 1, Hosts: targetHosts(3)}, time.Now())
			b.SyncTargets()
		})
		wg.Wait()
		if got := len(b.Targets.Addresses()); got != 3 {
			t.Fatalf("%d targets are known, want 3", got)
		}
	}
}
