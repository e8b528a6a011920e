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
	// calmFor is how long a fleet without calls and changes is watched: ten rounds of
	// heartbeats, the slowest thing that daemons repeat.
	calmFor = 10 * time.Second
	// controlBudget is what a daemon may exchange for control, in bytes a second.
	controlBudget = 6000
	// calmGrowth is how much more a daemon of a fleet may say on average than one of a fleet a
	// third of its size: a share of the fleet in each message would make it three times as much.
	calmGrowth = 1.3
	// smallestPlays is how often the smallest fleet is played: whom its daemons link to is drawn,
	// and one link more or less is a tenth of what each of them says.
	smallestPlays = 4
	// allKinds stands for messages of every kind.
	allKinds = "all"
)

// exchanged is what daemons send and receive in a calm second by one kind of message, in bytes.
type exchanged struct {
	kind             string
	average, busiest float64
}

// TestACalmFleetSaysLittle: while nothing happens, what a daemon exchanges with the others does
// not grow with the fleet. FLEETS names other sizes than those that every run plays.
func TestACalmFleetSaysLittle(t *testing.T) {
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
				plays = smallestPlays
			}
			for range plays {
				synctest.Test(t, func(t *testing.T) {
					all := playCalm(t, size)
					if all.busiest > controlBudget {
						t.Errorf("the busiest daemon exchanges %.0f bytes a second, want %d at most", all.busiest, controlBudget)
					}
					average += all.average / float64(plays)
				})
			}
			if smallest == 0 {
				smallest = average
			}
			if average > calmGrowth*smallest {
				t.Errorf("a daemon exchanges %.0f bytes a second on average, one of the smallest fleet %.0f", average, smallest)
			}
		})
	}
}

// playCalm starts a fleet, lets it settle and returns what its daemons exchange then.
func playCalm(t *testing.T, size int) exchanged {
	strong := max(1, size/20)
	f := startSpreadFleet(t, strong, size-strong, herdStarts)
	defer f.close()
	f.restart(func(int) bool { return true })
	f.until("all others", func(d *spreadDaemon) bool {
		known := 0
		d.board.Members.WithLock(func(members *membership.Table) { known = members.AliveCount() })
		return known == size
	})
	pass(calmFor)
	before := f.exchangedSoFar()
	pass(calmFor)
	var all exchanged
	for _, kind := range difference(before, f.exchangedSoFar()) {
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
func (f *spreadFleet) exchangedSoFar() []map[string]int64 {
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

// difference compares two looks at a fleet, calmFor apart; the kind that says most comes first.
func difference(before, after []map[string]int64) []exchanged {
	rates := map[string][]float64{}
	for i := range after {
		for kind, bytes := range after[i] {
			rates[kind] = append(rates[kind], float64(bytes-before[i][kind])/calmFor.Seconds())
		}
	}
	var list []exchanged
	for kind, of := range rates {
		sum := 0.0
		for _, rate := range of {
			sum += rate
		}
		list = append(list, exchanged{kind, sum / float64(len(of)), slices.Max(of)})
	}
	slices.SortFunc(list, func(a, b exchanged) int {
		return cmp.Or(cmp.Compare(b.busiest, a.busiest), cmp.Compare(a.kind, b.kind))
	})
	return list
}
