package watch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestNoGroupOfDaemonsIsLeftWithoutAReader guards against survivors that wait for changes from watchers that have ended:
// whichever daemons of a fleet end, each group of survivors that are still linked to each other has one that reads the store.
func TestNoGroupOfDaemonsIsLeftWithoutAReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawFleet(t)
		n := len(members)
		links := map[int][]int{}
		link := func(a, b int) { links[a], links[b] = append(links[a], b), append(links[b], a) }
		for i := 1; i < n; i++ { // The fleet is connected.
			link(i, rapid.IntRange(0, i-1).Draw(t, "link"))
		}
		ended := rapid.SliceOfN(rapid.Bool(), n, n).Draw(t, "ended")
		now := time.Unix(0, 0).Add(time.Hour)
		reads := make([]bool, n)
		for i, m := range members {
			if ended[i] {
				continue
			}
			c := Coverage{}
			c.RecordWatcherRead(now.Add(-time.Second))
			for _, other := range links[i] {
				if ended[other] {
					c.RecordUnanswered(members[other].Name, now)
				}
			}
			reads[i] = ShouldWatch(m.Name, members) || c.MustRead(now)
		}
		for i := range members {
			if !ended[i] && !groupReads(i, links, ended, reads) {
				t.Fatalf("no daemon reads the store in the group of %s", members[i].Name)
			}
		}
	})
}

// groupReads reports whether a daemon reads the store in the group of running daemons to which a daemon is linked.
func groupReads(start int, links map[int][]int, ended, reads []bool) bool {
	seen, next := map[int]bool{start: true}, []int{start}
	for len(next) > 0 {
		at := next[0]
		next = next[1:]
		if reads[at] {
			return true
		}
		for _, other := range links[at] {
			if !ended[other] && !seen[other] {
				seen[other] = true
				next = append(next, other)
			}
		}
	}
	return false
}

// TestCoverageEndsWithProof checks when a daemon that reads the store in place of the watchers stops: when the neighbour
// answers, when another one knows of a watcher's read since, and at the latest when others watch.
func TestCoverageEndsWithProof(t *testing.T) {
	start := time.Unix(0, 0).Add(time.Hour)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for name, c := range map[string]struct {
		act  func(c *Coverage)
		at   int
		want bool
	}{
		"neighbour silent":                {func(*Coverage) {}, 1000, true},
		"neighbour answers again":         {func(c *Coverage) { c.RecordAnswer("a", at(500), 0) }, 1000, false},
		"another answers without proof":   {func(c *Coverage) { c.RecordAnswer("b", at(500), 0) }, 1000, true},
		"another knows of an older read":  {func(c *Coverage) { c.RecordAnswer("b", at(500), 600*time.Millisecond) }, 1000, true},
		"another knows of a later read":   {func(c *Coverage) { c.RecordAnswer("b", at(500), 300*time.Millisecond) }, 1000, false},
		"this daemon watches, and reads":  {func(c *Coverage) { c.RecordWatcherRead(at(700)) }, 1000, false},
		"a second neighbour falls silent": {func(c *Coverage) { c.RecordAnswer("b", at(500), 1); c.RecordUnanswered("b", at(900)) }, 1000, true},
		"silent again does not count":     {func(c *Coverage) { c.RecordAnswer("b", at(500), 1); c.RecordUnanswered("a", at(900)) }, 1000, false},
		"silent for long":                 {func(c *Coverage) { c.RecordUnanswered("a", at(5000)) }, int(maxUnanswered / time.Millisecond), false},
	} {
		t.Run(name, func(t *testing.T) {
			coverage := Coverage{}
			coverage.RecordUnanswered("a", start)
			c.act(&coverage)
			if got := coverage.MustRead(at(c.at)); got != c.want {
				t.Errorf("MustRead = %v, want %v", got, c.want)
			}
		})
	}
}

// TestSilentNeighboursAreForgotten checks that daemons that have ended do not stay in memory.
func TestSilentNeighboursAreForgotten(t *testing.T) {
	c, now := Coverage{}, time.Unix(0, 0).Add(time.Hour)
	for i := range 1000 {
		c.RecordUnanswered(fmt.Sprint("d", i), now.Add(time.Duration(i)*time.Second))
	}
	if most := int(2*maxUnanswered/time.Second) + 1; len(c.unanswered) > most {
		t.Errorf("%d silent neighbours are remembered, want %d at most", len(c.unanswered), most)
	}
}
