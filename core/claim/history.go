package claim

import (
	"slices"
	"time"

	"doorstack.dev/core/rendezvous"
)

// HostList is a host list with the time at which the platform published it.
type HostList struct {
	// Revision is the platform's revision number of the list.
	Revision int64
	// Published is the time of the publication by the platform's clock.
	Published time.Time
	// Hosts are the daemons of the region.
	Hosts []string
}

// History holds the host lists that were in force recently, as this daemon read them.
type History struct {
	lists     []HostList // by revision, oldest first
	confirmed time.Time
}

// replacedListRetention is how long a list is kept after another one replaced it.
const replacedListRetention = ClaimWindow + 2*HostListPropagation

// Add adds a list that was read and that the platform confirmed at the given time.
func (h *History) Add(l HostList, confirmed time.Time) {
	if confirmed.After(h.confirmed) {
		h.confirmed = confirmed
	}
	at, found := slices.BinarySearchFunc(h.lists, l.Revision, func(x HostList, revision int64) int {
		return int(min(1, max(-1, x.Revision-revision)))
	})
	if found {
		return
	}
	h.lists = slices.Insert(h.lists, at, l)
	h.trim()
}

func (h *History) trim() {
	for len(h.lists) > 1 && h.confirmed.Sub(h.lists[1].Published) > replacedListRetention {
		h.lists = h.lists[1:]
	}
}

// Lists returns the lists held, oldest first.
func (h *History) Lists() []HostList { return h.lists }

// Confirmed returns the time at which the platform last confirmed the newest list.
func (h *History) Confirmed() time.Time { return h.confirmed }

// Fresh reports whether the newest list was confirmed recently enough to claim with.
func (h *History) Fresh(now time.Time) bool {
	return len(h.lists) > 0 && now.Sub(h.confirmed) <= HostListPropagation
}

// Sets returns the sets of witnesses in which a claim needs a majority: one for each list that
// may have been in force at a daemon that claimed the key before.
func (h *History) Sets(r Request, now time.Time) [][]string {
	from := now.Add(-RetryWindow - HostListPropagation)
	if r.Created.Known {
		from = r.Created.At.Add(-HostListPropagation - MaxClockSkew)
	}
	var sets [][]string
	for i, l := range h.lists {
		replaced := i+1 < len(h.lists) && h.lists[i+1].Published.Before(from)
		if replaced {
			continue
		}
		set := rendezvous.Top(r.Key, l.Hosts, WitnessCount)
		known := slices.ContainsFunc(sets, func(s []string) bool { return slices.Equal(s, set) })
		if len(set) > 0 && !known {
			sets = append(sets, set)
		}
	}
	return sets
}
