package hostlist

// What a table makes of a store that came back from an older copy. Until the new era has settled,
// an entry of a read of the whole may be as old as the copy: such entries have positions of the
// era before (see Position), and take back nothing that is known from there.

// MayBeCopy tells whether the store has come back from an older copy before, so that what was
// read from it alone may be older than what others know.
func (t *Table) StoreWasRestored() bool { return t.fullReadAt.Era() > FirstEra }

// lacksLost tells whether facts may lack what was lost when the store came back from a copy: the
// first read of a daemon that has not seen the time before.
func (t *Table) mayLackLostWrites(f *Update) bool {
	return f.Full && t.fullReadAt == 0 && f.AsOf.Era() > FirstEra && !f.AsOf.isSettled()
}

// putListed takes over an entry of a read of the whole. One that was changed before what is
// known here, and was not known all the same, counts from the read on: peers that know as much
// would not ask for it by its own position.
func (t *Table) putFromFullRead(h Host, asOf Position) bool {
	mayBeOld := h.Revision.Era() < asOf.Era()
	if mayBeOld && t.entries[h.ID] == nil && h.Revision <= t.fullReadAt {
		return false // A read after that did not list it, so most likely it has ended.
	}
	known := h.Revision <= t.revision
	if !t.putIfNewer(h) {
		return mayBeOld && t.putLeavingState(h, asOf)
	}
	if known {
		t.entries[h.ID].host.Revision = max(h.Revision, asOf)
	}
	return true
}

// putLeaving takes over that a target leaves from an entry that may be older than what is known,
// or may have been written again after the store's return: no process takes that word back.
func (t *Table) putLeavingState(h Host, asOf Position) bool {
	e := t.entries[h.ID]
	if h.State != Leaving || e.host.State != Live || h.Incarnation < e.host.Incarnation {
		return false
	}
	e.host.State, e.host.Revision = Leaving, asOf
	return true
}

// stateAfterRestore is the state that a newer entry gives a process. A store that came back from an
// older copy lists a process as it was before it said that it leaves, under its old revision.
func stateAfterRestore(known, h Host) State {
	lost := h.Revision.Era() > known.Revision.Era() && h.Revision.Revision() <= known.Revision.Revision()
	if lost && known.State == Leaving {
		return Leaving
	}
	return h.State
}
