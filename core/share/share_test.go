package share

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const daemonCount = 6

// fleetModel models one account at several daemons, which a network partition may split into two
// sides. Each side with daemons has its own owner of the account.
type fleetModel struct {
	now     time.Time
	holders [daemonCount]*Holder
	side    [daemonCount]int
	owners  map[int]*Owner // by the index of the owning daemon
	demand  [daemonCount]float64
}

func newFleetModel() *fleetModel {
	m := &fleetModel{now: epoch, owners: map[int]*Owner{}}
	for i := range m.holders {
		m.holders[i] = &Holder{}
	}
	return m
}

// owner returns the owner on a side, which is its first daemon, and the number of daemons there.
func (m *fleetModel) owner(side int) (owner, alive int) {
	owner = -1
	for i, s := range m.side {
		if s != side {
			continue
		}
		alive++
		if owner < 0 {
			owner = i
		}
	}
	return owner, alive
}

// renew renews the lease of daemon i; the grant does not arrive if lost is true.
func (m *fleetModel) renew(i int, lost bool) {
	id, alive := m.owner(m.side[i])
	o := m.owners[id]
	if o == nil {
		o = NewOwner(m.now, m.now)
		m.owners[id] = o
	}
	g := o.Renew(m.holders[i].NewRenewal(fmt.Sprint(i), m.demand[i], m.now), alive, daemonCount, m.now)
	if !lost {
		m.holders[i].Accept(g, m.now)
	}
}

func (m *fleetModel) totalFraction() float64 {
	total := 0.0
	for _, h := range m.holders {
		total += h.LeasedFraction(m.now) + Floor(daemonCount)
	}
	return total
}

// TestLeasesStayWithinLimit checks that the daemons together never exceed the limit, with partitions,
// lost messages, restarts of owners and holders, and any demand.
func TestLeasesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetModel()
		daemon := rapid.IntRange(0, daemonCount-1)
		t.Repeat(map[string]func(*rapid.T){
			"renew": func(t *rapid.T) { m.renew(daemon.Draw(t, "daemon"), rapid.IntRange(0, 4).Draw(t, "lost") == 0) },
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms")) * time.Millisecond)
			},
			"demand": func(t *rapid.T) { m.demand[daemon.Draw(t, "daemon")] = rapid.Float64Range(0, 3).Draw(t, "demand") },
			"split": func(t *rapid.T) {
				i := daemon.Draw(t, "daemon")
				m.side[i] ^= 1
				m.dropStaleOwners()
				if id, _ := m.owner(m.side[i]); m.owners[id] != nil {
					m.owners[id].SetUnknownSince(m.now)
				}
			},
			"restart": func(t *rapid.T) {
				i := daemon.Draw(t, "daemon")
				m.holders[i] = &Holder{}
				delete(m.owners, i)
			},
			"": func(t *rapid.T) {
				if s := m.totalFraction(); s > 1+1e-9 {
					t.Fatalf("the daemons may use %f of the limit, want at most 1", s)
				}
			},
		})
	})
}

// dropStaleOwners drops the state of daemons that no longer own the account.
func (m *fleetModel) dropStaleOwners() {
	for id := range m.owners {
		if owner, _ := m.owner(m.side[id]); owner != id {
			delete(m.owners, id)
		}
	}
}

func (m *fleetModel) settle() {
	for range 20 {
		for i := range m.holders {
			m.renew(i, false)
		}
		m.now = m.now.Add(RenewInterval)
	}
}

func TestLeasesUseMostOfLimit(t *testing.T) {
	one := newFleetModel()
	one.demand[3] = 1
	one.settle()
	if f := one.holders[3].LeasedFraction(one.now.Add(-time.Second)); f < 0.85 {
		t.Errorf("one daemon with all the traffic may use %.2f of the limit, want at least 0.85", f)
	}
	all := newFleetModel()
	for i := range all.demand {
		all.demand[i] = 1.0 / daemonCount
	}
	all.settle()
	all.now = all.now.Add(-time.Second)
	if s := all.totalFraction(); s < 0.95 {
		t.Errorf("all daemons together may use %.2f of the limit, want at least 0.95", s)
	}
}
