package fleetsim

import (
	"cmp"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"doorstack.dev/core/poison"
	"doorstack.dev/node/peer"
)

const (
	// crashingCalls is the number of calls that crash targets at the same time.
	crashingCalls = 10
	// crashInterval is the time between two crashes under one call, while the call waits in the queue of
	// the next target.
	crashInterval = 300 * time.Millisecond
	// soundCallsPerCrash is the number of sound calls in progress at each target that crashes.
	soundCallsPerCrash = 15
)

// reportCrash does what a daemon does when a target crashes under a call.
func (d *simDaemon) reportCrash(c poison.Crash) {
	result := d.board.Poison.RecordCrash(c, time.Now())
	d.cluster.NotifyCrash(c)
	if result.Quarantined {
		d.cluster.BroadcastVerdict(result.Verdict)
	}
}

// TestQuarantineReachesWholeFleetInTime covers ten calls that crash targets at the same time, each
// sent to another daemon after each crash, while sound calls are in progress at the same targets. All
// daemons quarantine the ten calls within quarantineTimeLimit, and none of the sound ones. The
// environment variable FLEETS overrides the sizes of the fleets.
func TestQuarantineReachesWholeFleetInTime(t *testing.T) {
	t.Parallel()
	for _, field := range strings.Fields(cmp.Or(os.Getenv("FLEETS"), "6 59")) {
		size, err := strconv.Atoi(field)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(fmt.Sprint(size, " daemons"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runCrashingCalls(t, size) })
		})
	}
}

// runCrashingCalls runs the test with a fleet of a given size.
func runCrashingCalls(t *testing.T, size int) {
	strong := max(1, size/10)
	f := startSimFleet(t, strong, size-strong, restartPeriod)
	defer f.close()
	f.deliverStoreContent(func(int) bool { return true })
	f.waitForMembers(size)
	var bad, sound []poison.Key
	for i := range crashingCalls {
		bad = append(bad, poison.KeyOf("/a", fmt.Appendf(nil, "bad %d", i)))
	}
	for round := range 3 {
		for i, k := range bad {
			target := fmt.Sprintf("target %d of call %d", round, i)
			f.daemons[(7*i+round)%size].reportCrash(poison.Crash{Request: k, Target: target})
			for n := range soundCallsPerCrash {
				beside := poison.KeyOf("/b", fmt.Appendf(nil, "sound %d %d %d", i, round, n))
				sound = append(sound, beside)
				f.daemons[(3*n+i)%size].reportCrash(poison.Crash{Request: beside, Target: target})
			}
		}
		if round < 2 {
			passTime(crashInterval)
		}
	}
	took := f.waitAll("the quarantine of all ten calls", func(d *simDaemon) bool {
		for _, k := range bad {
			if !d.board.Poison.Check(k, time.Now()).Quarantined {
				return false
			}
		}
		return true
	})
	if took > quarantineTimeLimit {
		t.Errorf("all daemons quarantined the calls %v after the third crash, want %v at most", took, quarantineTimeLimit)
	}
	most, frames := 0, int64(0)
	for _, d := range f.daemons {
		others := d.board.Poison.Counts().Others
		most = max(most, others)
		for _, k := range sound {
			if d.board.Poison.Check(k, time.Now()).Quarantined {
				t.Fatalf("%s quarantined a sound call, want only the crashing ones quarantined", d.name)
			}
		}
		for _, kind := range d.traffic(t) {
			if kind.Kind == peer.KindCrash.String() || kind.Kind == peer.KindVerdicts.String() {
				frames += kind.FramesOut
			}
		}
	}
	t.Logf("quarantined everywhere after %v; %d frames a daemon for 30 crashes under %d calls; %d sound calls recorded at most",
		took, frames/int64(size), len(bad)+len(sound), most)
}
