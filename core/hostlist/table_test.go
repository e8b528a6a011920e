package hostlist

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func live(id string, revision Position) Host {
	return Host{ID: id, State: Live, Address: "10.0.0.1:80", Revision: revision}
}

func gone(id string, revision Position) Host { return Host{ID: id, State: Gone, Revision: revision} }

func names(t *Table) string {
	var list []string
	for _, h := range t.Hosts() {
		list = append(list, h.ID+":"+string(h.State))
	}
	return fmt.Sprint(list)
}

func TestRemovalCountsAtOnce(t *testing.T) {
	table := NewTable()
	table.Merge(Facts{Whole: true, AsOf: 3, Hosts: []Host{live("a", 1), live("b", 2)}}, epoch)
	if !table.Merge(Facts{AsOf: 4, Hosts: []Host{gone("a", 4)}}, epoch.Add(time.Minute)) || names(table) != "[b:live]" {
		t.Fatal(names(table))
	}
	leaving := live("b", 5)
	leaving.State = Leaving
	if !table.Merge(Facts{AsOf: 5, Hosts: []Host{leaving}}, epoch.Add(time.Minute)) || names(table) != "[b:leaving]" {
		t.Fatal(names(table))
	}
}

// TestDoubtEndsAfterTheReturn: a target that leaves two seconds after the store came
// back was kept in use for 2.5 s from then on, which is later than it may get work.
func TestDoubtEndsAfterTheReturn(t *testing.T) {
	table := NewTable()
	table.Merge(Facts{Whole: true, AsOf: 2, Hosts: []Host{live("a", 1), live("b", 2)}}, epoch)
	table.StoreAway()
	back := epoch.Add(time.Minute)
	if !table.StoreAnswered(back) {
		t.Fatal("the store's return was not noticed")
	}
	removed := back.Add(1750 * time.Millisecond)
	if table.Merge(Facts{AsOf: 9, Hosts: []Host{gone("a", 9)}}, removed) {
		t.Fatal("a removal so soon after an outage counts at once")
	}
	table.Tick(back.Add(returnGrace - time.Millisecond))
	if names(table) != "[a:live b:live]" {
		t.Fatal(names(table))
	}
	if !table.Tick(back.Add(returnGrace)) || names(table) != "[b:live]" {
		t.Fatal("the doubt lasts longer than the grace after the return: " + names(table))
	}
}

func TestEntriesThatLapsedComeBack(t *testing.T) {
	table := NewTable()
	hosts := []Host{live("a", 1), live("b", 2), live("c", 3)}
	table.Merge(Facts{Whole: true, AsOf: 3, Hosts: hosts}, epoch)
	table.StoreAway()
	now := epoch.Add(time.Minute)
	table.Tick(now) // Away for long: nothing counts.
	table.StoreAnswered(now)
	table.Merge(Facts{Whole: true, AsOf: 9, Hosts: []Host{live("c", 3)}}, now)
	if names(table) != "[a:live b:live c:live]" {
		t.Fatal(names(table))
	}
	table.Merge(Facts{AsOf: 11, Hosts: []Host{live("a", 11)}}, now.Add(time.Second))
	table.Tick(now.Add(returnGrace))
	if names(table) != "[a:live c:live]" {
		t.Fatal(names(table))
	}
}

func TestSilentOutageShowsAsManyRemovals(t *testing.T) {
	table := NewTable()
	var hosts, removals []Host
	for i := range 8 {
		hosts = append(hosts, live(fmt.Sprint("h", i), Position(i+1)))
		removals = append(removals, gone(fmt.Sprint("h", i), Position(i+20)))
	}
	table.Merge(Facts{Whole: true, AsOf: 8, Hosts: hosts}, epoch)
	now := epoch.Add(time.Minute)
	table.Merge(Facts{AsOf: 30, Hosts: removals[:leastMass]}, now)
	if len(table.Hosts()) != 8 {
		t.Fatal("many removals at once count without doubt")
	}
	if got := table.Since(8); len(got.Hosts) != 0 {
		t.Fatalf("a removal in doubt is told to a peer: %v", got)
	}
	table.Tick(now.Add(massGrace))
	if len(table.Hosts()) != 8-leastMass {
		t.Fatal(names(table))
	}
}

// TestPlannedRemovalsOfALargeFleetCountAtOnce: seven of 67 targets that were taken away
// together stayed in use until after they had left.
func TestPlannedRemovalsOfALargeFleetCountAtOnce(t *testing.T) {
	table := NewTable()
	facts := Facts{Whole: true, AsOf: 67}
	var removals []Host
	for i := range 67 {
		facts.Hosts = append(facts.Hosts, live(fmt.Sprint("h", i), Position(i+1)))
		if i < 7 {
			removals = append(removals, gone(fmt.Sprint("h", i), Position(i+100)))
		}
	}
	table.Merge(facts, epoch)
	if !table.Merge(Facts{AsOf: 107, Hosts: removals}, epoch.Add(time.Minute)) || len(table.Hosts()) != 60 {
		t.Fatalf("%d hosts are listed", len(table.Hosts()))
	}
}

// TestFreshTableKnowsItsRevision: a daemon that started after a target had gone asked
// its peers for that removal with every heartbeat, for ever, and the queue of their
// news grew to seconds.
func TestFreshTableKnowsItsRevision(t *testing.T) {
	old, fresh := NewTable(), NewTable()
	old.Merge(Facts{Whole: true, AsOf: 2, Hosts: []Host{live("a", 1), live("b", 2)}}, epoch)
	old.Merge(Facts{AsOf: 7, Hosts: []Host{gone("a", 7)}}, epoch)
	fresh.Merge(Facts{Whole: true, AsOf: 7, Hosts: []Host{live("b", 2)}}, epoch)
	if fresh.Revision() < old.Revision() {
		t.Fatalf("revision %d of a whole read, %d of the same by changes", fresh.Revision(), old.Revision())
	}
	behind := NewTable()
	behind.Merge(Facts{AsOf: 2, Hosts: []Host{live("b", 2)}}, epoch)
	behind.Merge(old.Since(behind.Revision()), epoch)
	if behind.Revision() < old.Revision() {
		t.Fatalf("revision %d after a peer told all, its own is %d", behind.Revision(), old.Revision())
	}
}

// TestAPeerEndsADoubt: a daemon that comes back from a cut doubts a removal; a newer
// entry of another target made it believe that its peers had nothing to add.
func TestAPeerEndsADoubt(t *testing.T) {
	cut, peer := NewTable(), NewTable()
	for _, table := range []*Table{cut, peer} {
		table.Merge(Facts{Whole: true, AsOf: 2, Hosts: []Host{live("a", 1), live("b", 2)}}, epoch)
	}
	cut.StoreAway()
	now := epoch.Add(time.Minute)
	cut.StoreAnswered(now)
	news := Facts{AsOf: 9, Hosts: []Host{gone("a", 8), live("c", 9)}}
	peer.Merge(news, now)
	cut.Merge(news, now)
	if cut.Revision() >= peer.Revision() {
		t.Fatalf("revision %d while a removal at 8 is in doubt, the peer has %d", cut.Revision(), peer.Revision())
	}
	cut.Merge(peer.Since(cut.Revision()), now)
	if names(cut) != "[b:live c:live]" || cut.Revision() != peer.Revision() {
		t.Fatal(names(cut), cut.Revision())
	}
}

// TestFactsInAnyOrder: daemons that hear the same facts, in any order and any number
// of times, end with the same list.
func TestFactsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var facts []Host
		for revision := Position(1); revision <= 12; revision++ {
			h := live(fmt.Sprint("h", rapid.IntRange(0, 3).Draw(t, "host")), revision)
			h.State = rapid.SampledFrom([]State{Live, Leaving, Gone}).Draw(t, "state")
			facts = append(facts, h)
		}
		want := NewTable()
		for _, h := range facts {
			want.Merge(Facts{Hosts: []Host{h}, Confirmed: true}, epoch)
		}
		order := rapid.Permutation(slices.Concat(facts, facts)).Draw(t, "order")
		got := NewTable()
		for _, h := range order {
			got.Merge(Facts{Hosts: []Host{h}, Confirmed: true}, epoch)
		}
		if names(got) != names(want) {
			t.Fatalf("%s, want %s", names(got), names(want))
		}
	})
}

// TestOlderFactsAfterAFirstRead: a fresh daemon had read the whole from the store, without
// a target that had left; the answer of a peer from before that brought the target back,
// and nothing took it away again. model/facts.pml found it.
func TestOlderFactsAfterAFirstRead(t *testing.T) {
	now := time.Now()
	old := Facts{AsOf: 1, Confirmed: true, Hosts: []Host{{ID: "t", Revision: 1, State: Live}}}
	table := NewTable()
	table.Merge(Facts{Whole: true, AsOf: 2}, now)
	table.Merge(old, now)
	if len(table.Hosts()) != 0 {
		t.Error("a target that had left before the first read is listed")
	}
	table.Merge(Facts{AsOf: 3, Hosts: []Host{{ID: "t", Revision: 3, State: Live}}}, now)
	if len(table.Hosts()) != 1 {
		t.Error("its newer entry is not taken")
	}

	// Around an outage the entry may only have run out: it stays in doubt.
	table = NewTable()
	table.StoreAway()
	table.StoreAnswered(now)
	table.Merge(Facts{Whole: true, AsOf: 2}, now)
	table.Merge(old, now)
	if len(table.Hosts()) != 1 {
		t.Error("a target whose entry ran out with the store is not used")
	}
	if table.Tick(now.Add(returnGrace)); len(table.Hosts()) != 0 {
		t.Error("its entry did not come back, and it is still listed")
	}
}

// TestAWithheldRemovalIsAskedForElsewhere: a peer that was cut off doubts a removal and
// tells of the changes after it. Whoever heard those from it took itself to know all of
// them, asked nobody for the removal, and sent to the target for the time of the doubt.
func TestAWithheldRemovalIsAskedForElsewhere(t *testing.T) {
	start := Facts{Whole: true, AsOf: 3, Hosts: []Host{live("a", 1), live("b", 2), live("c", 3)}}
	leaving := live("b", 5)
	leaving.State = Leaving
	news := Facts{AsOf: 6, Hosts: []Host{live("d", 4), gone("a", 5), leaving, live("c", 7)}}
	news.Hosts[2].Revision, news.AsOf = 6, 7
	tables := map[string]*Table{}
	for _, name := range []string{"cut off", "sound", "receiver"} {
		tables[name] = NewTable()
		tables[name].Merge(start, epoch)
	}
	now := epoch.Add(time.Minute)
	tables["cut off"].StoreAway()
	tables["cut off"].StoreAnswered(now)
	tables["cut off"].Merge(news, now)
	tables["sound"].Merge(news, now)

	receiver := tables["receiver"]
	receiver.Merge(tables["cut off"].Since(receiver.Revision()), now)
	if names(receiver) != "[a:live b:leaving c:live d:live]" {
		t.Fatal(names(receiver))
	}
	if receiver.Revision() != 4 {
		t.Fatalf("it takes itself to know all changes up to %d; the removal at 5 is missing", receiver.Revision())
	}
	receiver.Merge(tables["sound"].Since(receiver.Revision()), now)
	if names(receiver) != "[b:leaving c:live d:live]" || receiver.Revision() != 7 {
		t.Fatal(names(receiver), receiver.Revision())
	}
}
