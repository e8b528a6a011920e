package hostlist

import "slices"

// How a table serves peers although it does not know all removals. A complete list, unlike single
// changes, says nothing of hosts that were added and removed since the table's previous state, and old
// tombstones are dropped. A peer that may know such a host gets a complete list, and removes what the
// list lacks; one that cannot know it gets the changes, and has the same gap from then on.

// gap is a span of positions: hosts that were added after its start may have been removed before its
// end without this table knowing.
type gap struct{ after, upTo Position }

// maxGaps bounds the gaps of a table; the oldest ones are merged.
const maxGaps = 8

// addGap records a gap. Gaps that it covers are dropped.
func (t *Table) addGap(g gap) {
	if g.after >= g.upTo {
		return
	}
	kept := t.gaps[:0]
	for _, old := range t.gaps {
		if old.after < g.after || old.upTo > g.upTo {
			kept = append(kept, old)
		}
	}
	t.gaps = append(kept, g)
	if len(t.gaps) > maxGaps {
		t.gaps[1] = gap{min(t.gaps[0].after, t.gaps[1].after), max(t.gaps[0].upTo, t.gaps[1].upTo)}
		t.gaps = t.gaps[1:]
	}
}

// mayLackRemovals reports whether a peer may know hosts whose removal this table does not know. It returns
// false for a peer whose version does not remove what a complete list lacks.
func (t *Table) mayLackRemovals(peer Extent) bool {
	for _, g := range t.gaps {
		if g.after < peer.Newest && peer.Complete < g.upTo {
			return true
		}
	}
	return false
}

// gapEnd returns the end of the last gap, or zero if it is not above a position.
func (t *Table) gapEnd(revision Position) Position {
	end := Position(0)
	for _, g := range t.gaps {
		end = max(end, g.upTo)
	}
	if end <= revision {
		return 0
	}
	return end
}

// mayLackRemovalOf reports whether a host that the table does not know may have been removed at or below the table's revision.
func (t *Table) mayLackRemovalOf(h Host) bool {
	return t.entries[h.ID] == nil && (h.Revision.Era() != t.revision.Era() ||
		slices.ContainsFunc(t.gaps, func(g gap) bool { return g.after < h.Revision && h.Revision < g.upTo }))
}
