// Package watch decides which daemons of a fleet hold a watch (a long poll) on the platform's
// store, and for how long, from the living members and the store's settle time.
//
// Each call of the store is paid for, also while it waits, so only a few daemons of each data centre
// watch, and the others learn of changes from them. A store may drop watches silently; a
// missed change is then found when the hold ends. Any watcher may be cut off from the store
// while its peers still reach that watcher and rely on it, so each watcher's hold is as short
// as if it were the only one. Every daemon derives the watchers from the living members alone,
// so no message is needed, and another daemon replaces a watcher that is known to be dead.
// Coverage covers the time until then, and stores that serve other daemons than the watchers.
package watch

import (
	"slices"
	"time"

	"doorstack.dev/core/rendezvous"
)

// MaxPerDataCentre is the maximum number of watchers in a data centre. MinPerFleet is the number
// of watchers that a fleet needs: one in each data centre, and second ones up to this number. An
// outage that cuts off a third of the hosts hits all of six watchers in one of 700 cases. Each
// change ends the wait of each watcher, so more watchers make more calls: a simulated day of 123
// hosts in five data centres took 569 calls, instead of 1,354 with two watchers in each and a
// hold of 1.8 s.
const (
	MaxPerDataCentre = 2
	MinPerFleet      = 6
)

// The limits of a hold. A change that all watches miss is found when one of the holds ends.
const (
	// AnswerMargin is how long after the end of the hold an answer may arrive.
	AnswerMargin = 800 * time.Millisecond
	// fleetPropagation is how long a change takes to reach all daemons, as measured over 76 hosts.
	fleetPropagation = 400 * time.Millisecond
	// maxHold limits the hold where a platform allows more, so that no operator waits longer for a
	// change to take effect.
	maxHold = 4 * time.Second
	// minHold limits the call rate where a platform settles faster: two a second by each watcher.
	minHold = 500 * time.Millisecond
	// DefaultHold is used where a platform does not state its store's settle time. It is the hold
	// for a settle time of 3 s, the shortest that users have asked for.
	DefaultHold = 1800 * time.Millisecond
)

// HoldTime returns the longest time that a watch is held, given the time in which the platform's
// store settles after a disturbance: by then a change that was missed on a silently dropped
// watch has to be known to all daemons. Each watcher holds as if no other reached the store.
// Without changes six watchers make 3.3 calls a second for a settle time of 3 s, and 1.6 for 5 s.
func HoldTime(settleTime time.Duration) time.Duration {
	if settleTime <= 0 {
		return DefaultHold
	}
	return min(maxHold, max(minHold, settleTime-AnswerMargin-fleetPropagation))
}

// Member is a living daemon of the fleet.
type Member struct {
	Name, DataCentre string
	// Strong is true if the host has much processor capacity and, as a rule, a fast link.
	Strong bool
}

// ShouldWatch reports whether the daemon self has to watch. Strong hosts are preferred: a watcher
// reads all changes from the store, a megabyte if settings are large. That takes 0.5 s on a
// link of 20 Mbit/s and 0.3 s on a fifth of a core before the first peer can get them. A daemon
// that is not among the members takes itself to be alone, and watches.
func ShouldWatch(self string, members []Member) bool {
	at := slices.IndexFunc(members, func(m Member) bool { return m.Name == self })
	if at < 0 {
		return true
	}
	own := members[at].DataCentre
	rank := slices.Index(candidates(own, members), self)
	return rank == 0 || rank > 0 && secondWatches(own, members)
}

// candidates returns the daemons of a data centre that may watch, in order of preference.
func candidates(dataCentre string, members []Member) []string {
	var strong, weak []string
	for _, m := range members {
		switch {
		case m.DataCentre != dataCentre:
		case m.Strong:
			strong = append(strong, m.Name)
		default:
			weak = append(weak, m.Name)
		}
	}
	watchers := rendezvous.Top(scoreKey, strong, MaxPerDataCentre)
	return append(watchers, rendezvous.Top(scoreKey, weak, MaxPerDataCentre-len(watchers))...)
}

// secondWatches reports whether the second candidate of a data centre watches too: in as many data
// centres as are needed for MinPerFleet watchers.
func secondWatches(dataCentre string, members []Member) bool {
	var centres []string
	for _, m := range members {
		if !slices.Contains(centres, m.DataCentre) {
			centres = append(centres, m.DataCentre)
		}
	}
	return slices.Contains(rendezvous.Top(scoreKey, centres, max(0, MinPerFleet-len(centres))), dataCentre)
}

// scoreKey is the rendezvous key by which watchers are chosen.
const scoreKey = "watch"
