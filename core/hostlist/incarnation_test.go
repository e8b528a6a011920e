package hostlist

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func targetWithIncarnation(id string, revision Position, incarnation int64, state State) Host {
	return Host{ID: id, Role: RoleTarget, Address: "10.0.0.1:80", Pool: "p", State: state, Revision: revision, Incarnation: incarnation}
}

func findHost(t *Table, id string) Host {
	for _, h := range t.Hosts() {
		if h.ID == id {
			return h
		}
	}
	return Host{}
}

// TestHigherIncarnationReplacesLower: a target that started again under its id is another
// process; what is heard of the earlier one afterwards changes nothing, but that it leaves is
// believed until the living one says otherwise.
func TestHigherIncarnationReplacesLower(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable()
	merge := func(h Host) bool { return table.Merge(Update{AsOf: h.Revision, Hosts: []Host{h}}, now) }
	merge(targetWithIncarnation("a", 1, 100, Live))
	if !merge(targetWithIncarnation("a", 2, 200, Live)) || findHost(table, "a").Incarnation != 200 {
		t.Fatalf("a later start is no news: %+v", findHost(table, "a"))
	}
	if merge(targetWithIncarnation("a", 3, 100, Live)) || findHost(table, "a").Incarnation != 200 {
		t.Fatalf("an earlier start, heard later, is taken: %+v", findHost(table, "a"))
	}
	if table.Revision() != 3 {
		t.Errorf("the revision is %d: peers would tell of it again and again", table.Revision())
	}
	merge(targetWithIncarnation("a", 4, 100, Leaving))
	if got := findHost(table, "a"); got.State != Leaving || got.Incarnation != 200 {
		t.Fatalf("that it leaves is not believed: %+v", got)
	}
	merge(targetWithIncarnation("a", 5, 200, Live))
	if got := findHost(table, "a"); got.State != Live {
		t.Fatalf("the living one is not believed: %+v", got)
	}
	merge(targetWithIncarnation("a", 6, 0, Live))
	if got := findHost(table, "a"); got.Incarnation != 200 {
		t.Fatalf("an entry that does not tell its start is guessed to be another: %+v", got)
	}
}

// TestHighestIncarnationWinsInAnyOrder: facts of starts that come in any order, twice, and through peers end
// in the highest start.
func TestHighestIncarnationWinsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		// The store's history: each start is written after the one before, and beats of an
		// earlier process may be written late.
		var history []Host
		highest := int64(0)
		for revision := Position(1); revision <= 8; revision++ {
			incarnation := int64(rapid.IntRange(1, 4).Draw(t, "start"))
			highest = max(highest, incarnation)
			history = append(history, targetWithIncarnation("a", revision, incarnation, Live))
		}
		tables := []*Table{NewTable(), NewTable()}
		for range 30 {
			i := rapid.IntRange(0, 1).Draw(t, "daemon")
			if rapid.Bool().Draw(t, "from the peer") {
				tables[i].Merge(tables[1-i].Since(tables[i].Revision()), now)
				continue
			}
			h := history[rapid.IntRange(0, len(history)-1).Draw(t, "fact")]
			tables[i].Merge(Update{AsOf: h.Revision, Hosts: []Host{h}}, now)
		}
		for i, table := range tables {
			for _, h := range history {
				table.Merge(Update{AsOf: h.Revision, Hosts: []Host{h}}, now)
			}
			if got := findHost(table, "a").Incarnation; got != highest {
				t.Fatalf("daemon %d believes in start %d, want %d", i, got, highest)
			}
		}
	})
}
