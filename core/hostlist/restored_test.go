package hostlist

import "testing"

// listed is an entry of a read of the whole just after the store came back from a copy: it may be
// as old as the copy, so it has the era before.
func listed(id string, state State, revision int64) Host {
	return Host{ID: id, State: state, Revision: At(1, revision)}
}

func stateIn(t *Table, id string) State {
	for _, h := range t.Hosts() {
		if h.ID == id {
			return h.State
		}
	}
	return Gone
}

// restored is a table that read the whole of the first era up to revision 100.
func restored(hosts ...Host) *Table {
	t := NewTable()
	t.Merge(Facts{Whole: true, AsOf: At(1, 100), Hosts: hosts}, epoch)
	return t
}

func TestWhatACopyLacksIsInDoubt(t *testing.T) {
	table := restored(listed("a", Live, 95))
	table.Merge(Facts{Whole: true, AsOf: At(2, 90)}, epoch)
	if stateIn(table, "a") != Live {
		t.Fatal("a target that the copy lacks is gone at once")
	}
	table.Merge(Facts{AsOf: At(2, 91), Hosts: []Host{{ID: "a", State: Live, Revision: At(2, 91)}}}, epoch)
	table.Tick(epoch.Add(returnGrace))
	if stateIn(table, "a") != Live {
		t.Fatal("a target that wrote again is gone")
	}
	table.Merge(Facts{Whole: true, AsOf: At(3, 80)}, epoch)
	table.Tick(epoch.Add(returnGrace))
	if stateIn(table, "a") != Gone {
		t.Fatal("a target that did not write again is not gone")
	}
}

func TestACopyTakesNothingBack(t *testing.T) {
	table := restored(listed("leaves", Leaving, 95))
	table.Merge(Facts{AsOf: At(1, 101), Hosts: []Host{{ID: "dead", State: Gone, Revision: At(1, 101)}}}, epoch)
	copied := []Host{listed("leaves", Live, 50), listed("dead", Live, 60), listed("ended before", Live, 70)}
	table.Merge(Facts{Whole: true, AsOf: At(2, 90), Hosts: copied}, epoch)
	if got := table.Hosts(); len(got) != 1 || got[0].State != Leaving {
		t.Fatalf("%+v", got)
	}
	for i := range copied {
		copied[i].Revision = At(2, copied[i].Revision.Revision())
	}
	table.Merge(Facts{Whole: true, AsOf: At(2, 90).Confirmed(), Hosts: copied}, epoch)
	if stateIn(table, "leaves") != Leaving {
		t.Error("a target that nobody has heard of since has stopped to leave")
	}
	if stateIn(table, "dead") != Live || stateIn(table, "ended before") != Live {
		t.Error("targets that the store still lists when it has settled are not used")
	}
}

// TestALeavingThatWasWrittenAgainCountsAtOnce: under a revision that the lost time had too.
func TestALeavingThatWasWrittenAgainCountsAtOnce(t *testing.T) {
	table, peer := restored(listed("a", Live, 95)), restored(listed("a", Live, 95))
	table.Merge(Facts{Whole: true, AsOf: At(2, 92), Hosts: []Host{listed("a", Leaving, 91)}}, epoch)
	if stateIn(table, "a") != Leaving {
		t.Fatal("it is not believed")
	}
	peer.Merge(table.Since(peer.Revision()), epoch)
	if stateIn(peer, "a") != Leaving {
		t.Fatal("a peer is not told")
	}
}

// TestWhatAConfirmingReadChangesIsTold: a peer that knows as much as was known before.
func TestWhatAConfirmingReadChangesIsTold(t *testing.T) {
	table, peer := restored(), restored()
	for _, each := range []*Table{table, peer} {
		each.Merge(Facts{Whole: true, AsOf: At(2, 90)}, epoch)
	}
	table.Merge(Facts{Whole: true, AsOf: At(2, 90).Confirmed(), Hosts: []Host{{ID: "a", State: Live, Revision: At(2, 60)}}}, epoch)
	if table.Revision() <= peer.Revision() {
		t.Fatal("the peer does not ask")
	}
	peer.Merge(table.Since(peer.Revision()), epoch)
	if stateIn(peer, "a") != Live {
		t.Fatal("the peer is not told")
	}
}

// TestAFreshDaemonDoesNotClaimWhatTheCopyLacks: its peers know the lost time, and it asks them.
func TestAFreshDaemonDoesNotClaimWhatTheCopyLacks(t *testing.T) {
	peer := restored(listed("a", Live, 50))
	peer.Merge(Facts{AsOf: At(1, 101), Hosts: []Host{{ID: "a", State: Leaving, Revision: At(1, 101)}}}, epoch)
	copied := Facts{Whole: true, AsOf: At(2, 90), Hosts: []Host{listed("a", Live, 50)}}
	peer.Merge(copied, epoch)
	fresh := NewTable()
	fresh.Merge(copied, epoch)
	if !fresh.MayBeCopy() || fresh.Revision() >= peer.Revision() {
		t.Fatal("it claims to know all")
	}
	fresh.Merge(peer.Since(fresh.Revision()), epoch)
	if stateIn(fresh, "a") != Leaving {
		t.Fatal("it believes the copy")
	}
}
