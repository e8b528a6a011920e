package fleetsim

import (
	"testing"
	"testing/synctest"
	"time"

	"doorstack.dev/core/hostlist"
	"doorstack.dev/core/membership"
	"doorstack.dev/core/settings"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/peer"
	"doorstack.dev/node/telemetry"
	"doorstack.dev/platform"
	"github.com/go-faster/errors"
)

// A fleet of two kinds of host that restarts after all hosts, in five data centres, lost power together.
const (
	restartStrongHosts, restartWeakHosts = 15, 105
	// restartPeriod is the time in which all daemons start.
	restartPeriod = 450 * time.Millisecond
	// storeReadTime is the time from a daemon's start until it has read the store: 0.08 s was the
	// median of 123 starts.
	storeReadTime = 80 * time.Millisecond
	// maxRumorFrames bounds the rumor frames that a daemon sends until all daemons know each other:
	// about 20 on each of its links.
	maxRumorFrames = 300
	// maxRumorCopies bounds how often a daemon is sent the rumor about each other daemon, on average:
	// over half of its eight links.
	maxRumorCopies = 4
	// rumorSize is the size of the rumor about a daemon of the simulated fleets, in bytes.
	rumorSize = 60
)

// deliverStoreContent delivers the settings and a target to the daemons whose calls the store answers, as
// their first read of the store does.
func (f *simFleet) deliverStoreContent(storeAnswers func(i int) bool) {
	changes, err := platform.ConfigChanges(configText(1, 240))
	if err != nil {
		f.t.Fatal(err)
	}
	for i, d := range f.daemons {
		if !storeAnswers(i) {
			continue
		}
		go func() {
			passTime(d.startDelay + storeReadTime)
			if err := d.settings.Apply(changes, "store"); err != nil && !errors.Is(err, settings.ErrNotNewer) {
				f.t.Error(err)
			}
			d.board.MergeUpdate(hostlist.Update{Full: true, AsOf: 1, Hosts: []hostlist.Host{{
				ID: "t1", Role: hostlist.RoleTarget, Address: "10.1.0.1:1", Pool: "svc", State: hostlist.Live, Revision: 1,
			}}}, time.Now())
		}()
	}
}

// rumorFramesSent returns the number of rumor frames that a daemon has sent.
func (d *simDaemon) rumorFramesSent(t *testing.T) int {
	for _, kind := range d.traffic(t) {
		if kind.Kind == peer.KindRumor.String() {
			return int(kind.FramesOut)
		}
	}
	return 0
}

// rumorCopies returns how often, on average, a daemon of the fleet was sent the rumor about each other daemon.
func (f *simFleet) rumorCopies() float64 {
	bytes, n := int64(0), len(f.daemons)
	for _, d := range f.daemons {
		for _, kind := range d.traffic(f.t) {
			if kind.Kind == peer.KindRumor.String() {
				bytes += kind.BytesOut
			}
		}
	}
	return float64(bytes) / rumorSize / float64(n*(n-1))
}

// traffic returns a daemon's traffic with its peers by kind of message.
func (d *simDaemon) traffic(t *testing.T) []telemetry.Traffic {
	traffic, err := d.metrics.Traffic()
	if err != nil {
		t.Fatal(err)
	}
	return traffic
}

// TestWholeFleetRestartServesSoon starts 120 daemons together that know no others. Those that have
// read the store serve at once. The others serve as soon as they have the settings from a peer and
// have compared them with their neighbours, and all know each other soon after. When all daemons
// compared with their neighbours at the next heartbeat, the last one served after 1.4 s; when each
// rumor had its own frame, a daemon sent 806 frames.
func TestWholeFleetRestartServesSoon(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		what    string
		answers func(i int) bool
		serve   time.Duration // limit until the last daemon serves
	}{
		{"the store answers all", func(int) bool { return true }, restartPeriod + storeReadTime + 100*time.Millisecond},
		{"the store answers one in ten", func(i int) bool { return i%10 == 0 }, restartPeriod + 400*time.Millisecond},
	} {
		t.Run(c.what, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runFleetRestart(t, c.answers, c.serve) })
		})
	}
}

// runFleetRestart starts the fleet and checks how soon all daemons serve and how many rumor frames they
// send.
func runFleetRestart(t *testing.T, answers func(i int) bool, serve time.Duration) {
	f := startSimFleet(t, restartStrongHosts, restartWeakHosts, restartPeriod)
	defer f.close()
	f.deliverStoreContent(answers)
	serving := f.waitAll("the phase serving", func(d *simDaemon) bool { return d.board.Phase() == blackboard.Serving })
	connected := f.waitForMembers(len(f.daemons))
	maxFrames := 0
	for _, d := range f.daemons {
		maxFrames = max(maxFrames, d.rumorFramesSent(t))
	}
	passTime(2 * time.Second) // Digests that still differ have been compared by then.
	if copies := f.rumorCopies(); copies > maxRumorCopies {
		t.Errorf("a daemon was sent each rumor %.1f times, want %d at most", copies, maxRumorCopies)
	}
	t.Logf("all serve after %v and know each other %v later, %d KB sent, at most %d rumor frames by one daemon", serving, connected, f.bytesSent()>>10, maxFrames)
	if serving > serve {
		t.Errorf("the last daemon serves after %v, want %v at most", serving, serve)
	}
	if maxFrames > maxRumorFrames {
		t.Errorf("a daemon sent %d rumor frames, want %d at most", maxFrames, maxRumorFrames)
	}
}

// TestIsolatedDaemonDelaysCoordinating checks that a daemon whose seeds do not answer serves, but acts
// as coordinator only after it has searched for other daemons for long enough. When a whole fleet
// restarted, each daemon used to do so at once, and polled all engines for their slowdown.
func TestIsolatedDaemonDelaysCoordinating(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSimFleet(t, 1, 0, time.Second)
		defer f.close()
		d := f.daemons[0]
		d.cluster.SetSeeds([]string{"10.9.9.9:8229"}) // No daemon listens there.
		f.deliverStoreContent(func(int) bool { return true })
		f.waitAll("the phase serving", func(d *simDaemon) bool { return d.board.Phase() == blackboard.Serving })
		if d.cluster.Placer.Coordinates("svc") {
			t.Error("Coordinates(svc) = true while the daemon still searches for others, want false")
		}
		passTime(5 * time.Second)
		if !d.cluster.Placer.Coordinates("svc") {
			t.Error("Coordinates(svc) = false after 5 s without other daemons, want true")
		}
	})
}

// TestRumorsSpreadAfterTheirLinkCloses covers a peer that sends rumors about two daemons one after the
// other and whose link closes while the second rumor waits for its frame. All others learn of both
// daemons at once instead of at the next comparison of member lists, 1 s and more later.
func TestRumorsSpreadAfterTheirLinkCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSimFleet(t, 4, 0, 0)
		defer f.close()
		passTime(5 * time.Second)
		rumorHost := f.network.AddHost("10.0.1.1:8229", strongLinkRate)
		hub := peer.NewHub("leaver", []string{fleetKey}, telemetry.NewMetrics())
		hub.SetHTTPClient(rumorHost.Client())
		for _, name := range []string{"first", "second"} {
			rumors := []membership.Rumor{{Name: name, Incarnation: 1, Address: "10.0.1.2:8229", DataCentre: "dc0", Region: "r"}}
			if err := hub.Notify(t.Context(), peer.Address{Name: "edge-0", Address: seedAddress}, peer.KindRumor, rumors); err != nil {
				t.Fatal(err)
			}
			passTime(5 * time.Millisecond)
		}
		hub.Close()
		const soon = 100 * time.Millisecond
		took := f.waitForMembers(len(f.daemons) + 2)
		if took > soon {
			t.Errorf("all know both new members after %v, want %v at most", took, soon)
		}
	})
}
