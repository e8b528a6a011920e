package hostlist

import (
	"cmp"
	"slices"
	"time"
)

// Gone is the state of a host whose entry was removed. It occurs in updates only; a list does
// not hold such hosts.
const Gone State = "gone"

// Update is a set of host entries from the store or a peer. Each entry carries the position at
// which the store last changed it, so updates may be merged in any order, more than once, and
// from several sources.
type Update struct {
	// Full means that hosts without an entry in the update have none in the store as of AsOf.
	Full bool `cbor:"1,keyasint,omitempty"`
	// AsOf is the store's position up to which the update is complete.
	AsOf Position `cbor:"2,keyasint"`
	// Hosts are the entries; an entry of state Gone is a removal.
	Hosts []Host `cbor:"3,keyasint"`
	// Partial means that the hosts are only some of those listed as of AsOf, so the update is not
	// complete up to any position. Peers send no such updates.
	Partial bool `cbor:"-"`
	// Confirmed means that the removals are confirmed (see Table). Peers send no others.
	Confirmed bool `cbor:"4,keyasint,omitempty"`
	// Complete means that a peer lists all hosts that it knows, because it may not know all
	// removals: hosts without an entry in the update had none as of AsOf.
	Complete bool `cbor:"5,keyasint,omitempty"`
	// GapEnd is the position up to which the sending peer may lack removals (see gap), or zero.
	GapEnd Position `cbor:"6,keyasint,omitempty"`
}

// Table merges updates into a list of hosts. It is a pure data structure; the caller passes the
// time.
//
// The store's entries expire while it is unavailable, and the entries of living targets are
// back within storeReturnGrace of its return. Until then a removal is unconfirmed: the host
// stays listed, and is removed only if no newer entry brings it back.
type Table struct {
	entries  map[string]*entry
	revision Position
	// fullReadPosition is the position of the last full read.
	fullReadPosition Position
	// settledEra is the era of the last full read that was made after its era had settled; zero if there was none.
	settledEra int64
	// changed holds the hosts whose entries in the list have changed since TakeChanged.
	changed map[string]bool
	// gaps are the spans in which removals may be unknown, oldest first.
	gaps []gap
	// skipped holds the hosts that the last full read listed and the table leaves out, because their
	// entries may be outdated (see putFromFullRead).
	skipped map[string]bool
	// firstPagePosition is the position of the first page of a list, if that page was read alone.
	firstPagePosition Position
	// storeDown is true while the store does not answer; storeBackAt is when it last returned.
	storeDown   bool
	storeBackAt time.Time
}

// entry is what the table knows about one host.
type entry struct {
	host Host
	// listedAt is the position of the last full read that listed the host; zero if none did.
	listedAt Position
	// unconfirmedRemoval is the position of the last unconfirmed removal, unconfirmedSince the
	// earliest that the first may have, and confirmAt the time at which they are confirmed; all are zero if there is none.
	unconfirmedRemoval, unconfirmedSince Position
	confirmAt                            time.Time
	// goneAt is when the removal was applied.
	goneAt time.Time
}

// The grace periods of removals and the retention of tombstones.
const (
	// storeReturnGrace is how long after the store's return removals stay unconfirmed. Targets
	// report about every 1.2 s and are back within some 2 s.
	storeReturnGrace = 2500 * time.Millisecond
	// Removals in one answer are unconfirmed for massRemovalGrace, also if no outage was noticed,
	// if they are at least massRemovalMin and at least massRemovalShare of the listed hosts. An
	// unnoticed outage of the store looks like this, while planned work removes a few targets at
	// a time. The grace and the 0.25 s between calls of Tick together stay below the 2 s after
	// which a target that left may get no more work.
	massRemovalMin   = 4
	massRemovalShare = 0.25
	massRemovalGrace = 1500 * time.Millisecond
	// tombstoneRetention is how long removals are remembered, for peers that lag behind.
	tombstoneRetention = time.Minute
)

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[string]*entry{}, changed: map[string]bool{}, skipped: map[string]bool{}}
}

// Revision returns the position up to which all changes are known and in effect; a peer at a
// lower position lacks some. It stays below unconfirmed removals, so that a peer that was not
// cut off from the store is asked about them.
func (t *Table) Revision() Position {
	revision := t.revision
	for _, e := range t.entries {
		if e.unconfirmedSince > 0 {
			revision = min(revision, e.unconfirmedSince-1)
		}
	}
	return revision
}

// HasFullRead reports whether the full list has been read from the store itself.
func (t *Table) HasFullRead() bool { return t.fullReadPosition > 0 }

// HasFirstPage reports whether the first page of the list has been read from the store itself.
func (t *Table) HasFirstPage() bool { return t.firstPagePosition > 0 }

// Incomplete reports whether only a part of the list is known: neither the store nor a peer has
// supplied the full list as of the read of the first page.
func (t *Table) Incomplete() bool {
	return t.firstPagePosition > 0 && t.fullReadPosition == 0 && t.Revision() < t.firstPagePosition
}

// StoreDown reports whether the store is known to be unavailable.
func (t *Table) StoreDown() bool { return t.storeDown }

// MarkStoreDown records that the store did not answer.
func (t *Table) MarkStoreDown() { t.storeDown = true }

// MarkStoreUp records an answer of the store and reports whether it had been unavailable.
func (t *Table) MarkStoreUp(now time.Time) (returned bool) {
	returned = t.storeDown
	if returned {
		t.storeDown, t.storeBackAt = false, now
	}
	return returned
}

// Merge applies an update and reports whether the list of hosts has changed.
func (t *Table) Merge(f Update, now time.Time) bool {
	changed := false
	if f.Full {
		clear(t.skipped)
	}
	if f.Full && t.fullReadPosition > 0 && f.AsOf.Era() > t.fullReadPosition.Era() {
		t.storeBackAt = now // Writes that the restore lost are made again, as after an outage.
	}
	f.Hosts = t.placeInSettledEra(&f)
	t.recordTombstones(f.Hosts, now)
	removals := t.removals(f)
	confirmAt := t.removalConfirmTime(len(removals), now)
	if f.Confirmed {
		confirmAt = time.Time{}
	}
	for _, h := range f.Hosts {
		if h.State != Gone && t.addEntry(h, &f, now) {
			changed = true
		}
	}
	for _, h := range removals {
		if t.entries[h.id].host.Revision > h.position {
			continue // The update lists the host again after its removal.
		}
		t.removeEntry(h, confirmAt, now)
		changed = changed || confirmAt.IsZero()
	}
	if f.Complete {
		t.removeUnlisted(&f, now)
	}
	known := t.revision
	complete := f.completeUpTo(len(removals) > 0 && !confirmAt.IsZero() || t.mayLackLostWrites(&f))
	switch {
	case f.Full:
		t.fullReadPosition = max(t.fullReadPosition, f.AsOf)
		if f.AsOf.isSettled() {
			t.settledEra = f.AsOf.Era()
		}
		t.addGap(gap{known, f.AsOf})
	case f.Confirmed:
		t.addGap(gap{known, f.GapEnd})
	case f.Partial:
		t.firstPagePosition = max(t.firstPagePosition, f.AsOf)
	}
	t.revision = max(t.revision, complete)
	return changed
}

// completeUpTo returns the position up to which the update leaves no change unknown to the table.
// If unconfirmed is true, the update's removals are not confirmed yet, or it may lack writes that
// were lost when the store was restored.
// An update from a peer (Confirmed) is complete up to its AsOf only, as it may hold later changes
// although the peer withholds unconfirmed removals. Changes from the store come in order, so they
// are complete up to the newest; Revision accounts for unconfirmed removals among them.
func (f *Update) completeUpTo(unconfirmed bool) Position {
	if f.Confirmed || f.Full && !unconfirmed {
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

// addEntry applies a host's entry. If a full read that is newer than the entry did not list the
// host, the host stays gone or, around an outage, is listed with an unconfirmed removal.
func (t *Table) addEntry(h Host, f *Update, now time.Time) bool {
	if f.Full {
		return t.putFromFullRead(h, f.AsOf)
	}
	// A known removal orders only older entries: the host may have been listed and removed again since.
	e := t.entries[h.ID]
	ordered := e != nil && (e.host.State != Gone || h.Revision <= e.host.Revision)
	if ordered || h.Revision > t.fullReadPosition || t.wasSkipped(h) || mayHaveLost(&h, t.fullReadPosition) {
		changed := t.putIfNewer(h)
		if t.entries[h.ID].host.State != Gone {
			delete(t.skipped, h.ID)
		}
		return changed
	}
	confirmAt := t.removalConfirmTime(0, now)
	if confirmAt.IsZero() {
		return false
	}
	if !t.putIfNewer(h) {
		return false
	}
	t.removeEntry(removal{h.ID, t.fullReadPosition, t.fullReadPosition}, confirmAt, now)
	return true
}

// putIfNewer applies a host's entry if it is newer, and reports whether the list has changed.
func (t *Table) putIfNewer(h Host) bool {
	e := t.entries[h.ID]
	if e != nil && h.Revision <= max(e.host.Revision, e.unconfirmedRemoval) {
		if e.host.State == Gone || e.unconfirmedRemoval > 0 || h.Incarnation <= e.host.Incarnation {
			return false
		}
		h.Revision = e.host.Revision // Newer entries merged so far are of an earlier process.
	}
	listedAt := Position(0)
	if e != nil {
		h, listedAt = resolveIncarnation(e.host, h), e.listedAt
	}
	if h.State == Gone {
		e.host = h
		return false
	}
	t.entries[h.ID] = &entry{host: h, listedAt: listedAt}
	if e != nil && e.host.State != Gone {
		before := e.host
		before.Revision = h.Revision
		if before == h && h.ColdFor == 0 { // The cold time counts from each entry.
			return false
		}
	}
	t.changed[h.ID] = true
	return true
}

// resolveIncarnation combines a newer entry of a known host with what is known. A late entry of an
// earlier process under the same ID does not change the entry of the current one; but if it
// says that the target leaves, the target gets no new work until the current process reports
// itself live.
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

// removeEntry marks a host as gone, or, if confirmAt is set, records an unconfirmed removal,
// with which the host stays listed.
func (t *Table) removeEntry(r removal, confirmAt, now time.Time) {
	e := t.entries[r.id]
	if confirmAt.IsZero() {
		t.confirmRemoval(e, r.position, now)
		return
	}
	e.unconfirmedRemoval = max(e.unconfirmedRemoval, r.position)
	if e.confirmAt.IsZero() {
		e.confirmAt, e.unconfirmedSince = confirmAt, r.notBefore
	}
	e.unconfirmedSince = min(e.unconfirmedSince, r.notBefore)
}

// confirmRemoval puts a removal into effect.
func (t *Table) confirmRemoval(e *entry, revision Position, now time.Time) {
	t.changed[e.host.ID] = true
	e.host.State, e.host.Revision, e.goneAt = Gone, revision, now
	e.unconfirmedRemoval, e.unconfirmedSince, e.confirmAt = 0, 0, time.Time{}
}

// Tick confirms removals whose grace period has ended, and drops old tombstones. It reports
// whether the list has changed. While the store is unavailable no removal is confirmed.
func (t *Table) Tick(now time.Time) bool {
	changed := false
	for id, e := range t.entries {
		switch {
		case e.host.State == Gone:
			if now.Sub(e.goneAt) > tombstoneRetention {
				t.addGap(gap{0, e.host.Revision})
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

// Hosts returns the hosts that are not gone, sorted by ID.
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
