package onplatform

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

// A fleet whose hosts lost power together, five data centres of two kinds of host.
const (
	restartStrongHosts, restartWeakHosts = 15, 105
	// restartPeriod is the time over which the daemons start.
	restartPeriod = 450 * time.Millisecond
	// storeReadTime is when a daemon has read the store: 0.08 s after its start in the median of
	// 123 that were played.
	storeReadTime = 80 * time.Millisecond
	// maxRumorFrames bounds the frames of rumors that a daemon sends while all come to know each
	// other: some 20 on each of its links.
	maxRumorFrames = 300
)

// restart gives all daemons the settings and the targets, as their first read of the store
// does, or, where the store turns the others away, one of them.
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

// rumorFrames is the number of frames of rumors that a daemon has sent.
func (d *simDaemon) rumorFramesSent(t *testing.T) int {
	for _, kind := range d.traffic(t) {
		if kind.Kind == peer.KindRumor.String() {
			return int(kind.FramesOut)
		}
	}
	return 0
}

// traffic is what a daemon has exchanged with its peers, by kind of message.
func (d *simDaemon) traffic(t *testing.T) []telemetry.Traffic {
	traffic, err := d.metrics.Traffic()
	if err != nil {
		t.Fatal(err)
	}
	return traffic
}

// TestWholeFleetRestartServesSoon: 120 daemons start together and know nobody. Whoever has read the
// store serves at once; the others as soon as they have the settings from a peer and have
// compared them with their neighbours; and all know each other soon after. With neighbours
// compared at the next heartbeat, and by all, the last of them served after 1.4 s; with each
// rumor in a frame of its own a daemon sent 806 of them.
func TestWholeFleetRestartServesSoon(t *testing.T) {
	for _, c := range []struct {
		what    string
		answers func(i int) bool
		serve   time.Duration // until the last of them serves
	}{
		{"the store answers all", func(int) bool { return true }, restartPeriod + storeReadTime + 100*time.Millisecond},
		{"the store answers one in ten", func(i int) bool { return i%10 == 0 }, restartPeriod + 400*time.Millisecond},
	} {
		t.Run(c.what, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runFleetRestart(t, c.answers, c.serve) })
		})
	}
}

func runFleetRestart(t *testing.T, answers func(i int) bool, serve time.Duration) {
	f := startSimFleet(t, restartStrongHosts, restartWeakHosts, restartPeriod)
	defer f.close()
	f.deliverStoreContent(answers)
	serving := f.waitAll("service", func(d *simDaemon) bool { return d.board.Phase() == blackboard.Serving })
	whole := f.waitAll("all others", func(d *simDaemon) bool {
		size := 0
		d.board.Members.WithLock(func(members *membership.Table) { size = members.AliveCount() })
		return size == len(f.daemons)
	})
	most := 0
	for _, d := range f.daemons {
		most = max(most, d.rumorFramesSent(t))
	}
	t.Logf("all serve after %v and know each other %v later, %d KB sent, %d frames of rumors by one daemon", serving, whole, f.bytesSent()>>10, most)
	if serving > serve {
		t.Errorf("the last daemon serves after %v, want %v", serving, serve)
	}
	if most > maxRumorFrames {
		t.Errorf("a daemon sent %d frames of rumors, want %d at most", most, maxRumorFrames)
	}
}

// TestIsolatedDaemonDelaysCoordinating: a daemon whose seeds do not answer serves, but takes
// itself for the coordinator only once it has looked for the others for long enough. Each of a
// herd did at once, and asked all engines how fast they work.
func TestIsolatedDaemonDelaysCoordinating(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSimFleet(t, 1, 0, time.Second)
		defer f.close()
		d := f.daemons[0]
		d.cluster.SetSeeds([]string{"10.9.9.9:8229"}) // Nobody is there.
		f.deliverStoreContent(func(int) bool { return true })
		f.waitAll("service", func(d *simDaemon) bool { return d.board.Phase() == blackboard.Serving })
		if d.cluster.Placer.Coordinates("svc") {
			t.Error("it coordinates though it has not found anybody")
		}
		passTime(5 * time.Second)
		if !d.cluster.Placer.Coordinates("svc") {
			t.Error("it does not coordinate though nobody else is there")
		}
	})
}

// TestRumorsSpreadAfterTheirLinkCloses: a peer tells of two daemons one after the other and its
// link ends while the second rumor waits for its frame. All others hear of both at once, not at
// the next comparison of members, 1 s and more later.
func TestRumorsSpreadAfterTheirLinkCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSimFleet(t, 4, 0, 0)
		defer f.close()
		passTime(5 * time.Second)
		leaver := f.network.AddHost("10.0.1.1:8229", strongLinkRate)
		hub := peer.NewHub("leaver", []string{fleetKey}, telemetry.NewMetrics())
		hub.SetHTTPClient(leaver.Client())
		for _, name := range []string{"first", "second"} {
			rumors := []membership.Rumor{{Name: name, Incarnation: 1, Address: "10.0.1.2:8229", DataCentre: "dc0", Region: "r"}}
			if err := hub.Notify(t.Context(), peer.Address{Name: "edge-0", Address: seedAddress}, peer.KindRumor, rumors); err != nil {
				t.Fatal(err)
			}
			passTime(5 * time.Millisecond)
		}
		hub.Close()
		const soon = 100 * time.Millisecond
		took := f.waitAll("both daemons", func(d *simDaemon) bool {
			size := 0
			d.board.Members.WithLock(func(members *membership.Table) { size = members.AliveCount() })
			return size == len(f.daemons)+2
		})
		if took > soon {
			t.Errorf("all know of both daemons after %v, want %v", took, soon)
		}
	})
}
