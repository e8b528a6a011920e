package hostlist

import "slices"

// How a table handles a store that was restored from an older copy. Until the new era has settled
// (see package storeread), an entry of a full read may be as old as the copy. Such entries get
// positions of the previous era (see Position) and do not override newer entries of that era.

// StoreWasRestored reports whether the store has ever been restored from an older copy. What
// was read only from the store may then be older than what peers know.
func (t *Table) StoreWasRestored() bool { return t.fullReadPosition.Era() > FirstEra }

// mayLackLostWrites reports whether an update may lack writes that were lost when the store was
// restored: the first full read of a daemon that has not read the store before the restore.
func (t *Table) mayLackLostWrites(f *Update) bool {
	return f.Full && t.fullReadPosition == 0 && f.AsOf.Era() > FirstEra && !f.AsOf.isSettled()
}

// placeInSettledEra returns the entries of an update. Those that may be as old as the copy are placed in the last era before
// that the table has read when settled. The copy may be older than all eras since, and a later position would
// replace a removal that the table or a peer knows from an earlier era.
func (t *Table) placeInSettledEra(f *Update) []Host {
	era := max(FirstEra, t.settledEra)
	if !f.Full || f.AsOf.isSettled() || f.AsOf.Era() <= era+1 {
		return f.Hosts
	}
	hosts := slices.Clone(f.Hosts)
	for i := range hosts {
		if at := hosts[i].Revision; at.Era() < f.AsOf.Era() {
			hosts[i].Revision = NewPosition(era, at.Revision())
		}
	}
	return hosts
}

// putFromFullRead applies an entry of a full read. An entry that is new to the table may have a
// position at or below the table's revision. It then gets the position of the read, as peers ask
// only for entries above their own revision, which may be the same. But if it may be that of a host whose
// removal the table does not know, a peer that knows the removal must not take it for newer.
func (t *Table) putFromFullRead(h Host, asOf Position) bool {
	mayBeOutdated := h.Revision.Era() < asOf.Era()
	if mayBeOutdated && h.Role != RoleEvacuation && t.hasLaterRemoval(h) {
		t.skipped[h.ID] = true
		return false
	}
	if mayBeOutdated && t.countsAtOnce(h) {
		h.Revision, mayBeOutdated = asOf, false
	}
	if mayBeOutdated && t.isOtherEntry(h) {
		h.Revision, mayBeOutdated = NewPosition(asOf.Era(), h.Revision.Revision()), false
	}
	coveredByRevision := h.Revision <= t.revision && (!mayBeOutdated || !t.mayLackRemovalOf(h))
	if !mayBeOutdated && t.hasWrongRemoval(h, asOf) {
		h.Revision = asOf
	}
	changed := t.putIfNewer(h)
	t.entries[h.ID].listedAt = asOf
	if changed && coveredByRevision {
		t.entries[h.ID].host.Revision = max(h.Revision, asOf)
	}
	return changed
}

// countsAtOnce reports whether an entry counts as of the read that lists it, although it may be as old as the copy:
// no process revokes its announcement that it leaves, and it may have written that again after the restore. So may
// operators their evacuation, and one in force too long is safer than one too late.
func (t *Table) countsAtOnce(h Host) bool {
	e := t.entries[h.ID]
	return h.Role == RoleEvacuation || h.State == Leaving && (e == nil || h.Incarnation >= e.host.Incarnation)
}

// isOtherEntry reports whether an entry has the position of the known one and another content. It was then written after the
// restore, under the revision of a lost entry. The state does not count, which the table may have from a later entry.
func (t *Table) isOtherEntry(h Host) bool {
	e := t.entries[h.ID]
	if e == nil || e.host.State == Gone || h.Revision != e.host.Revision || h.Incarnation < e.host.Incarnation {
		return false
	}
	h.State = e.host.State
	return h != e.host
}

// mayHaveLost reports whether a full read as of a position may lack an entry because the restore lost it: an
// evacuation, which operators write again later than targets. It holds until the settled read.
func mayHaveLost(h *Host, asOf Position) bool {
	return h.Role == RoleEvacuation && h.Revision.Era() < asOf.Era() && asOf.Era() > FirstEra && !asOf.isSettled()
}

// hasLaterRemoval reports whether the table knows a removal of a listed host at or after its entry,
// or a later full read that did not list it. The host has then most likely ended, unless it wrote
// its entry again after the restore.
func (t *Table) hasLaterRemoval(h Host) bool {
	if e := t.entries[h.ID]; e != nil {
		return e.host.State == Gone && h.Revision <= e.host.Revision
	}
	return h.Revision <= t.fullReadPosition
}

// wasSkipped reports whether the last full read listed a host that the table leaves out, and the
// entry was written after the restore, so that the host has not ended.
func (t *Table) wasSkipped(h Host) bool {
	return t.skipped[h.ID] && h.Revision.Era() == t.fullReadPosition.Era()
}

// hasWrongRemoval reports whether the table has a removal, unconfirmed or not, between a host's
// entry and the full read that lists the entry. A removal from the store would have ended the
// entry; this one was concluded from a peer's complete list that lacked the host.
func (t *Table) hasWrongRemoval(h Host, asOf Position) bool {
	e := t.entries[h.ID]
	if e == nil {
		return false
	}
	removed := e.unconfirmedRemoval
	if e.host.State == Gone {
		removed = e.host.Revision
	}
	return h.Revision <= removed && removed < asOf
}

// stateAfterRestore returns the state that a newer entry gives a process. A restored store that
// lost a process's announcement that it leaves still lists the process as live, with the revision
// of that earlier entry; the process stays leaving.
func stateAfterRestore(known, h Host) State {
	lost := h.Revision.Era() > known.Revision.Era() && h.Revision.Revision() <= known.Revision.Revision()
	if lost && known.State == Leaving {
		return Leaving
	}
	return h.State
}
