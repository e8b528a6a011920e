package hostlist

import "testing"

// firstEraHost is an entry of a read of the whole just after the store came back from a copy: it may be
// as old as the copy, so it has the era before.
func firstEraHost(id string, state State, revision int64) Host {
	return Host{ID: id, State: state, Revision: NewPosition(1, revision)}
}

func hostState(t *Table, id string) State {
	for _, h := range t.Hosts() {
		if h.ID == id {
			return h.State
		}
	}
	return Gone
}

// newFirstEraTable is a table that read the whole of the first era up to revision 100.
func newFirstEraTable(hosts ...Host) *Table {
	t := NewTable()
	t.Merge(Update{Full: true, AsOf: NewPosition(1, 100), Hosts: hosts}, epoch)
	return t
}

func TestHostMissingFromRestoredStoreIsKeptDuringGrace(t *testing.T) {
	table := newFirstEraTable(firstEraHost("a", Live, 95))
	table.Merge(Update{Full: true, AsOf: NewPosition(2, 90)}, epoch)
	if hostState(table, "a") != Live {
		t.Fatal("a target that the copy lacks is gone at once")
	}
	table.Merge(Update{AsOf: NewPosition(2, 91), Hosts: []Host{{ID: "a", State: Live, Revision: NewPosition(2, 91)}}}, epoch)
	table.Tick(epoch.Add(storeReturnGrace))
	if hostState(table, "a") != Live {
		t.Fatal("a target that wrote again is gone")
	}
	table.Merge(Update{Full: true, AsOf: NewPosition(3, 80)}, epoch)
	table.Tick(epoch.Add(storeReturnGrace))
	if hostState(table, "a") != Gone {
		t.Fatal("a target that did not write again is not gone")
	}
}

func TestRestoredStoreDoesNotRevertNewerState(t *testing.T) {
	table := newFirstEraTable(firstEraHost("leaves", Leaving, 95))
	table.Merge(Update{AsOf: NewPosition(1, 101), Hosts: []Host{{ID: "dead", State: Gone, Revision: NewPosition(1, 101)}}}, epoch)
	copied := []Host{firstEraHost("leaves", Live, 50), firstEraHost("dead", Live, 60), firstEraHost("ended before", Live, 70)}
	table.Merge(Update{Full: true, AsOf: NewPosition(2, 90), Hosts: copied}, epoch)
	if got := table.Hosts(); len(got) != 1 || got[0].State != Leaving {
		t.Fatalf("%+v", got)
	}
	for i := range copied {
		copied[i].Revision = NewPosition(2, copied[i].Revision.Revision())
	}
	table.Merge(Update{Full: true, AsOf: NewPosition(2, 90).AsSettled(), Hosts: copied}, epoch)
	if hostState(table, "leaves") != Leaving {
		t.Error("a target that nobody has heard of since has stopped to leave")
	}
	if hostState(table, "dead") != Live || hostState(table, "ended before") != Live {
		t.Error("targets that the store still lists when it has settled are not used")
	}
}

// TestRewrittenLeavingAppliesAtOnce: under a revision that the lost time had too.
func TestRewrittenLeavingAppliesAtOnce(t *testing.T) {
	table, peer := newFirstEraTable(firstEraHost("a", Live, 95)), newFirstEraTable(firstEraHost("a", Live, 95))
	table.Merge(Update{Full: true, AsOf: NewPosition(2, 92), Hosts: []Host{firstEraHost("a", Leaving, 91)}}, epoch)
	if hostState(table, "a") != Leaving {
		t.Fatal("it is not believed")
	}
	peer.Merge(table.Since(peer.Revision()), epoch)
	if hostState(peer, "a") != Leaving {
		t.Fatal("a peer is not told")
	}
}

// TestSettledReadReachesPeers: a peer that knows as much as was known before.
func TestSettledReadReachesPeers(t *testing.T) {
	table, peer := newFirstEraTable(), newFirstEraTable()
	for _, each := range []*Table{table, peer} {
		each.Merge(Update{Full: true, AsOf: NewPosition(2, 90)}, epoch)
	}
	table.Merge(Update{Full: true, AsOf: NewPosition(2, 90).AsSettled(), Hosts: []Host{{ID: "a", State: Live, Revision: NewPosition(2, 60)}}}, epoch)
	if table.Revision() <= peer.Revision() {
		t.Fatal("the peer does not ask")
	}
	peer.Merge(table.Since(peer.Revision()), epoch)
	if hostState(peer, "a") != Live {
		t.Fatal("the peer is not told")
	}
}

// TestFreshTableAsksPeersForWritesLostByRestore: its peers know the lost time, and it asks them.
func TestFreshTableAsksPeersForWritesLostByRestore(t *testing.T) {
	peer := newFirstEraTable(firstEraHost("a", Live, 50))
	peer.Merge(Update{AsOf: NewPosition(1, 101), Hosts: []Host{{ID: "a", State: Leaving, Revision: NewPosition(1, 101)}}}, epoch)
	copied := Update{Full: true, AsOf: NewPosition(2, 90), Hosts: []Host{firstEraHost("a", Live, 50)}}
	peer.Merge(copied, epoch)
	fresh := NewTable()
	fresh.Merge(copied, epoch)
	if !fresh.StoreWasRestored() || fresh.Revision() >= peer.Revision() {
		t.Fatal("it claims to know all")
	}
	fresh.Merge(peer.Since(fresh.Revision()), epoch)
	if hostState(fresh, "a") != Leaving {
		t.Fatal("it believes the copy")
	}
}
