package hostlist

import (
	"cmp"
	"slices"
	"time"
)

// Gone is the state of a host whose entry was removed. It is used in facts only; a
// list does not hold such hosts.
const Gone State = "gone"

// Facts are what a store or a peer says of hosts. Each host carries the position at
// which the store last changed its entry, so facts may come in any order, twice, and
// from several sides.
type Facts struct {
	// Whole means that a host without a fact here has no entry as of AsOf.
	Whole bool `cbor:"1,keyasint,omitempty"`
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
// within returnGrace of its return. Until then a removal is in doubt: the host stays
// listed, and counts as gone only if no newer fact brings it back.
type Table struct {
	entries  map[string]*entry
	revision Position
	// whole is the position of the last read of the whole list.
	whole Position
	// part is the position of the first page of a list, where that was read alone.
	part Position
	// away is true while the store does not answer; back is when it last returned.
	away bool
	back time.Time
}

type entry struct {
	host Host
	// removed is the revision of a removal in doubt, and doubtUntil when it counts;
	// both are zero where there is no doubt.
	removed    Position
	doubtUntil time.Time
	// goneAt is when the removal was learned.
	goneAt time.Time
}

const (
	// returnGrace is how long after the store's return removals are in doubt. Targets
	// report every 1.2 s or so and are back within some two seconds.
	returnGrace = 2500 * time.Millisecond
	// Removals in one answer are in doubt, also where the store was not seen to be away,
	// from leastMass on and from massShare of the listed hosts on: a silent outage shows
	// like this, while planned work takes a few targets away at a time. massGrace is how
	// long that doubt lasts; with the pause until it is looked at (0.25 s) it stays below
	// the 2 s after which a target that left may get no more work.
	leastMass = 4
	massShare = 0.25
	massGrace = 1500 * time.Millisecond
	// keepGone is how long removals are remembered, for peers that lag behind.
	keepGone = time.Minute
)

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[string]*entry{}} }

// Revision is the revision up to which all facts are known and count; a peer with a
// lower one lacks news. A removal in doubt does not count yet, and a peer that was not
// cut off from the store may know better.
func (t *Table) Revision() Position {
	revision := t.revision
	for _, e := range t.entries {
		if e.removed > 0 {
			revision = min(revision, e.removed-1)
		}
	}
	return revision
}

// ReadWhole tells whether the whole list has been read from the store itself.
func (t *Table) ReadWhole() bool { return t.whole > 0 }

// ReadPart tells whether the first page of the list has been read from the store itself.
func (t *Table) ReadPart() bool { return t.part > 0 }

// Incomplete tells whether only a part of the list is known: neither the store nor a peer has told the
// whole as it was when the first page was read.
func (t *Table) Incomplete() bool { return t.part > 0 && t.whole == 0 && t.Revision() < t.part }

// Away tells whether the store is known to be away.
func (t *Table) Away() bool { return t.away }

// StoreAway records that the store did not answer.
func (t *Table) StoreAway() { t.away = true }

// StoreAnswered records an answer of the store and tells whether it had been away.
func (t *Table) StoreAnswered(now time.Time) (returned bool) {
	returned = t.away
	if returned {
		t.away, t.back = false, now
	}
	return returned
}

// Merge takes facts in and tells whether the list of hosts has changed.
func (t *Table) Merge(f Facts, now time.Time) bool {
	changed := false
	if f.Whole && t.whole > 0 && f.AsOf.Era() > t.whole.Era() {
		t.back = now // What the copy lacks is written again, as after an outage.
	}
	t.remember(f.Hosts, now)
	removals := t.removals(f)
	doubt := t.doubt(len(removals), now)
	if f.Confirmed {
		doubt = time.Time{}
	}
	for _, h := range f.Hosts {
		if h.State != Gone && t.add(h, &f, now) {
			changed = true
		}
	}
	for _, h := range removals {
		t.remove(h, doubt, now)
		changed = changed || doubt.IsZero()
	}
	complete := f.completeTo(len(removals) > 0 && !doubt.IsZero() || t.lacksLost(&f))
	switch {
	case f.Whole:
		t.whole = max(t.whole, f.AsOf)
	case f.Partial:
		t.part = max(t.part, f.AsOf)
	}
	t.revision = max(t.revision, complete)
	return changed
}

// completeTo is the position up to which nothing is missing in facts of which something is in
// doubt or not. A peer withholds removals that it doubts but tells of later changes, so
// only its own word counts; the store's changes come in order, and what is in doubt of them
// is taken off by Revision.
func (f *Facts) completeTo(doubtful bool) Position {
	if f.Confirmed || f.Whole && !doubtful {
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
func (t *Table) doubt(removals int, now time.Time) time.Time {
	switch {
	case t.away:
		return now.Add(returnGrace) // Tick waits for the store's return besides.
	case now.Before(t.back.Add(returnGrace)):
		return t.back.Add(returnGrace)
	case removals >= leastMass && float64(removals) >= massShare*float64(t.listed()):
		return now.Add(massGrace)
	default:
		return time.Time{}
	}
}

// remember notes removals of hosts that are not listed, so that an older fact which
// comes later does not bring them back.
func (t *Table) remember(hosts []Host, now time.Time) {
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

// listed is the number of hosts that are not gone.
func (t *Table) listed() int {
	n := 0
	for _, e := range t.entries {
		if e.host.State != Gone {
			n++
		}
	}
	return n
}

// removals lists the hosts that the facts take away.
func (t *Table) removals(f Facts) []Host {
	var gone []Host
	present := map[string]bool{}
	for _, h := range f.Hosts {
		present[h.ID] = true
		if e := t.entries[h.ID]; h.State == Gone && e != nil && e.host.State != Gone && e.host.Revision < h.Revision {
			gone = append(gone, h)
		}
	}
	if !f.Whole {
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
func (t *Table) add(h Host, f *Facts, now time.Time) bool {
	if f.Whole {
		return t.putListed(h, f.AsOf)
	}
	if t.entries[h.ID] != nil || h.Revision > t.whole {
		return t.put(h)
	}
	doubt := t.doubt(0, now)
	if doubt.IsZero() {
		return false
	}
	t.put(h)
	t.remove(Host{ID: h.ID, State: Gone, Revision: t.whole}, doubt, now)
	return true
}

// put takes over a host's entry if it is newer.
func (t *Table) put(h Host) bool {
	e := t.entries[h.ID]
	if e != nil && h.Revision <= max(e.host.Revision, e.removed) {
		if e.host.State == Gone || e.removed > 0 || h.Incarnation <= e.host.Incarnation {
			return false
		}
		h.Revision = e.host.Revision // What was heard since is of an earlier process.
	}
	if e != nil {
		h = afterStart(e.host, h)
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

// afterStart is what a newer entry says of a host that is known. An entry of an earlier process
// under the same id, written late, says nothing of the living one; but a target that said it
// leaves gets no new work until the living one says that it does not.
func afterStart(known, h Host) Host {
	switch {
	case h.Incarnation == 0:
		h.Incarnation = known.Incarnation
		h.State = afterReturn(known, h)
	case h.Incarnation == known.Incarnation:
		h.State = afterReturn(known, h)
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
func (t *Table) remove(h Host, doubt, now time.Time) {
	e := t.entries[h.ID]
	if doubt.IsZero() {
		t.confirm(e, h.Revision, now)
		return
	}
	e.removed = max(e.removed, h.Revision)
	if e.doubtUntil.IsZero() {
		e.doubtUntil = doubt
	}
}

// confirm makes a removal count.
func (t *Table) confirm(e *entry, revision Position, now time.Time) {
	e.host.State, e.host.Revision, e.goneAt = Gone, revision, now
	e.removed, e.doubtUntil = 0, time.Time{}
}

// Tick ends doubts and forgets old removals. It tells whether the list has changed.
// While the store is away doubts go on.
func (t *Table) Tick(now time.Time) bool {
	changed := false
	for id, e := range t.entries {
		switch {
		case e.host.State == Gone:
			if now.Sub(e.goneAt) > keepGone {
				delete(t.entries, id)
			}
		case e.doubtUntil.IsZero() || t.away || now.Before(e.doubtUntil):
		default:
			t.revision = max(t.revision, e.removed)
			t.confirm(e, e.removed, now)
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
func (t *Table) Since(revision Position) Facts {
	f := Facts{AsOf: t.Revision(), Confirmed: true}
	for _, e := range t.entries {
		if e.host.Revision > revision {
			f.Hosts = append(f.Hosts, e.host)
		}
	}
	slices.SortFunc(f.Hosts, func(a, b Host) int { return cmp.Compare(a.Revision, b.Revision) })
	return f
}
