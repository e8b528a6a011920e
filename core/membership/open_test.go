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

// exchangeAll introduces two daemons to each other, each with all that it knows.
func exchangeAll(a, b *Table) {
	fromA, fromB := a.AllRumors(), b.AllRumors()
	for _, r := range fromA {
		b.Receive(r)
	}
	for _, r := range fromB {
		a.Receive(r)
	}
}

func TestOpenFleetLearnsMembersThroughPeers(t *testing.T) {
	a, b, c := openTable("a", 1), openTable("b", 1), openTable("c", 1)
	exchangeAll(a, b)
	exchangeAll(b, c)
	if a.Digest() == c.Digest() {
		t.Fatal("a has not heard of c")
	}
	exchangeAll(a, b)
	for _, table := range []*Table{a, b, c} {
		if len(table.AliveNames()) != 3 || len(table.NeighbourNames()) != 2 {
			t.Fatalf("%v with neighbours %v", table.AliveNames(), table.NeighbourNames())
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

func TestDeadMemberIsRemovedAfterForgetAfter(t *testing.T) {
	a, b := openTable("a", 1), openTable("b", 1)
	exchangeAll(a, b)
	now := epoch
	a.Tick(now)
	now = now.Add(DeadAfter)
	if rumors := a.Tick(now); len(rumors) != 1 || rumors[0].State != Dead {
		t.Fatalf("%v", rumors)
	}
	if len(a.AliveNames()) != 1 || len(a.NeighbourNames()) != 0 || len(a.DeadMembers()) != 1 {
		t.Fatal(a.AliveNames(), a.NeighbourNames(), a.DeadMembers())
	}
	a.Tick(now)
	a.Tick(now.Add(ForgetAfter + time.Second))
	if len(a.DeadMembers()) != 0 {
		t.Fatal("never forgotten")
	}
	exchangeAll(a, b)
	if len(a.AliveNames()) != 2 {
		t.Fatal("it does not come back")
	}
}

// TestRestartReplacesEarlierIncarnation: a process that started again at another address takes the place of
// the one before; its clock may have gone back.
func TestRestartReplacesEarlierIncarnation(t *testing.T) {
	a, b := openTable("a", 1), openTable("b", 5)
	exchangeAll(a, b)
	again := NewOpenTable(Host{Name: "b", Address: "10.0.0.9:b"}, 9)
	exchangeAll(a, again)
	if m, _ := a.Member("b"); m.Address != "10.0.0.9:b" {
		t.Fatalf("%+v", m)
	}
	a.Receive(Rumor{Name: "b", Incarnation: 9, State: Dead})
	back := openTable("b", 3) // The clock went back.
	exchangeAll(a, back)
	exchangeAll(a, back)
	if len(a.AliveNames()) != 2 || back.Incarnation() <= 9 {
		t.Fatalf("%v, incarnation %d", a.AliveNames(), back.Incarnation())
	}
}

// TestLeavingDaemonDoesNotRefuteItsDeparture: it heard from its peers that it had left, said that
// it lived, and was asked to coordinate once a second until its end.
func TestLeavingDaemonDoesNotRefuteItsDeparture(t *testing.T) {
	a, b := openTable("a", 1), openTable("b", 1)
	exchangeAll(a, b)
	b.Leave()
	a.Receive(Rumor{Name: "b", Incarnation: 1, State: Left})
	exchangeAll(a, b)
	exchangeAll(a, b)
	if m, _ := a.Member("b"); m.State != Left {
		t.Fatalf("it is %v", m.State)
	}
}

// openTableWith is an open table of so many daemons beside its own, by number from first on.
func openTableWith(self string, first, daemons int) *Table {
	t := openTable(self, 1)
	for i := first; i < first+daemons; i++ {
		name := fmt.Sprint("d", i)
		t.Receive(Rumor{Name: name, Incarnation: 1, Address: "10.0.0.2:" + name, DataCentre: "dc", Region: "r", Cores: 0.2})
	}
	return t
}

// exchangeDiffering exchanges what two daemons know where their digests differ, and returns how many
// rumors that takes.
func exchangeDiffering(a, b *Table) int {
	toA, toB := b.DifferingRumors(a.BucketDigests()), a.DifferingRumors(b.BucketDigests())
	for _, r := range toA {
		a.Receive(r)
	}
	for _, r := range toB {
		b.Receive(r)
	}
	return len(toA) + len(toB)
}

// TestExchangeIsLimitedToDifferingBuckets: of 520 daemons one is known to one side only. Each side tells
// of the part that it is in, some eight daemons; before, all 520 of them.
func TestExchangeIsLimitedToDifferingBuckets(t *testing.T) {
	a, b := openTableWith("a", 0, 519), openTableWith("b", 0, 520)
	exchangeDiffering(a, b) // They know each other now.
	a.Receive(Rumor{Name: "new", Incarnation: 1, Address: "10.0.0.3:1"})
	if told := exchangeDiffering(a, b); told > 40 {
		t.Errorf("%d rumors for one daemon of 520", told)
	}
	if a.Digest() != b.Digest() {
		t.Error("the digests differ after the comparison")
	}
	if told := exchangeDiffering(a, b); told != 0 {
		t.Errorf("%d rumors though both know the same", told)
	}
}

// TestUnknownBucketCountGetsAllRumors: a peer whose digests are in other parts is told of everybody.
func TestUnknownBucketCountGetsAllRumors(t *testing.T) {
	if got := len(openTableWith("a", 0, 10).DifferingRumors(make([]uint64, 3))); got != 11 {
		t.Errorf("told of %d of 11 daemons", got)
	}
}

// TestTablesAgreeAfterTwoExchanges: whatever two daemons know of who lives, died and left, they agree
// after at most two comparisons; the second is for what the first one brought into parts that
// were alike.
func TestTablesAgreeAfterTwoExchanges(t *testing.T) {
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
		exchangeDiffering(tables[0], tables[1])
		exchangeDiffering(tables[0], tables[1])
		if a, b := tables[0].AliveNames(), tables[1].AliveNames(); !slices.Equal(a, b) {
			t.Fatalf("%v and %v", a, b)
		}
	})
}
