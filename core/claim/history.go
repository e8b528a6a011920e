package claim

import (
	"slices"
	"time"

	"doorstack.dev/core/rendezvous"
)

// List is a host list with the time at which the platform published it.
type List struct {
	// Revision is the platform's.
	Revision int64
	// Changed is when the platform published it, by the platform's clock.
	Changed time.Time
	// Hosts are the daemons of the region.
	Hosts []string
}

// History is the host lists that were in force lately, as this daemon read them.
type History struct {
	lists     []List // by revision, the oldest first
	confirmed time.Time
}

// keep is how long a list is needed after another one replaced it.
const keep = Window + 2*Settle

// Add takes a list that was read, confirmed by the platform at the given time.
func (h *History) Add(l List, confirmed time.Time) {
	if confirmed.After(h.confirmed) {
		h.confirmed = confirmed
	}
	at, found := slices.BinarySearchFunc(h.lists, l.Revision, func(x List, revision int64) int {
		return int(min(1, max(-1, x.Revision-revision)))
	})
	if found {
		return
	}
	h.lists = slices.Insert(h.lists, at, l)
	h.trim()
}

func (h *History) trim() {
	for len(h.lists) > 1 && h.confirmed.Sub(h.lists[1].Changed) > keep {
		h.lists = h.lists[1:]
	}
}

// Lists returns the lists held, the oldest first.
func (h *History) Lists() []List { return h.lists }

// Confirmed is when the platform last confirmed the newest list.
func (h *History) Confirmed() time.Time { return h.confirmed }

// Fresh tells whether the list was confirmed recently enough to claim with.
func (h *History) Fresh(now time.Time) bool {
	return len(h.lists) > 0 && now.Sub(h.confirmed) <= Settle
}

// Sets returns the sets of witnesses in which a claim needs a majority: one for
// each list that may have been in force at somebody who claimed the key before.
func (h *History) Sets(r Request, now time.Time) [][]string {
	from := now.Add(-RetryWindow - Settle)
	if r.Birth.Dated {
		from = r.Birth.At.Add(-Settle - Skew)
	}
	var sets [][]string
	for i, l := range h.lists {
		replaced := i+1 < len(h.lists) && h.lists[i+1].Changed.Before(from)
		if replaced {
			continue
		}
		set := rendezvous.Top(r.Key, l.Hosts, Witnesses)
		known := slices.ContainsFunc(sets, func(s []string) bool { return slices.Equal(s, set) })
		if len(set) > 0 && !known {
			sets = append(sets, set)
		}
	}
	return sets
}
