package onplatform

import (
	"cmp"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"doorstack.dev/core/membership"
	"doorstack.dev/core/poison"
	"doorstack.dev/node/peer"
)

const (
	// crashingCalls is how many calls end targets at one time.
	crashingCalls = 10
	// crashInterval is the time between two ends under one call: it waits in a target's queue.
	crashInterval = 300 * time.Millisecond
	// soundCallsPerCrash is how many sound calls lose each target that ends.
	soundCallsPerCrash = 15
)

// crashAt plays at a daemon what it does when a target ends under a call.
func (d *simDaemon) reportCrash(c poison.Crash) {
	found := d.board.Poison.RecordCrash(c, time.Now())
	d.cluster.NotifyCrash(c)
	if found.Quarantined {
		d.cluster.BroadcastVerdict(found.Verdict)
	}
}

// TestQuarantineReachesWholeFleetInTime: ten calls end targets at once, each comes to another
// daemon after each end, and sound calls stand beside them. All daemons know the ten within the
// time that the users give, and none of the sound ones is held. FLEETS names other sizes of
// fleet than those that every run plays.
func TestQuarantineReachesWholeFleetInTime(t *testing.T) {
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

func runCrashingCalls(t *testing.T, size int) {
	strong := max(1, size/10)
	f := startSimFleet(t, strong, size-strong, restartPeriod)
	defer f.close()
	f.deliverStoreContent(func(int) bool { return true })
	f.waitAll("all others", func(d *simDaemon) bool {
		known := 0
		d.board.Members.WithLock(func(members *membership.Table) { known = members.AliveCount() })
		return known == size
	})
	var bad, sound []poison.Key
	for i := range crashingCalls {
		bad = append(bad, poison.KeyOf("/a", fmt.Appendf(nil, "bad %d", i)))
	}
	for end := range 3 {
		for i, k := range bad {
			target := fmt.Sprintf("target %d of call %d", end, i)
			f.daemons[(7*i+end)%size].reportCrash(poison.Crash{Request: k, Target: target})
			for n := range soundCallsPerCrash {
				beside := poison.KeyOf("/b", fmt.Appendf(nil, "sound %d %d %d", i, end, n))
				sound = append(sound, beside)
				f.daemons[(3*n+i)%size].reportCrash(poison.Crash{Request: beside, Target: target})
			}
		}
		if end < 2 {
			passTime(crashInterval)
		}
	}
	took := f.waitAll("ten calls", func(d *simDaemon) bool {
		for _, k := range bad {
			if !d.board.Poison.Check(k, time.Now()).Quarantined {
				return false
			}
		}
		return true
	})
	if took > quarantineTimeLimit {
		t.Errorf("all daemons know the calls %v after the third end, want %v at most", took, quarantineTimeLimit)
	}
	most, frames := 0, int64(0)
	for _, d := range f.daemons {
		_, others := d.board.Poison.Counts()
		most = max(most, others)
		for _, k := range sound {
			if d.board.Poison.Check(k, time.Now()).Quarantined {
				t.Fatalf("a sound call is held at %s", d.name)
			}
		}
		for _, kind := range d.traffic(t) {
			if kind.Kind == peer.KindCrash.String() || kind.Kind == peer.KindVerdicts.String() {
				frames += kind.FramesOut
			}
		}
	}
	t.Logf("known everywhere after %v; %d frames a daemon for 30 ends under %d calls; %d sound calls remembered at most",
		took, frames/int64(size), len(bad)+len(sound), most)
}
