package hostlist

import (
	"cmp"
	"slices"
	"time"
)

// Gone is the state of a host whose entry was removed. It is used in facts only; a
// list does not hold such hosts.
const Gone State = "gone"

// Update are what a store or a peer says of hosts. Each host carries the position at
// which the store last changed its entry, so facts may come in any order, twice, and
// from several sides.
type Update struct {
	// Whole means that a host without a fact here has no entry as of AsOf.
	Full bool `cbor:"1,keyasint,omitempty"`
	// AsOf is the store's position up to which the facts are complete.
	AsOf Position `cbor:"2,keyasint"`
	// Hosts are the facts; a host of state Gone has been removed.
	Hosts []Host `cbor:"3,keyasint"`
	// Partial means that the hosts are only some of those listed as of AsOf: the facts are complete up to
	// nowhere. Peers tell no such facts.
	Partial bool `cbor:"-"`
	// Confirmed means that removals are not in doubt: a peer tells of no others.
	Confirmed bool `cbor:"4,keyasint,omitempty"`
}

// Table merges facts into a list of hosts. It is pure; the caller passes the time.
//
// Entries run out while the store is away, and those of living targets are back
// within storeReturnGrace of its return. Until then a removal is in doubt: the host stays
// listed, and counts as gone only if no newer fact brings it back.
type Table struct {
	entries  map[string]*entry
	revision Position
	// whole is the position of the last read of the whole list.
	fullReadAt Position
	// part is the position of the first page of a list, where that was read alone.
	firstPageAt Position
	// away is true while the store does not answer; back is when it last returned.
	storeDown   bool
	storeBackAt time.Time
}

type entry struct {
	host Host
	// removed is the revision of a removal in doubt, and doubtUntil when it counts;
	// both are zero where there is no doubt.
	unconfirmedRemoval Position
	confirmAt          time.Time
	// goneAt is when the removal was learned.
	goneAt time.Time
}

const (
	// storeReturnGrace is how long after the store's return removals are in doubt. Targets
	// report every 1.2 s or so and are back within some two seconds.
	storeReturnGrace = 2500 * time.Millisecond
	// Removals in one answer are in doubt, also where the store was not seen to be away,
	// from massRemovalMin on and from massRemovalShare of the listed hosts on: a silent outage shows
	// like this, while planned work takes a few targets away at a time. massRemovalGrace is how
	// long that doubt lasts; with the pause until it is looked at (0.25 s) it stays below
	// the 2 s after which a target that left may get no more work.
	massRemovalMin   = 4
	massRemovalShare = 0.25
	massRemovalGrace = 1500 * time.Millisecond
	// tombstoneRetention is how long removals are remembered, for peers that lag behind.
	tombstoneRetention = time.Minute
)

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[string]*entry{}} }

// Revision is the revision up to which all facts are known and count; a peer with a
// lower one lacks news. A removal in doubt does not count yet, and a peer that was not
// cut off from the store may know better.
func (t *Table) Revision() Position {
	revision := t.revision
	for _, e := range t.entries {
		if e.unconfirmedRemoval > 0 {
			revision = min(revision, e.unconfirmedRemoval-1)
		}
	}
	return revision
}

// ReadWhole tells whether the whole list has been read from the store itself.
func (t *Table) HasFullRead() bool { return t.fullReadAt > 0 }

// ReadPart tells whether the first page of the list has been read from the store itself.
func (t *Table) HasFirstPage() bool { return t.firstPageAt > 0 }

// Incomplete tells whether only a part of the list is known: neither the store nor a peer has told the
// whole as it was when the first page was read.
func (t *Table) Incomplete() bool {
	return t.firstPageAt > 0 && t.fullReadAt == 0 && t.Revision() < t.firstPageAt
}

// Away tells whether the store is known to be away.
func (t *Table) StoreDown() bool { return t.storeDown }

// StoreAway records that the store did not answer.
func (t *Table) MarkStoreDown() { t.storeDown = true }

// StoreAnswered records an answer of the store and tells whether it had been away.
func (t *Table) MarkStoreUp(now time.Time) (returned bool) {
	returned = t.storeDown
	if returned {
		t.storeDown, t.storeBackAt = false, now
	}
	return returned
}

// Merge takes facts in and tells whether the list of hosts has changed.
func (t *Table) Merge(f Update, now time.Time) bool {
	changed := false
	if f.Full && t.fullReadAt > 0 && f.AsOf.Era() > t.fullReadAt.Era() {
		t.storeBackAt = now // What the copy lacks is written again, as after an outage.
	}
	t.recordTombstones(f.Hosts, now)
	removals := t.removals(f)
	doubt := t.removalConfirmTime(len(removals), now)
	if f.Confirmed {
		doubt = time.Time{}
	}
	for _, h := range f.Hosts {
		if h.State != Gone && t.addEntry(h, &f, now) {
			changed = true
		}
	}
	for _, h := range removals {
		t.removeEntry(h, doubt, now)
		changed = changed || doubt.IsZero()
	}
	complete := f.completeUpTo(len(removals) > 0 && !doubt.IsZero() || t.mayLackLostWrites(&f))
	switch {
	case f.Full:
		t.fullReadAt = max(t.fullReadAt, f.AsOf)
	case f.Partial:
		t.firstPageAt = max(t.firstPageAt, f.AsOf)
	}
	t.revision = max(t.revision, complete)
	return changed
}

// completeTo is the position up to which nothing is missing in facts of which something is in
// doubt or not. A peer withholds removals that it doubts but tells of later changes, so
// only its own word counts; the store's changes come in order, and what is in doubt of them
// is taken off by Revision.
func (f *Update) completeUpTo(doubtful bool) Position {
	if f.Confirmed || f.Full && !doubtful {
		return f.AsOf
	}
	if f.Partial {
		return 0
	}
	newest := Position(0)
	for _, h := range f.Hosts {
		newest = max(newest, h.Revision)
	}
	return newest
}

// doubt is when so many removals in one answer count; zero means at once.
func (t *Table) removalConfirmTime(removals int, now time.Time) time.Time {
	switch {
	case t.storeDown:
		return now.Add(storeReturnGrace) // Tick waits for the store's return besides.
	case now.Before(t.storeBackAt.Add(storeReturnGrace)):
		return t.storeBackAt.Add(storeReturnGrace)
	case removals >= massRemovalMin && float64(removals) >= massRemovalShare*float64(t.listedCount()):
		return now.Add(massRemovalGrace)
	default:
		return time.Time{}
	}
}

// remember notes removals of hosts that are not listed, so that an older fact which
// comes later does not bring them back.
func (t *Table) recordTombstones(hosts []Host, now time.Time) {
	for _, h := range hosts {
		if h.State != Gone {
			continue
		}
		e := t.entries[h.ID]
		if e == nil {
			t.entries[h.ID] = &entry{host: h, goneAt: now}
			continue
		}
		if e.host.State == Gone {
			e.host.Revision = max(e.host.Revision, h.Revision)
		}
	}
}

// firstEraHost is the number of hosts that are not gone.
func (t *Table) listedCount() int {
	n := 0
	for _, e := range t.entries {
		if e.host.State != Gone {
			n++
		}
	}
	return n
}

// removals lists the hosts that the facts take away.
func (t *Table) removals(f Update) []Host {
	var gone []Host
	present := map[string]bool{}
	for _, h := range f.Hosts {
		present[h.ID] = true
		if e := t.entries[h.ID]; h.State == Gone && e != nil && e.host.State != Gone && e.host.Revision < h.Revision {
			gone = append(gone, h)
		}
	}
	if !f.Full {
		return gone
	}
	for id, e := range t.entries {
		if !present[id] && e.host.State != Gone && e.host.Revision <= f.AsOf {
			gone = append(gone, Host{ID: id, State: Gone, Revision: f.AsOf})
		}
	}
	return gone
}

// add takes a host's entry in. One that a later read of the whole did not list is gone,
// or, around an outage, in doubt like other removals.
func (t *Table) addEntry(h Host, f *Update, now time.Time) bool {
	if f.Full {
		return t.putFromFullRead(h, f.AsOf)
	}
	if t.entries[h.ID] != nil || h.Revision > t.fullReadAt {
		return t.putIfNewer(h)
	}
	doubt := t.removalConfirmTime(0, now)
	if doubt.IsZero() {
		return false
	}
	t.putIfNewer(h)
	t.removeEntry(Host{ID: h.ID, State: Gone, Revision: t.fullReadAt}, doubt, now)
	return true
}

// put takes over a host's entry if it is newer.
func (t *Table) putIfNewer(h Host) bool {
	e := t.entries[h.ID]
	if e != nil && h.Revision <= max(e.host.Revision, e.unconfirmedRemoval) {
		if e.host.State == Gone || e.unconfirmedRemoval > 0 || h.Incarnation <= e.host.Incarnation {
			return false
		}
		h.Revision = e.host.Revision // What was heard since is of an earlier process.
	}
	if e != nil {
		h = resolveIncarnation(e.host, h)
	}
	if h.State == Gone {
		e.host = h
		return false
	}
	t.entries[h.ID] = &entry{host: h}
	if e == nil || e.host.State == Gone {
		return true
	}
	before := e.host
	before.Revision = h.Revision
	return before != h
}

// resolveIncarnation is what a newer entry says of a host that is known. An entry of an earlier process
// under the same id, written late, says nothing of the living one; but a target that said it
// leaves gets no new work until the living one says that it does not.
func resolveIncarnation(known, h Host) Host {
	switch {
	case h.Incarnation == 0:
		h.Incarnation = known.Incarnation
		h.State = stateAfterRestore(known, h)
	case h.Incarnation == known.Incarnation:
		h.State = stateAfterRestore(known, h)
	case h.Incarnation < known.Incarnation:
		late := h
		h = known
		h.Revision = late.Revision
		if late.State == Leaving && known.State == Live {
			h.State = Leaving
		}
	}
	return h
}

// remove marks a host as gone, or as removed in doubt, which leaves it listed.
func (t *Table) removeEntry(h Host, doubt, now time.Time) {
	e := t.entries[h.ID]
	if doubt.IsZero() {
		t.confirmRemoval(e, h.Revision, now)
		return
	}
	e.unconfirmedRemoval = max(e.unconfirmedRemoval, h.Revision)
	if e.confirmAt.IsZero() {
		e.confirmAt = doubt
	}
}

// confirm makes a removal count.
func (t *Table) confirmRemoval(e *entry, revision Position, now time.Time) {
	e.host.State, e.host.Revision, e.goneAt = Gone, revision, now
	e.unconfirmedRemoval, e.confirmAt = 0, time.Time{}
}

// Tick ends doubts and forgets old removals. It tells whether the list has changed.
// While the store is away doubts go on.
func (t *Table) Tick(now time.Time) bool {
	changed := false
	for id, e := range t.entries {
		switch {
		case e.host.State == Gone:
			if now.Sub(e.goneAt) > tombstoneRetention {
				delete(t.entries, id)
			}
		case e.confirmAt.IsZero() || t.storeDown || now.Before(e.confirmAt):
		default:
			t.revision = max(t.revision, e.unconfirmedRemoval)
			t.confirmRemoval(e, e.unconfirmedRemoval, now)
			changed = true
		}
	}
	return changed
}

// Hosts lists the hosts that are not gone, by id.
func (t *Table) Hosts() []Host {
	hosts := make([]Host, 0, len(t.entries))
	for _, e := range t.entries {
		if e.host.State != Gone {
			hosts = append(hosts, e.host)
		}
	}
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
	return hosts
}

// Since lists the facts above a position, removals included, for a peer. A removal in
// doubt is not told yet.
func (t *Table) Since(revision Position) Update {
	f := Update{AsOf: t.Revision(), Confirmed: true}
	for _, e := range t.entries {
		if e.host.Revision > revision {
			f.Hosts = append(f.Hosts, e.host)
		}
	}
	slices.SortFunc(f.Hosts, func(a, b Host) int { return cmp.Compare(a.Revision, b.Revision) })
	return f
}
