package hostlist

import (
	"cmp"
	"slices"
)

// TakeChanged returns the hosts whose entries in the list have changed since the last call, sorted by ID. Those
// that are not listed any more have the state Gone.
func (t *Table) TakeChanged() []Host {
	hosts := make([]Host, 0, len(t.changed))
	for id := range t.changed {
		if e := t.entries[id]; e != nil {
			hosts = append(hosts, e.host)
		}
	}
	clear(t.changed)
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
	return hosts
}

// Extent says how much a table knows: all changes up to one position, and none above another.
type Extent struct {
	Complete Position `cbor:"1,keyasint"`
	// Newest is zero if nothing is known, or if the peer's version does not report it.
	Newest Position `cbor:"2,keyasint,omitempty"`
}

// Extent returns how much the table knows. While removals are unconfirmed, it knows later changes than
// those up to its Revision.
func (t *Table) Extent() Extent {
	newest := t.revision
	for _, e := range t.entries {
		newest = max(newest, e.host.Revision)
	}
	return Extent{t.Revision(), newest}
}

// Since returns the changes that a peer may not know, removals included. Unconfirmed removals are left
// out. If the table may lack removals of hosts that the peer knows, it returns all hosts. But while it
// leaves out hosts that the store lists, the peer would remove these, which may be alive: it gets
// the changes only, complete up to no later position than before, and asks again.
func (t *Table) Since(known Extent) Update {
	f := Update{AsOf: t.Revision(), Confirmed: true, Complete: t.mayLackRemovals(known), GapEnd: t.gapEnd(known.Complete)}
	if f.Complete && len(t.skipped) > 0 {
		f.AsOf, f.Complete, f.GapEnd = min(f.AsOf, known.Complete), false, 0
	}
	for _, e := range t.entries {
		if f.Complete || e.host.Revision > known.Complete {
			f.Hosts = append(f.Hosts, e.host)
		}
	}
	slices.SortFunc(f.Hosts, func(a, b Host) int { return cmp.Compare(a.Revision, b.Revision) })
	return f
}
