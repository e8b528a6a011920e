package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// testFleet is a fleet of tables with the links between them. Rumors travel instantly.
type testFleet struct {
	tables    map[string]*Table
	down      map[string]bool
	partition map[string]int
	now       time.Time
	maxHops   int
}

func newTestFleet(n int) *testFleet {
	m := &testFleet{tables: map[string]*Table{}, down: map[string]bool{}, partition: map[string]int{}, now: epoch}
	var hosts []Host
	for i := range n {
		hosts = append(hosts, Host{Name: fmt.Sprint("d", i), Address: fmt.Sprint("a", i)})
	}
	for _, h := range hosts {
		t := NewTable(h.Name, 1)
		t.SetHosts(hosts, m.now)
		m.tables[h.Name] = t
	}
	return m
}

// connected reports whether two daemons are both up and in the same partition.
func (m *testFleet) connected(a, b string) bool {
	return !m.down[a] && !m.down[b] && m.partition[a] == m.partition[b]
}

// links returns the daemons at the other ends of a daemon's links, which work in both directions.
func (m *testFleet) links(name string) []string {
	var list []string
	for other, t := range m.tables {
		for _, n := range t.NeighbourNames() {
			if other == name && m.connected(name, n) {
				list = append(list, n)
			}
			if n == name && m.connected(name, other) {
				list = append(list, other)
			}
		}
	}
	return list
}

// gossip delivers a rumor from a daemon to the fleet and records the number of hops it took.
func (m *testFleet) gossip(from string, r Rumor) {
	type item struct {
		to   string
		r    Rumor
		hops int
	}
	queue := []item{}
	push := func(name string, r Rumor, hops int) {
		for _, to := range m.links(name) {
			queue = append(queue, item{to, r, hops})
		}
	}
	push(from, r, 1)
	for len(queue) > 0 {
		i := queue[0]
		queue = queue[1:]
		if next, news := m.tables[i.to].Receive(i.r); news {
			m.maxHops = max(m.maxHops, i.hops)
			push(i.to, next, i.hops+1)
		}
	}
}

// runSecond exchanges one heartbeat on each link and then ticks every table.
func (m *testFleet) runSecond() {
	m.now = m.now.Add(HeartbeatInterval)
	for name, t := range m.tables {
		for _, n := range t.NeighbourNames() {
			if !m.connected(name, n) {
				continue
			}
			for _, pair := range [][2]string{{name, n}, {n, name}} {
				to := m.tables[pair[0]]
				if r, news := to.RecordHeartbeat(pair[1], 1, m.tables[pair[1]].Incarnation(), 1, m.now); news {
					m.gossip(pair[0], r)
				}
				for _, r := range m.tables[pair[1]].SyncRumors() {
					if next, news := to.Receive(r); news {
						m.gossip(pair[0], next)
					}
				}
			}
		}
	}
	for name, t := range m.tables {
		if m.down[name] {
			continue
		}
		for _, r := range t.Tick(m.now) {
			m.gossip(name, r)
		}
	}
}

func TestDeathReachesWholeFleetOverBoundedLinks(t *testing.T) {
	for _, n := range []int{2, 6, 60, 520} {
		m := newTestFleet(n)
		for _, table := range m.tables {
			if got := len(table.NeighbourNames()); got > MaxNeighbours {
				t.Fatalf("len(NeighbourNames()) = %d in a fleet of %d, want at most %d", got, n, MaxNeighbours)
			}
		}
		m.runSecond()
		m.down["d1"] = true
		for range 4 {
			m.runSecond()
		}
		for name, table := range m.tables {
			member, _ := table.Member("d1")
			if name != "d1" && member.State != Dead {
				t.Fatalf("fleet of %d: state of d1 at %s = %v, want dead", n, name, member.State)
			}
			if name != "d1" && len(table.AliveNames()) != n-1 {
				t.Fatalf("fleet of %d: %s has %d daemons alive, want %d", n, name, len(table.AliveNames()), n-1)
			}
		}
		if m.maxHops > 12 {
			t.Errorf("rumors took %d hops in a fleet of %d, want at most 12", m.maxHops, n)
		}
	}
}

func TestPartitionHeals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 30).Draw(t, "n")
		m := newTestFleet(n)
		m.runSecond()
		for name := range m.tables {
			m.partition[name] = 0
		}
		for i := range n {
			m.partition[fmt.Sprint("d", i)] = rapid.IntRange(0, 1).Draw(t, "partition")
		}
		for range 5 {
			m.runSecond()
		}
		clear(m.partition)
		for range 6 {
			m.runSecond()
		}
		for name, table := range m.tables {
			if got := len(table.AliveNames()); got != n {
				t.Fatalf("%s has %d daemons alive after the partition healed, want %d", name, got, n)
			}
		}
	})
}

// TestOwnPauseIsNoSilenceOfOthers guards against a daemon that declares others dead because it stood still itself, after one that had
// been silent for a while.
func TestOwnPauseIsNoSilenceOfOthers(t *testing.T) {
	table := newTestFleet(2).tables["d0"]
	table.RecordHeartbeat("d1", 1, 1, 0, epoch)
	const silent, paused = DeadAfter / 2, DeadAfter
	resumed := epoch.Add(silent + paused)
	table.ExcludePause(paused, resumed)
	if rumors := table.Tick(resumed); len(rumors) != 0 {
		t.Errorf("Tick after a pause of the own process = %v, want no rumors", rumors)
	}
	if rumors := table.Tick(resumed.Add(DeadAfter - silent - 1)); len(rumors) != 0 {
		t.Errorf("Tick before DeadAfter, the pause left out = %v, want no rumors", rumors)
	}
	if rumors := table.Tick(resumed.Add(DeadAfter - silent)); len(rumors) != 1 || rumors[0].State != Dead {
		t.Errorf("Tick after DeadAfter, the pause left out = %v, want one dead rumor", rumors)
	}
}

func TestResetTimeoutsAfterPauseDeclaresNoDeaths(t *testing.T) {
	m := newTestFleet(3)
	m.runSecond()
	table := m.tables["d0"]
	resumed := m.now.Add(time.Hour)
	table.ResetTimeouts(resumed)
	if rumors := table.Tick(resumed); len(rumors) != 0 {
		t.Fatalf("Tick after ResetTimeouts = %v, want no rumors", rumors)
	}
}
