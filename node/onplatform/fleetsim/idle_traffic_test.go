package fleetsim

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
)

const (
	// idlePeriod is how long a fleet without calls and changes is observed: ten rounds of heartbeats,
	// which are the least frequent periodic messages.
	idlePeriod = 10 * time.Second
	// maxControlRate is the limit on a daemon's control traffic in both directions, in bytes a second.
	maxControlRate = 6000
	// maxIdleGrowth bounds the ratio of a daemon's average traffic to that in a fleet a third of the
	// size. If each message carried a share of the fleet, the ratio would be 3.
	maxIdleGrowth = 1.3
	// smallestFleetRuns is the number of runs of the smallest fleet, whose average is the reference:
	// links are chosen at random, and one link more or less is a tenth of a daemon's traffic.
	smallestFleetRuns = 4
	// allKinds stands for messages of every kind.
	allKinds = "all"
)

// trafficRate is the traffic of the daemons of an idle fleet with one kind of message, sent and received,
// in bytes a second.
type trafficRate struct {
	kind             string
	average, busiest float64
}

// TestIdleTrafficDoesNotGrowWithFleet checks that while nothing changes, a daemon's traffic with its
// peers does not grow with the size of the fleet. The environment variable FLEETS overrides the sizes.
func TestIdleTrafficDoesNotGrowWithFleet(t *testing.T) {
	t.Parallel()
	sizes := cmp.Or(os.Getenv("FLEETS"), "20 60")
	smallest := 0.0 // the average of the smallest fleet's runs
	for _, field := range strings.Fields(sizes) {
		size, err := strconv.Atoi(field)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(fmt.Sprint(size, " daemons"), func(t *testing.T) {
			runs, average := 1, 0.0
			if smallest == 0 {
				runs = smallestFleetRuns
			}
			for range runs {
				synctest.Test(t, func(t *testing.T) {
					all := measureIdleTraffic(t, size)
					if all.busiest > maxControlRate {
						t.Errorf("the busiest daemon exchanged %.0f bytes a second, want %d at most", all.busiest, maxControlRate)
					}
					average += all.average / float64(runs)
				})
			}
			if smallest == 0 {
				smallest = average
			}
			if average > maxIdleGrowth*smallest {
				t.Errorf("a daemon exchanged %.0f bytes a second on average, want %.1f times the %.0f of the smallest fleet at most", average, maxIdleGrowth, smallest)
			}
		})
	}
}

// measureIdleTraffic starts a fleet, waits until it is idle and returns the traffic of its daemons then.
func measureIdleTraffic(t *testing.T, size int) trafficRate {
	strong := max(1, size/20)
	f := startSimFleet(t, strong, size-strong, restartPeriod)
	defer f.close()
	f.deliverStoreContent(func(int) bool { return true })
	f.waitForMembers(size)
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

// trafficByDaemon returns the bytes that each daemon has sent and received so far, by kind of message and
// for allKinds.
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

// trafficRates returns the rates between two results of trafficByDaemon that are idlePeriod apart, the
// kind with the busiest daemon first.
func trafficRates(before, after []map[string]int64) []trafficRate {
	rates := map[string][]float64{}
	for i := range after {
		for kind, bytes := range after[i] {
			rates[kind] = append(rates[kind], float64(bytes-before[i][kind])/idlePeriod.Seconds())
		}
	}
	var list []trafficRate
	for kind, perDaemon := range rates {
		sum := 0.0
		for _, rate := range perDaemon {
			sum += rate
		}
		list = append(list, trafficRate{kind, sum / float64(len(perDaemon)), slices.Max(perDaemon)})
	}
	slices.SortFunc(list, func(a, b trafficRate) int {
		return cmp.Or(cmp.Compare(b.busiest, a.busiest), cmp.Compare(a.kind, b.kind))
	})
	return list
}
