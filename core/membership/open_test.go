package membership

import (
	"testing"
	"time"
)

func openTable(name string, incarnation int64) *Table {
	return NewOpenTable(Host{Name: name, Address: "10.0.0.1:" + name, DataCentre: "dc", Region: "r"}, incarnation)
}

// meet introduces two daemons to each other, each with all that it knows.
func meet(a, b *Table) {
	fromA, fromB := a.Everybody(), b.Everybody()
	for _, r := range fromA {
		b.Receive(r)
	}
	for _, r := range fromB {
		a.Receive(r)
	}
}

func TestAnOpenFleetGrowsByIntroductions(t *testing.T) {
	a, b, c := openTable("a", 1), openTable("b", 1), openTable("c", 1)
	meet(a, b)
	meet(b, c)
	if a.Digest() == c.Digest() {
		t.Fatal("a has not heard of c")
	}
	meet(a, b)
	for _, table := range []*Table{a, b, c} {
		if len(table.Living()) != 3 || len(table.NeighbourNames()) != 2 {
			t.Fatalf("%v with neighbours %v", table.Living(), table.NeighbourNames())
		}
	}
	if a.Digest() != c.Digest() {
		t.Fatal("digests differ though all know the same")
	}
	m, ok := a.Member("c")
	if !ok || m.Address != "10.0.0.1:c" || m.DataCentre != "dc" {
		t.Fatalf("%+v", m)
	}
}

func TestADaemonThatDiedIsForgottenLate(t *testing.T) {
	a, b := openTable("a", 1), openTable("b", 1)
	meet(a, b)
	now := epoch
	a.Tick(now)
	now = now.Add(DeadAfter)
	if rumors := a.Tick(now); len(rumors) != 1 || rumors[0].State != Dead {
		t.Fatalf("%v", rumors)
	}
	if len(a.Living()) != 1 || len(a.NeighbourNames()) != 0 || len(a.Lost()) != 1 {
		t.Fatal(a.Living(), a.NeighbourNames(), a.Lost())
	}
	a.Tick(now)
	a.Tick(now.Add(ForgetAfter + time.Second))
	if len(a.Lost()) != 0 {
		t.Fatal("never forgotten")
	}
	meet(a, b)
	if len(a.Living()) != 2 {
		t.Fatal("it does not come back")
	}
}

// TestARestartIsNews: a process that started again at another address takes the place of
// the one before; its clock may have gone back.
func TestARestartIsNews(t *testing.T) {
	a, b := openTable("a", 1), openTable("b", 5)
	meet(a, b)
	again := NewOpenTable(Host{Name: "b", Address: "10.0.0.9:b"}, 9)
	meet(a, again)
	if m, _ := a.Member("b"); m.Address != "10.0.0.9:b" {
		t.Fatalf("%+v", m)
	}
	a.Receive(Rumor{Name: "b", Incarnation: 9, State: Dead})
	back := openTable("b", 3) // The clock went back.
	meet(a, back)
	meet(a, back)
	if len(a.Living()) != 2 || back.Incarnation() <= 9 {
		t.Fatalf("%v, incarnation %d", a.Living(), back.Incarnation())
	}
}

// TestALeavingDaemonDoesNotDenyIt: it heard from its peers that it had left, said that
// it lived, and was asked to coordinate once a second until its end.
func TestALeavingDaemonDoesNotDenyIt(t *testing.T) {
	a, b := openTable("a", 1), openTable("b", 1)
	meet(a, b)
	b.Leave()
	a.Receive(Rumor{Name: "b", Incarnation: 1, State: Left})
	meet(a, b)
	meet(a, b)
	if m, _ := a.Member("b"); m.State != Left {
		t.Fatalf("it is %v", m.State)
	}
}
