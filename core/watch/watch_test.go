package watch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawFleet(t *rapid.T) []Member {
	var members []Member
	for c := range rapid.IntRange(1, 8).Draw(t, "data centres") {
		for i := range rapid.IntRange(1, 20).Draw(t, "daemons") {
			members = append(members, Member{fmt.Sprintf("d%d-%d", c, i), fmt.Sprint("c", c), rapid.Bool().Draw(t, "strong")})
		}
	}
	return members
}

func watchers(members []Member) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !ShouldWatch(m.Name, members) })
}

// watcherBounds is the number of daemons that have to watch in a data centre of so many, in a fleet
// of so many data centres: all that are needed for MinPerFleet, no more than MaxPerDataCentre.
func watcherBounds(daemons, centres int) (least, most int) {
	least, most = 1, min(daemons, MaxPerDataCentre)
	switch {
	case centres*MaxPerDataCentre <= MinPerFleet:
		least = most
	case centres >= MinPerFleet:
		most = 1
	}
	return least, most
}

// TestEachDataCentreHasWatchers: in each data centre a daemon watches, in as many a second one as
// the fleet needs, and where one of them dies another takes its place.
func TestEachDataCentreHasWatchers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawFleet(t)
		for len(members) > 0 {
			size, found := map[string]int{}, map[string]int{}
			for _, m := range members {
				size[m.DataCentre]++
			}
			for _, m := range watchers(members) {
				found[m.DataCentre]++
			}
			for centre, n := range size {
				if least, most := watcherBounds(n, len(size)); found[centre] < least || found[centre] > most {
					t.Fatalf("%d watchers of %d daemons in %s, one of %d data centres", found[centre], n, centre, len(size))
				}
			}
			first := watchers(members)[0]
			members = slices.DeleteFunc(members, func(m Member) bool { return m == first })
		}
	})
}

// TestWatcherCount: a fleet of any shape has MinPerFleet watchers where its data centres have
// enough daemons, and one in each of them at least.
func TestWatcherCount(t *testing.T) {
	for centres := 1; centres <= 8; centres++ {
		var members []Member
		for i := range 60 * centres {
			members = append(members, Member{fmt.Sprint("d", i), fmt.Sprint("c", i%centres), i%7 == 0})
		}
		want := max(centres, min(MinPerFleet, centres*MaxPerDataCentre))
		if got := len(watchers(members)); got != want {
			t.Errorf("%d data centres: %d watchers, want %d", centres, got, want)
		}
	}
}

// TestSingleWatcherFindsChangeWithinSettleTime: all watches are cut without a word and all watchers but one
// are cut off from the store, unknown to their peers. That one finds a change within the time
// in which the store settles, with what the way through a large fleet takes. With one watcher
// that looked often and five that held for up to 8 s, which one it was decided: a change came
// 3.6 s late.
func TestSingleWatcherFindsChangeWithinSettleTime(t *testing.T) {
	const (
		answerMargin = 800 * time.Millisecond
		throughFleet = 400 * time.Millisecond
	)
	for _, settles := range []time.Duration{1700 * time.Millisecond, 2 * time.Second, 3 * time.Second, 4 * time.Second, 5 * time.Second, 20 * time.Second} {
		if late := HoldTime(settles) + answerMargin + throughFleet; late > settles {
			t.Errorf("a change is known after %v, the store settles in %v", late, settles)
		}
	}
	if HoldTime(0) > HoldTime(3*time.Second) {
		t.Errorf("a platform that does not say how soon its store settles is asked each %v", HoldTime(0))
	}
}

// TestUnlistedDaemonWatches: a daemon that knows nobody, not even itself, watches.
func TestUnlistedDaemonWatches(t *testing.T) {
	for _, members := range [][]Member{nil, {{"other", "c", true}}} {
		if !ShouldWatch("self", members) {
			t.Errorf("among %v it does not watch", members)
		}
	}
}

// TestCallRateIsIndependentOfFleetSize: a fleet of 76 in three data centres makes as many calls
// as one of six, and no more than 4 a second.
func TestCallRateIsIndependentOfFleetSize(t *testing.T) {
	for _, size := range []int{6, 9, 76} {
		var members []Member
		for i := range size {
			members = append(members, Member{fmt.Sprint("d", i), fmt.Sprint("c", i%3), i < 6})
		}
		if calls := float64(len(watchers(members))) / HoldTime(0).Seconds(); calls > 4 {
			t.Errorf("%d hosts: %.2f calls a second", size, calls)
		}
	}
}

// TestStrongHostsWatchFirst: where a data centre has strong hosts they watch before weak ones, so
// that a megabyte of settings is read over fast links first.
func TestStrongHostsWatchFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawFleet(t)
		strong, centres := map[string]int{}, map[string]bool{}
		for _, m := range members {
			centres[m.DataCentre] = true
			if m.Strong {
				strong[m.DataCentre]++
			}
		}
		found := map[string]int{}
		for _, m := range watchers(members) {
			if m.Strong {
				found[m.DataCentre]++
			}
		}
		for centre, n := range strong {
			if least, most := watcherBounds(n, len(centres)); found[centre] < least || found[centre] > most {
				t.Fatalf("%d strong watchers of %d strong hosts in %s", found[centre], n, centre)
			}
		}
	})
}
