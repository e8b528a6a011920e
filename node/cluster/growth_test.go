package cluster

import (
	"fmt"
	"testing"
	"time"

	"doorstack.dev/core/coordination"
	"doorstack.dev/core/membership"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/internal/testalloc"
)

// The tests in this file check that what a daemon does again and again costs no more in a large fleet than in
// a small one.

// openBoard returns the blackboard of a daemon that knows n daemons of an open fleet, one in ten of them strong.
func openBoard(n int) *blackboard.Blackboard {
	board := blackboard.New(blackboard.Identity{Name: "daemon-0", Incarnation: 1, DataCentre: "dc0", Region: "r0", Cores: 0.2}, blackboard.DefaultLimits())
	board.Members.OpenFleet()
	board.Members.WithLock(func(t *membership.Table) {
		for i := 1; i < n; i++ {
			cores := 0.2
			if i%10 == 0 {
				cores = 0.8
			}
			t.Receive(membership.Rumor{
				Name: fmt.Sprint("daemon-", i), Incarnation: 1, State: membership.Alive, Cores: cores,
				Address: fmt.Sprintf("10.0.%d.%d:8082", i/250, i%250), DataCentre: fmt.Sprint("dc", i%5), Region: "r0",
			})
		}
	})
	return board
}

// The sizes of fleets that are compared, and how much more an operation may allocate in the larger one.
const (
	smallFleet, largeFleet = 100, 1170
	maxGrowth              = 1.1
)

// TestRepeatedWorkDoesNotGrowWithTheFleet covers what every daemon does for each call or several times a second,
// also if it is idle. Ranking all members each time allocated 22 KB among 100 daemons and 254 KB among 1,170.
func TestRepeatedWorkDoesNotGrowWithTheFleet(t *testing.T) {
	operations := map[string]func(*Cluster) func(){
		"finding the coordinator": func(c *Cluster) func() { return func() { c.Placer.coordinatorOf("llm", time.Now()) } },
		"looking for ended calls": func(c *Cluster) func() {
			for i := range 50 {
				c.Placer.coordinated[fmt.Sprint("a", i)] = &coordinatedCall{requester: fmt.Sprint("daemon-", i%9), expires: time.Now().Add(time.Hour), answer: &placeAnswer{}}
			}
			return func() { c.Placer.expiredCalls(time.Now()) }
		},
		"counting the daemons": func(c *Cluster) func() { return func() { c.Board.Members.DaemonCount() } },
		"a heartbeat's digest": func(c *Cluster) func() {
			return func() { c.Board.Members.WithLock(func(t *membership.Table) { t.Digest() }) }
		},
	}
	for name, prepare := range operations {
		cost := func(n int) float64 {
			c := &Cluster{Board: openBoard(n)}
			c.Placer = newPlacer(c)
			return testalloc.BytesPerRun(prepare(c))
		}
		small, large := cost(smallFleet), cost(largeFleet)
		if large > maxGrowth*small+testalloc.Noise {
			t.Errorf("%s allocates %.0f bytes among %d daemons and %.0f among %d, want it not to grow", name, small, smallFleet, large, largeFleet)
		}
	}
}

// TestCoordinatorFollowsTheMembers checks that the ranking is made anew when members die, return or restart,
// and that late daemons are passed over.
func TestCoordinatorFollowsTheMembers(t *testing.T) {
	c := &Cluster{Board: openBoard(50)}
	p := newPlacer(c)
	now := time.Now()
	first := p.coordinatorOf("llm", now)
	receive := func(state membership.State, incarnation int64) {
		c.Board.Members.WithLock(func(t *membership.Table) {
			t.Receive(membership.Rumor{Name: first.Name, Incarnation: incarnation, State: state})
		})
	}
	receive(membership.Dead, 1)
	if second := p.coordinatorOf("llm", now); second.Name == first.Name || second.Name == "" {
		t.Errorf("coordinator after the death of %s = %q, want another", first.Name, second.Name)
	}
	receive(membership.Alive, 2)
	if back := p.coordinatorOf("llm", now); back != (coordination.Candidate{Name: first.Name, Incarnation: 2}) {
		t.Errorf("coordinator after the restart of %s = %+v, want it in its new incarnation", first.Name, back)
	}
	for _, m := range c.Board.Members.View().Members {
		if m.Cores > 0.5 {
			p.links.peers.LinkOpened(m.Name, now)
			p.links.peers.TimedOut(m.Name, time.Second, now)
		}
	}
	if weak := p.coordinatorOf("llm", now); weak.Name == "" || !p.links.peers.Usable(weak.Name, now) {
		t.Errorf("coordinator while all strong daemons are late = %+v, want a weak one", weak)
	}
	p.links.peers.Answered(first.Name, now)
	if again := p.coordinatorOf("llm", now); again.Name != first.Name {
		t.Errorf("coordinator after a late answer of %s = %+v, want it", first.Name, again)
	}
}
