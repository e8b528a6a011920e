package hostlist

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func liveHost(id string, revision Position) Host {
	return Host{ID: id, State: Live, Address: "10.0.0.1:80", Revision: revision}
}

func goneHost(id string, revision Position) Host {
	return Host{ID: id, State: Gone, Revision: revision}
}

func tableStates(t *Table) string {
	var list []string
	for _, h := range t.Hosts() {
		list = append(list, h.ID+":"+string(h.State))
	}
	return fmt.Sprint(list)
}

func TestRemovalAppliesAtOnce(t *testing.T) {
	table := NewTable()
	table.Merge(Update{Full: true, AsOf: 3, Hosts: []Host{liveHost("a", 1), liveHost("b", 2)}}, epoch)
	if !table.Merge(Update{AsOf: 4, Hosts: []Host{goneHost("a", 4)}}, epoch.Add(time.Minute)) || tableStates(table) != "[b:live]" {
		t.Fatal(tableStates(table))
	}
	leaving := liveHost("b", 5)
	leaving.State = Leaving
	if !table.Merge(Update{AsOf: 5, Hosts: []Host{leaving}}, epoch.Add(time.Minute)) || tableStates(table) != "[b:leaving]" {
		t.Fatal(tableStates(table))
	}
}

// TestRemovalAfterOutageIsConfirmedAfterGrace: a target that leaves two seconds after the store came
// back was kept in use for 2.5 s from then on, which is later than it may get work.
func TestRemovalAfterOutageIsConfirmedAfterGrace(t *testing.T) {
	table := NewTable()
	table.Merge(Update{Full: true, AsOf: 2, Hosts: []Host{liveHost("a", 1), liveHost("b", 2)}}, epoch)
	table.MarkStoreDown()
	back := epoch.Add(time.Minute)
	if !table.MarkStoreUp(back) {
		t.Fatal("the store's return was not noticed")
	}
	removed := back.Add(1750 * time.Millisecond)
	if table.Merge(Update{AsOf: 9, Hosts: []Host{goneHost("a", 9)}}, removed) {
		t.Fatal("a removal so soon after an outage counts at once")
	}
	table.Tick(back.Add(storeReturnGrace - time.Millisecond))
	if tableStates(table) != "[a:live b:live]" {
		t.Fatal(tableStates(table))
	}
	if !table.Tick(back.Add(storeReturnGrace)) || tableStates(table) != "[b:live]" {
		t.Fatal("the doubt lasts longer than the grace after the return: " + tableStates(table))
	}
}

func TestExpiredEntriesAreKeptUntilGraceEnds(t *testing.T) {
	table := NewTable()
	hosts := []Host{liveHost("a", 1), liveHost("b", 2), liveHost("c", 3)}
	table.Merge(Update{Full: true, AsOf: 3, Hosts: hosts}, epoch)
	table.MarkStoreDown()
	now := epoch.Add(time.Minute)
	table.Tick(now) // Away for long: nothing counts.
	table.MarkStoreUp(now)
	table.Merge(Update{Full: true, AsOf: 9, Hosts: []Host{liveHost("c", 3)}}, now)
	if tableStates(table) != "[a:live b:live c:live]" {
		t.Fatal(tableStates(table))
	}
	table.Merge(Update{AsOf: 11, Hosts: []Host{liveHost("a", 11)}}, now.Add(time.Second))
	table.Tick(now.Add(storeReturnGrace))
	if tableStates(table) != "[a:live c:live]" {
		t.Fatal(tableStates(table))
	}
}

func TestMassRemovalIsDelayed(t *testing.T) {
	table := NewTable()
	var hosts, removals []Host
	for i := range 8 {
		hosts = append(hosts, liveHost(fmt.Sprint("h", i), Position(i+1)))
		removals = append(removals, goneHost(fmt.Sprint("h", i), Position(i+20)))
	}
	table.Merge(Update{Full: true, AsOf: 8, Hosts: hosts}, epoch)
	now := epoch.Add(time.Minute)
	table.Merge(Update{AsOf: 30, Hosts: removals[:massRemovalMin]}, now)
	if len(table.Hosts()) != 8 {
		t.Fatal("many removals at once count without doubt")
	}
	if got := table.Since(8); len(got.Hosts) != 0 {
		t.Fatalf("a removal in doubt is told to a peer: %v", got)
	}
	table.Tick(now.Add(massRemovalGrace))
	if len(table.Hosts()) != 8-massRemovalMin {
		t.Fatal(tableStates(table))
	}
}

// TestSmallShareOfRemovalsAppliesAtOnce: seven of 67 targets that were taken away
// together stayed in use until after they had left.
func TestSmallShareOfRemovalsAppliesAtOnce(t *testing.T) {
	table := NewTable()
	facts := Update{Full: true, AsOf: 67}
	var removals []Host
	for i := range 67 {
		facts.Hosts = append(facts.Hosts, liveHost(fmt.Sprint("h", i), Position(i+1)))
		if i < 7 {
			removals = append(removals, goneHost(fmt.Sprint("h", i), Position(i+100)))
		}
	}
	table.Merge(facts, epoch)
	if !table.Merge(Update{AsOf: 107, Hosts: removals}, epoch.Add(time.Minute)) || len(table.Hosts()) != 60 {
		t.Fatalf("%d hosts are listed", len(table.Hosts()))
	}
}

// TestRevisionCoversEarlierRemovals: a daemon that started after a target had gone asked
// its peers for that removal with every heartbeat, for ever, and the queue of their
// news grew to seconds.
func TestRevisionCoversEarlierRemovals(t *testing.T) {
	old, fresh := NewTable(), NewTable()
	old.Merge(Update{Full: true, AsOf: 2, Hosts: []Host{liveHost("a", 1), liveHost("b", 2)}}, epoch)
	old.Merge(Update{AsOf: 7, Hosts: []Host{goneHost("a", 7)}}, epoch)
	fresh.Merge(Update{Full: true, AsOf: 7, Hosts: []Host{liveHost("b", 2)}}, epoch)
	if fresh.Revision() < old.Revision() {
		t.Fatalf("revision %d of a whole read, %d of the same by changes", fresh.Revision(), old.Revision())
	}
	behind := NewTable()
	behind.Merge(Update{AsOf: 2, Hosts: []Host{liveHost("b", 2)}}, epoch)
	behind.Merge(old.Since(behind.Revision()), epoch)
	if behind.Revision() < old.Revision() {
		t.Fatalf("revision %d after a peer told all, its own is %d", behind.Revision(), old.Revision())
	}
}

// TestPeerConfirmsRemoval: a daemon that comes back from a cut doubts a removal; a newer
// entry of another target made it believe that its peers had nothing to add.
func TestPeerConfirmsRemoval(t *testing.T) {
	cut, peer := NewTable(), NewTable()
	for _, table := range []*Table{cut, peer} {
		table.Merge(Update{Full: true, AsOf: 2, Hosts: []Host{liveHost("a", 1), liveHost("b", 2)}}, epoch)
	}
	cut.MarkStoreDown()
	now := epoch.Add(time.Minute)
	cut.MarkStoreUp(now)
	news := Update{AsOf: 9, Hosts: []Host{goneHost("a", 8), liveHost("c", 9)}}
	peer.Merge(news, now)
	cut.Merge(news, now)
	if cut.Revision() >= peer.Revision() {
		t.Fatalf("revision %d while a removal at 8 is in doubt, the peer has %d", cut.Revision(), peer.Revision())
	}
	cut.Merge(peer.Since(cut.Revision()), now)
	if tableStates(cut) != "[b:live c:live]" || cut.Revision() != peer.Revision() {
		t.Fatal(tableStates(cut), cut.Revision())
	}
}

// TestUpdatesMergeInAnyOrder: daemons that hear the same facts, in any order and any number
// of times, end with the same list.
func TestUpdatesMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var facts []Host
		for revision := Position(1); revision <= 12; revision++ {
			h := liveHost(fmt.Sprint("h", rapid.IntRange(0, 3).Draw(t, "host")), revision)
			h.State = rapid.SampledFrom([]State{Live, Leaving, Gone}).Draw(t, "state")
			facts = append(facts, h)
		}
		want := NewTable()
		for _, h := range facts {
			want.Merge(Update{Hosts: []Host{h}, Confirmed: true}, epoch)
		}
		order := rapid.Permutation(slices.Concat(facts, facts)).Draw(t, "order")
		got := NewTable()
		for _, h := range order {
			got.Merge(Update{Hosts: []Host{h}, Confirmed: true}, epoch)
		}
		if tableStates(got) != tableStates(want) {
			t.Fatalf("%s, want %s", tableStates(got), tableStates(want))
		}
	})
}

// TestOlderPeerUpdateAfterFullRead: a fresh daemon had read the whole from the store, without
// a target that had left; the answer of a peer from before that brought the target back,
// and nothing took it away again. model/facts.pml found it.
func TestOlderPeerUpdateAfterFullRead(t *testing.T) {
	now := time.Now()
	old := Update{AsOf: 1, Confirmed: true, Hosts: []Host{{ID: "t", Revision: 1, State: Live}}}
	table := NewTable()
	table.Merge(Update{Full: true, AsOf: 2}, now)
	table.Merge(old, now)
	if len(table.Hosts()) != 0 {
		t.Error("a target that had left before the first read is listed")
	}
	table.Merge(Update{AsOf: 3, Hosts: []Host{{ID: "t", Revision: 3, State: Live}}}, now)
	if len(table.Hosts()) != 1 {
		t.Error("its newer entry is not taken")
	}

	// Around an outage the entry may only have run out: it stays in doubt.
	table = NewTable()
	table.MarkStoreDown()
	table.MarkStoreUp(now)
	table.Merge(Update{Full: true, AsOf: 2}, now)
	table.Merge(old, now)
	if len(table.Hosts()) != 1 {
		t.Error("a target whose entry ran out with the store is not used")
	}
	if table.Tick(now.Add(storeReturnGrace)); len(table.Hosts()) != 0 {
		t.Error("its entry did not come back, and it is still listed")
	}
}

// TestWithheldRemovalIsFetchedFromAnotherPeer: a peer that was cut off doubts a removal and
// tells of the changes after it. Whoever heard those from it took itself to know all of
// them, asked nobody for the removal, and sent to the target for the time of the doubt.
func TestWithheldRemovalIsFetchedFromAnotherPeer(t *testing.T) {
	start := Update{Full: true, AsOf: 3, Hosts: []Host{liveHost("a", 1), liveHost("b", 2), liveHost("c", 3)}}
	leaving := liveHost("b", 5)
	leaving.State = Leaving
	news := Update{AsOf: 6, Hosts: []Host{liveHost("d", 4), goneHost("a", 5), leaving, liveHost("c", 7)}}
	news.Hosts[2].Revision, news.AsOf = 6, 7
	tables := map[string]*Table{}
	for _, name := range []string{"cut off", "sound", "receiver"} {
		tables[name] = NewTable()
		tables[name].Merge(start, epoch)
	}
	now := epoch.Add(time.Minute)
	tables["cut off"].MarkStoreDown()
	tables["cut off"].MarkStoreUp(now)
	tables["cut off"].Merge(news, now)
	tables["sound"].Merge(news, now)

	receiver := tables["receiver"]
	receiver.Merge(tables["cut off"].Since(receiver.Revision()), now)
	if tableStates(receiver) != "[a:live b:leaving c:live d:live]" {
		t.Fatal(tableStates(receiver))
	}
	if receiver.Revision() != 4 {
		t.Fatalf("it takes itself to know all changes up to %d; the removal at 5 is missing", receiver.Revision())
	}
	receiver.Merge(tables["sound"].Since(receiver.Revision()), now)
	if tableStates(receiver) != "[b:leaving c:live d:live]" || receiver.Revision() != 7 {
		t.Fatal(tableStates(receiver), receiver.Revision())
	}
}
