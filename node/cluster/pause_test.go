package cluster

import (
	"testing"
	"testing/synctest"
	"time"

	"doorstack.dev/core/membership"
)

// TestDaemonThatStoodStillKeepsItsMembers guards against a daemon that goes on after a pause of its process and declares others dead
// before it has read what they sent.
func TestDaemonThatStoodStillKeepsItsMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &placeFleet{t: t, began: time.Now()}
		d := f.newDaemon(0)
		silent := membership.Rumor{Name: "edge-1", Incarnation: 1, State: membership.Alive, Address: "10.0.0.1:8229"}
		var state membership.State
		beat := func() membership.State {
			d.cluster.sendHeartbeats(t.Context(), false)
			d.board.Members.WithLock(func(t *membership.Table) {
				if m, known := t.Member(silent.Name); known {
					state = m.State
				}
			})
			return state
		}
		d.board.Members.WithLock(func(t *membership.Table) { t.Receive(silent) })
		beat()
		pass(membership.HeartbeatInterval)
		beat()
		pass(membership.DeadAfter + membership.HeartbeatInterval) // No heartbeat is sent: the process stands still.
		if got := beat(); got != membership.Alive {
			t.Errorf("after a pause of the own process the other daemon is %v, want alive", got)
		}
		for range membership.DeadAfter / membership.HeartbeatInterval {
			pass(membership.HeartbeatInterval)
			beat()
		}
		if state != membership.Dead {
			t.Errorf("after %v of silence the other daemon is %v, want dead", membership.DeadAfter, state)
		}
		d.cluster.Hub.Close()
	})
}
