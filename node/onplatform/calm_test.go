package onplatform

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"doorstack.dev/core/membership"
)

const (
	// idlePeriod is how long a fleet without calls and changes is watched: ten rounds of
	// heartbeats, the slowest thing that daemons repeat.
	idlePeriod = 10 * time.Second
	// maxControlRate is what a daemon may exchange for control, in bytes a second.
	maxControlRate = 6000
	// maxIdleGrowth is how much more a daemon of a fleet may say on average than one of a fleet a
	// third of its size: a share of the fleet in each message would make it three times as much.
	maxIdleGrowth = 1.3
	// smallestFleetRuns is how often the smallest fleet is played: whom its daemons link to is drawn,
	// and one link more or less is a tenth of what each of them says.
	smallestFleetRuns = 4
	// allKinds stands for messages of every kind.
	allKinds = "all"
)

// trafficRate is what daemons send and receive in a calm second by one kind of message, in bytes.
type trafficRate struct {
	kind             string
	average, busiest float64
}

// TestIdleTrafficDoesNotGrowWithFleet: while nothing happens, what a daemon exchanges with the others does
// not grow with the fleet. FLEETS names other sizes than those that every run plays.
func TestIdleTrafficDoesNotGrowWithFleet(t *testing.T) {
	sizes := cmp.Or(os.Getenv("FLEETS"), "20 60")
	smallest := 0.0 // the average of the smallest fleet's plays
	for _, field := range strings.Fields(sizes) {
		size, err := strconv.Atoi(field)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(fmt.Sprint(size, " daemons"), func(t *testing.T) {
			plays, average := 1, 0.0
			if smallest == 0 {
				plays = smallestFleetRuns
			}
			for range plays {
				synctest.Test(t, func(t *testing.T) {
					all := measureIdleTraffic(t, size)
					if all.busiest > maxControlRate {
						t.Errorf("the busiest daemon exchanges %.0f bytes a second, want %d at most", all.busiest, maxControlRate)
					}
					average += all.average / float64(plays)
				})
			}
			if smallest == 0 {
				smallest = average
			}
			if average > maxIdleGrowth*smallest {
				t.Errorf("a daemon exchanges %.0f bytes a second on average, one of the smallest fleet %.0f", average, smallest)
			}
		})
	}
}

// measureIdleTraffic starts a fleet, lets it settle and returns what its daemons exchange then.
func measureIdleTraffic(t *testing.T, size int) trafficRate {
	strong := max(1, size/20)
	f := startSimFleet(t, strong, size-strong, restartPeriod)
	defer f.close()
	f.deliverStoreContent(func(int) bool { return true })
	f.waitAll("all others", func(d *simDaemon) bool {
		known := 0
		d.board.Members.WithLock(func(members *membership.Table) { known = members.AliveCount() })
		return known == size
	})
	passTime(idlePeriod)
	before := f.trafficByDaemon()
	passTime(idlePeriod)
	var all trafficRate
	for _, kind := range trafficRates(before, f.trafficByDaemon()) {
		if kind.busiest > 0 {
			t.Logf("%-12s average %6.0f, busiest %6.0f bytes a second", kind.kind, kind.average, kind.busiest)
		}
		if kind.kind == allKinds {
			all = kind
		}
	}
	return all
}

// exchangedSoFar is what each daemon has sent and received, in bytes by kind and in all.
func (f *simFleet) trafficByDaemon() []map[string]int64 {
	var list []map[string]int64
	for _, d := range f.daemons {
		kinds := map[string]int64{}
		for _, k := range d.traffic(f.t) {
			kinds[k.Kind] = k.BytesIn + k.BytesOut
			kinds[allKinds] += kinds[k.Kind]
		}
		list = append(list, kinds)
	}
	return list
}

// trafficRates compares two looks at a fleet, idlePeriod apart; the kind that says most comes first.
func trafficRates(before, after []map[string]int64) []trafficRate {
	rates := map[string][]float64{}
	for i := range after {
		for kind, bytes := range after[i] {
			rates[kind] = append(rates[kind], float64(bytes-before[i][kind])/idlePeriod.Seconds())
		}
	}
	var list []trafficRate
	for kind, of := range rates {
		sum := 0.0
		for _, rate := range of {
			sum += rate
		}
		list = append(list, trafficRate{kind, sum / float64(len(of)), slices.Max(of)})
	}
	slices.SortFunc(list, func(a, b trafficRate) int {
		return cmp.Or(cmp.Compare(b.busiest, a.busiest), cmp.Compare(a.kind, b.kind))
	})
	return list
}
