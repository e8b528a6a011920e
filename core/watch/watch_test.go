package watch

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func fleet(t *rapid.T) []Member {
	var members []Member
	for c := range rapid.IntRange(1, 8).Draw(t, "data centres") {
		for i := range rapid.IntRange(1, 20).Draw(t, "daemons") {
			members = append(members, Member{fmt.Sprintf("d%d-%d", c, i), fmt.Sprint("c", c)})
		}
	}
	return members
}

// TestOneLooksOften: of any fleet one daemon looks often and another less so, at most
// two of each data centre watch, and where the first dies another takes its place.
func TestOneLooksOften(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := fleet(t)
		for len(members) > 0 {
			first := ""
			watchers := map[string]int{}
			seconds := 0
			for _, m := range members {
				plan := PlanOf(m.Name, members)
				if !plan.Watches {
					continue
				}
				watchers[m.DataCentre]++
				switch plan.Hold {
				case holdFirst:
					if first != "" {
						t.Fatalf("%s and %s both look often", first, m.Name)
					}
					first = m.Name
				case holdSecond:
					seconds++
				}
			}
			if first == "" || len(members) > 1 && seconds != 1 && len(watchers)+len(members) > 2 {
				t.Fatalf("first %q, %d second watchers of %d", first, seconds, len(members))
			}
			for _, m := range members {
				if n := watchers[m.DataCentre]; n < 1 || n > PerDataCentre {
					t.Fatalf("%d watchers in %s", n, m.DataCentre)
				}
			}
			members = slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Name == first })
		}
	})
}

// TestAloneItWatches: a daemon that knows nobody, not even itself, looks often.
func TestAloneItWatches(t *testing.T) {
	for _, members := range [][]Member{nil, {{"other", "c"}}} {
		if plan := PlanOf("self", members); !plan.Watches || plan.Hold != holdFirst {
			t.Errorf("among %v: %+v", members, plan)
		}
	}
}

// TestCallsOfASmallFleet: in a fleet of six the holds cost no more calls than one of 4.8 s
// at each daemon.
func TestCallsOfASmallFleet(t *testing.T) {
	var members []Member
	for i := range 6 {
		members = append(members, Member{fmt.Sprint("d", i), fmt.Sprint("c", i/2)})
	}
	calls := 0.0
	for _, m := range members {
		calls += 1 / PlanOf(m.Name, members).Hold.Seconds()
	}
	if calls > 6/4.8 {
		t.Errorf("%.2f calls a second", calls)
	}
}
