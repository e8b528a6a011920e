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
			c := NewCoverage(m.Name, DefaultHold)
			c.SetDaemons(n)
			c.RecordReport("any", ReadAges{Any: time.Second}, now)
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

// testStart is when the coverage of a test last heard of a read by a watcher.
var testStart = time.Unix(0, 0).Add(time.Hour)

// after returns the time so many milliseconds after testStart.
func after(ms int) time.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }

// newTestCoverage returns the coverage of a daemon that knows of a watcher's read at testStart.
func newTestCoverage(self string) *Coverage {
	c := NewCoverage(self, DefaultHold)
	c.SetDaemons(12)
	c.recordWatcherRead(testStart)
	return c
}

// TestCoverageEndsWithProof checks when a daemon that reads the store because a neighbour does not answer stops: when the neighbour
// answers, when another one knows of a watcher's read since, and at the latest when others watch.
func TestCoverageEndsWithProof(t *testing.T) {
	knows := func(ms int) ReadAges { return ReadAges{Watcher: time.Duration(ms) * time.Millisecond, Any: 1} }
	for name, c := range map[string]struct {
		act  func(c *Coverage)
		at   int
		want bool
	}{
		"neighbour silent":                {func(*Coverage) {}, 1000, true},
		"neighbour answers again":         {func(c *Coverage) { c.RecordAnswer("a", after(500), ReadAges{}) }, 1000, false},
		"another answers without proof":   {func(c *Coverage) { c.RecordAnswer("b", after(500), ReadAges{}) }, 1000, true},
		"another knows of an older read":  {func(c *Coverage) { c.RecordAnswer("b", after(500), knows(600)) }, 1000, true},
		"another knows of a later read":   {func(c *Coverage) { c.RecordAnswer("b", after(500), knows(300)) }, 1000, false},
		"this daemon reads":               {func(c *Coverage) { c.RecordRead(after(700), false) }, 1000, true},
		"this daemon watches, and reads":  {func(c *Coverage) { c.RecordRead(after(700), true) }, 1000, false},
		"a second neighbour falls silent": {func(c *Coverage) { c.RecordAnswer("b", after(500), knows(1)); c.RecordUnanswered("b", after(900)) }, 1000, true},
		"silent again does not count":     {func(c *Coverage) { c.RecordAnswer("b", after(500), knows(1)); c.RecordUnanswered("a", after(900)) }, 1000, false},
	} {
		t.Run(name, func(t *testing.T) {
			coverage := newTestCoverage("d")
			coverage.RecordUnanswered("a", after(200))
			c.act(coverage)
			if got := coverage.MustRead(after(c.at)); got != c.want {
				t.Errorf("MustRead = %v, want %v", got, c.want)
			}
		})
	}
	silent := newTestCoverage("d")
	silent.RecordUnanswered("a", after(200))
	silent.RecordReport("b", ReadAges{Any: 1}, after(5000))
	if silent.MustRead(after(200).Add(maxUnanswered)) {
		t.Errorf("MustRead = true %v after a neighbour fell silent, want false", maxUnanswered)
	}
}

// TestStoreThatNobodyReadsIsRead guards against daemons that wait for changes from watchers which the store refuses.
func TestStoreThatNobodyReadsIsRead(t *testing.T) {
	const last = 11 // the first millisecond after every turn, beside a base
	turns := int(12 * turnInterval / time.Millisecond)
	unread := int((DefaultHold + AnswerMargin + reportTime) / time.Millisecond)
	reported := 1000 + int(reportTime/time.Millisecond)
	fails := func(c *Coverage) { c.RecordReport("a", ReadAges{Fails: true}, after(1000)) }
	for name, c := range map[string]struct {
		act  func(c *Coverage)
		at   int
		want bool
	}{
		"read lately":                       {func(*Coverage) {}, unread - 1, false},
		"not read for long":                 {func(*Coverage) {}, unread + turns + last, true},
		"another daemon reads":              {func(c *Coverage) { c.RecordReport("a", ReadAges{Any: 1}, after(3000)) }, unread + turns + last, false},
		"neighbour's reads fail":            {fails, reported + turns + last, true},
		"neighbour's reads fail, no turn":   {fails, reported - 1, false},
		"neighbour's reads fail, not all":   {func(c *Coverage) { fails(c); c.RecordReport("b", ReadAges{Any: 1}, after(1500)) }, reported + turns + last, false},
		"neighbour's reads work again":      {func(c *Coverage) { fails(c); c.RecordReport("a", ReadAges{}, after(2000)) }, reported + turns + last, false},
		"goes on after its first read":      {func(c *Coverage) { c.RecordRead(after(6000), false) }, 6001, true},
		"until a watcher has read":          {func(c *Coverage) { c.RecordRead(after(6000), false); c.recordWatcherRead(after(7000)) }, 7001, false},
		"not after a read that was not due": {func(c *Coverage) { c.RecordRead(after(2000), false) }, 2001, false},
		"pauses after a failure":            {func(c *Coverage) { c.RecordFailure(after(6000)) }, 6001, false},
		"tries again after a failure":       {func(c *Coverage) { c.RecordFailure(after(6000)) }, 6000 + 3*turns + last, true},
	} {
		t.Run(name, func(t *testing.T) {
			coverage := newTestCoverage("d")
			c.act(coverage)
			if got := coverage.MustRead(after(c.at)); got != c.want {
				t.Errorf("MustRead = %v, want %v", got, c.want)
			}
		})
	}
}

// TestFailingReadsAreReportedUntilOthersRead checks what a daemon tells others of its own failed reads.
func TestFailingReadsAreReportedUntilOthersRead(t *testing.T) {
	c := newTestCoverage("d")
	c.RecordFailure(after(500))
	if !c.Ages(after(600), true).Fails || !c.Ages(after(600), false).Fails {
		t.Error("a failed read is not reported")
	}
	c.RecordReport("b", ReadAges{Any: 1}, after(700))
	if c.Ages(after(800), false).Fails || !c.Ages(after(800), true).Fails {
		t.Error("once another daemon reads, Fails has to be true at a watcher only")
	}
	c.RecordRead(after(900), true)
	if got := c.Ages(after(1000), true); got.Fails || got.Watcher != 100*time.Millisecond || got.Any != 100*time.Millisecond {
		t.Errorf("Ages after a read = %+v, want 100ms and no failure", got)
	}
}

// TestOutageIsNotMetByAllDaemonsAtOnce checks how many calls a fleet adds to those of its watchers while the store is down:
// not many in any tenth of a second, and fewer the longer it lasts.
func TestOutageIsNotMetByAllDaemonsAtOnce(t *testing.T) {
	const daemons, step = 520, 10 * time.Millisecond
	var fleet []*Coverage
	for i := range daemons {
		c := newTestCoverage(fmt.Sprint("edge-", i))
		c.SetDaemons(daemons)
		c.RecordReport("watcher", ReadAges{Fails: true}, testStart.Add(time.Millisecond))
		fleet = append(fleet, c)
	}
	calls, tenth := 0, 0
	for now := testStart; now.Before(after(60_000)); now = now.Add(step) {
		if now.Sub(testStart)%(100*time.Millisecond) == 0 {
			tenth = 0
		}
		for _, c := range fleet {
			if c.MustRead(now) {
				c.RecordFailure(now)
				calls++
				tenth++
			}
		}
		if tenth > 12 {
			t.Fatalf("%d calls within 0.1 s, %v after the store went down, want 12 at most", tenth, now.Sub(testStart))
		}
	}
	if most := 2 * daemons; calls > most {
		t.Errorf("%d calls within a minute, want %d at most", calls, most)
	}
}

// TestSilentNeighboursAreForgotten checks that daemons that have ended do not stay in memory.
func TestSilentNeighboursAreForgotten(t *testing.T) {
	c := newTestCoverage("d")
	for i := range 1000 {
		c.RecordUnanswered(fmt.Sprint("d", i), after(1000*i))
	}
	if most := int(maxRecorded/time.Second) + 1; len(c.unanswered) > most {
		t.Errorf("%d silent neighbours are remembered, want %d at most", len(c.unanswered), most)
	}
}
