package watch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func fleet(t *rapid.T) []Member {
	var members []Member
	for c := range rapid.IntRange(1, 8).Draw(t, "data centres") {
		for i := range rapid.IntRange(1, 20).Draw(t, "daemons") {
			members = append(members, Member{fmt.Sprintf("d%d-%d", c, i), fmt.Sprint("c", c), rapid.Bool().Draw(t, "strong")})
		}
	}
	return members
}

func watchers(members []Member) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !Watches(m.Name, members) })
}

// TestEachDataCentreWatches: of each data centre two daemons watch, or the only one, and
// where one of them dies another takes its place.
func TestEachDataCentreWatches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := fleet(t)
		for len(members) > 0 {
			size, found := map[string]int{}, map[string]int{}
			for _, m := range members {
				size[m.DataCentre]++
			}
			for _, m := range watchers(members) {
				found[m.DataCentre]++
			}
			for centre, n := range size {
				if found[centre] != min(n, PerDataCentre) {
					t.Fatalf("%d watchers of %d daemons in %s", found[centre], n, centre)
				}
			}
			first := watchers(members)[0]
			members = slices.DeleteFunc(members, func(m Member) bool { return m == first })
		}
	})
}

// TestAnyWatcherAloneIsInTime: all watches are cut without a word and all watchers but one
// are cut off from the store, unknown to their peers. That one finds a change within the
// 3 s in which the users' store settles, with what the way through a large fleet takes.
// With one watcher that looked often and five that held for up to 8 s, which one it was
// decided: a change came 3.6 s late.
func TestAnyWatcherAloneIsInTime(t *testing.T) {
	const (
		settles      = 3 * time.Second
		answerMargin = 800 * time.Millisecond
		throughFleet = 400 * time.Millisecond
	)
	if late := Hold + answerMargin + throughFleet; late > settles {
		t.Errorf("a change is known after %v", late)
	}
}

// TestAloneItWatches: a daemon that knows nobody, not even itself, watches.
func TestAloneItWatches(t *testing.T) {
	for _, members := range [][]Member{nil, {{"other", "c", true}}} {
		if !Watches("self", members) {
			t.Errorf("among %v it does not watch", members)
		}
	}
}

// TestCallsDoNotGrowWithTheFleet: a fleet of 76 in three data centres makes as many calls
// as one of six, and no more than 4 a second.
func TestCallsDoNotGrowWithTheFleet(t *testing.T) {
	for _, size := range []int{6, 9, 76} {
		var members []Member
		for i := range size {
			members = append(members, Member{fmt.Sprint("d", i), fmt.Sprint("c", i%3), i < 6})
		}
		if calls := float64(len(watchers(members))) / Hold.Seconds(); calls > 4 {
			t.Errorf("%d hosts: %.2f calls a second", size, calls)
		}
	}
}

// TestStrongHostsWatch: where a data centre has strong hosts they watch before weak ones, so
// that a megabyte of settings is read over fast links first.
func TestStrongHostsWatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := fleet(t)
		strong := map[string]int{}
		for _, m := range members {
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
			if found[centre] != min(n, PerDataCentre) {
				t.Fatalf("%d strong watchers of %d strong hosts in %s", found[centre], n, centre)
			}
		}
	})
}
