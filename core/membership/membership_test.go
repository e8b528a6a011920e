package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// mesh is a number of tables with their links; rumors travel at once.
type mesh struct {
	tables map[string]*Table
	down   map[string]bool
	side   map[string]int
	now    time.Time
	hops   int
}

func newMesh(n int) *mesh {
	m := &mesh{tables: map[string]*Table{}, down: map[string]bool{}, side: map[string]int{}, now: epoch}
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

func (m *mesh) linked(a, b string) bool {
	return !m.down[a] && !m.down[b] && m.side[a] == m.side[b]
}

// links lists both ends of a daemon's links, as links work in both directions.
func (m *mesh) links(name string) []string {
	var list []string
	for other, t := range m.tables {
		for _, n := range t.NeighbourNames() {
			if other == name && m.linked(name, n) {
				list = append(list, n)
			}
			if n == name && m.linked(name, other) {
				list = append(list, other)
			}
		}
	}
	return list
}

func (m *mesh) spread(from string, r Rumor) {
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
			m.hops = max(m.hops, i.hops)
			push(i.to, next, i.hops+1)
		}
	}
}

func (m *mesh) second() {
	m.now = m.now.Add(HeartbeatEvery)
	for name, t := range m.tables {
		for _, n := range t.NeighbourNames() {
			if !m.linked(name, n) {
				continue
			}
			for _, pair := range [][2]string{{name, n}, {n, name}} {
				to := m.tables[pair[0]]
				if r, news := to.Heard(pair[1], 1, m.tables[pair[1]].Incarnation(), 1, m.now); news {
					m.spread(pair[0], r)
				}
				for _, r := range m.tables[pair[1]].News() {
					if next, news := to.Receive(r); news {
						m.spread(pair[0], next)
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
			m.spread(name, r)
		}
	}
}

func TestADeadDaemonIsKnownEverywhereAndLinksStayBounded(t *testing.T) {
	for _, n := range []int{2, 6, 60, 520} {
		m := newMesh(n)
		for _, table := range m.tables {
			if got := len(table.NeighbourNames()); got > Neighbours {
				t.Fatalf("%d links in a fleet of %d", got, n)
			}
		}
		m.second()
		m.down["d1"] = true
		for range 4 {
			m.second()
		}
		for name, table := range m.tables {
			member, _ := table.Member("d1")
			if name != "d1" && member.State != Dead {
				t.Fatalf("of %d daemons, %s believes d1 %v", n, name, member.State)
			}
			if name != "d1" && len(table.Living()) != n-1 {
				t.Fatalf("of %d daemons, %s believes %d alive", n, name, len(table.Living()))
			}
		}
		if m.hops > 12 {
			t.Errorf("the news took %d hops among %d", m.hops, n)
		}
	}
}

func TestBothSidesOfASplitFindTogetherAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 30).Draw(t, "n")
		m := newMesh(n)
		m.second()
		for name := range m.tables {
			m.side[name] = 0
		}
		for i := range n {
			m.side[fmt.Sprint("d", i)] = rapid.IntRange(0, 1).Draw(t, "side")
		}
		for range 5 {
			m.second()
		}
		clear(m.side)
		for range 6 {
			m.second()
		}
		for name, table := range m.tables {
			if got := len(table.Living()); got != n {
				t.Fatalf("%s believes %d of %d alive after the split", name, got, n)
			}
		}
	})
}

func TestAPausedDaemonDoesNotDeclareOthersDead(t *testing.T) {
	m := newMesh(3)
	m.second()
	table := m.tables["d0"]
	woken := m.now.Add(time.Hour)
	table.Void(woken)
	if rumors := table.Tick(woken); len(rumors) != 0 {
		t.Fatalf("says %v on old beliefs", rumors)
	}
}
