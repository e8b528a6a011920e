package hostlist

import "time"

// removalConfirmTime returns when so many removals in one answer are confirmed; zero means at
// once.
func (t *Table) removalConfirmTime(removals int, now time.Time) time.Time {
	switch {
	case t.storeDown:
		return now.Add(storeReturnGrace) // Tick also waits for the store's return.
	case now.Before(t.storeBackAt.Add(storeReturnGrace)):
		return t.storeBackAt.Add(storeReturnGrace)
	case removals >= massRemovalMin && float64(removals) >= massRemovalShare*float64(t.listedCount()):
		return now.Add(massRemovalGrace)
	default:
		return time.Time{}
	}
}

// recordTombstones records removals of hosts that are not listed, so that an older entry merged
// later does not bring them back.
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

// listedCount returns the number of hosts that are not gone.
func (t *Table) listedCount() int {
	n := 0
	for _, e := range t.entries {
		if e.host.State != Gone {
			n++
		}
	}
	return n
}

// removal is the removal of a listed host. Its position is that of the store's change or, if a
// complete list shows the removal, that of the list; notBefore is the earliest position that it may
// have in fact.
type removal struct {
	id                  string
	position, notBefore Position
}

// removals returns the listed hosts that the update removes.
func (t *Table) removals(f Update) []removal {
	var removed []removal
	present := map[string]bool{}
	for _, h := range f.Hosts {
		present[h.ID] = true
		if e := t.entries[h.ID]; h.State == Gone && e != nil && e.host.State != Gone && e.host.Revision < h.Revision {
			removed = append(removed, removal{h.ID, h.Revision, h.Revision})
		}
	}
	if !f.Full {
		return removed
	}
	for _, r := range t.unlisted(present, f.AsOf) {
		if !mayHaveLost(&t.entries[r.id].host, f.AsOf) {
			removed = append(removed, r)
		}
	}
	return removed
}

// unlisted returns the removals of the listed hosts that a complete list as of a position lacks.
func (t *Table) unlisted(present map[string]bool, asOf Position) []removal {
	var removed []removal
	for id, e := range t.entries {
		if !present[id] && e.host.State != Gone && e.host.Revision <= asOf {
			removed = append(removed, removal{id, asOf, min(asOf, max(t.revision, e.host.Revision)+1)})
		}
	}
	return removed
}

// removeUnlisted records unconfirmed removals of the hosts that a peer's complete list lacks. The peer may
// have read the store just after an outage, without having noticed it, while entries of living hosts
// were missing. A host that a full read listed as of the same or a later position has not been removed:
// until the era has settled, its entry may have a position before that of its last write.
func (t *Table) removeUnlisted(f *Update, now time.Time) {
	present := map[string]bool{}
	for _, h := range f.Hosts {
		present[h.ID] = h.State != Gone // An older removal does not say that the peer knows the host.
	}
	for _, h := range t.unlisted(present, f.AsOf) {
		if t.entries[h.id].listedAt >= f.AsOf {
			continue
		}
		t.removeEntry(h, now.Add(storeReturnGrace), now)
	}
}
