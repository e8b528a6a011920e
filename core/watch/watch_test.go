package watch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawFleet draws the members of a fleet.
func drawFleet(t *rapid.T) []Member {
	var members []Member
	for c := range rapid.IntRange(1, 8).Draw(t, "data centres") {
		for i := range rapid.IntRange(1, 20).Draw(t, "daemons") {
			members = append(members, Member{fmt.Sprintf("d%d-%d", c, i), fmt.Sprint("c", c), rapid.Bool().Draw(t, "strong")})
		}
	}
	return members
}

// watchers returns the members that watch.
func watchers(members []Member) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !ShouldWatch(m.Name, members) })
}

// watcherBounds returns the least and most watchers in a data centre with so many daemons, in a
// fleet of so many data centres: all that are needed for MinPerFleet, at most MaxPerDataCentre.
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

// TestEachDataCentreHasWatchers checks that each data centre has a watcher, that as many as the
// fleet needs have a second one, and that another daemon replaces a watcher that dies.
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
					t.Fatalf("%d watchers of %d daemons in %s, one of %d data centres, want %d to %d", found[centre], n, centre, len(size), least, most)
				}
			}
			first := watchers(members)[0]
			members = slices.DeleteFunc(members, func(m Member) bool { return m == first })
		}
	})
}

// TestWatcherCount checks that a fleet with enough daemons in its data centres has MinPerFleet
// watchers, and at least one in each data centre.
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

// TestSingleWatcherFindsChangeWithinSettleTime checks that a change is known within the settle
// time, propagation through a large fleet included, if all watches are dropped silently and only
// one watcher, whichever it is, still reaches the store, while peers rely on the others too. When
// one watcher held briefly and five for up to 8 s, a change came 3.6 s late if that one was among
// the five.
func TestSingleWatcherFindsChangeWithinSettleTime(t *testing.T) {
	const (
		answerMargin = 800 * time.Millisecond
		throughFleet = 400 * time.Millisecond
	)
	for _, settleTime := range []time.Duration{1700 * time.Millisecond, 2 * time.Second, 3 * time.Second, 4 * time.Second, 5 * time.Second, 20 * time.Second} {
		if late := HoldTime(settleTime) + answerMargin + throughFleet; late > settleTime {
			t.Errorf("with HoldTime(%v) a change is known after %v, want within the settle time", settleTime, late)
		}
	}
	if HoldTime(0) > HoldTime(3*time.Second) {
		t.Errorf("HoldTime(0) = %v, want at most HoldTime(3s) = %v", HoldTime(0), HoldTime(3*time.Second))
	}
}

// TestUnlistedDaemonWatches checks that a daemon that is not among the members watches.
func TestUnlistedDaemonWatches(t *testing.T) {
	for _, members := range [][]Member{nil, {{"other", "c", true}}} {
		if !ShouldWatch("self", members) {
			t.Errorf("ShouldWatch(\"self\", %v) = false, want true", members)
		}
	}
}

// TestCallRateIsIndependentOfFleetSize checks that a fleet of 76 hosts in three data centres makes
// as few calls as a fleet of six, at most 4 a second.
func TestCallRateIsIndependentOfFleetSize(t *testing.T) {
	for _, size := range []int{6, 9, 76} {
		var members []Member
		for i := range size {
			members = append(members, Member{fmt.Sprint("d", i), fmt.Sprint("c", i%3), i < 6})
		}
		if calls := float64(len(watchers(members))) / HoldTime(0).Seconds(); calls > 4 {
			t.Errorf("%d hosts: %.2f calls a second, want at most 4", size, calls)
		}
	}
}

// TestStrongHostsWatchFirst checks that strong hosts of a data centre watch before weak ones, so
// that a megabyte of settings is first read over fast links.
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
				t.Fatalf("%d strong watchers of %d strong hosts in %s, want %d to %d", found[centre], n, centre, least, most)
			}
		}
	})
}
