package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
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

// herd is an open table of so many daemons beside its own, by number from first on.
func herd(self string, first, daemons int) *Table {
	t := openTable(self, 1)
	for i := first; i < first+daemons; i++ {
		name := fmt.Sprint("d", i)
		t.Receive(Rumor{Name: name, Incarnation: 1, Address: "10.0.0.2:" + name, DataCentre: "dc", Region: "r", Cores: 0.2})
	}
	return t
}

// compare exchanges what two daemons know where their digests differ, and returns how many
// rumors that takes.
func compare(a, b *Table) int {
	toA, toB := b.Differing(a.Digests()), a.Differing(b.Digests())
	for _, r := range toA {
		a.Receive(r)
	}
	for _, r := range toB {
		b.Receive(r)
	}
	return len(toA) + len(toB)
}

// TestComparingCostsWhatDiffers: of 520 daemons one is known to one side only. Each side tells
// of the part that it is in, some eight daemons; before, all 520 of them.
func TestComparingCostsWhatDiffers(t *testing.T) {
	a, b := herd("a", 0, 519), herd("b", 0, 520)
	compare(a, b) // They know each other now.
	a.Receive(Rumor{Name: "new", Incarnation: 1, Address: "10.0.0.3:1"})
	if told := compare(a, b); told > 40 {
		t.Errorf("%d rumors for one daemon of 520", told)
	}
	if a.Digest() != b.Digest() {
		t.Error("the digests differ after the comparison")
	}
	if told := compare(a, b); told != 0 {
		t.Errorf("%d rumors though both know the same", told)
	}
}

// TestAnotherVersionIsToldAll: a peer whose digests are in other parts is told of everybody.
func TestAnotherVersionIsToldAll(t *testing.T) {
	if got := len(herd("a", 0, 10).Differing(make([]uint64, 3))); got != 11 {
		t.Errorf("told of %d of 11 daemons", got)
	}
}

// TestComparedTablesAgree: whatever two daemons know of who lives, died and left, they agree
// after at most two comparisons; the second is for what the first one brought into parts that
// were alike.
func TestComparedTablesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{openTable("a", 1), openTable("b", 1)}
		for range rapid.IntRange(0, 60).Draw(t, "rumors") {
			name := fmt.Sprint("d", rapid.IntRange(0, 40).Draw(t, "daemon"))
			r := Rumor{
				Name: name, Incarnation: rapid.Int64Range(1, 3).Draw(t, "incarnation"), Address: "10.0.0.2:" + name,
				State: State(rapid.IntRange(int(Alive), int(Left)).Draw(t, "state")),
			}
			tables[rapid.IntRange(0, 1).Draw(t, "at")].Receive(r)
		}
		compare(tables[0], tables[1])
		compare(tables[0], tables[1])
		if a, b := tables[0].Living(), tables[1].Living(); !slices.Equal(a, b) {
			t.Fatalf("%v and %v", a, b)
		}
	})
}
