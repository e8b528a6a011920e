// Package watch decides which daemons of a fleet hold a watch of the platform's store,
// and for how long.
//
// Each call of the store is paid for, a waiting one too, so only a few daemons of each
// data centre watch, and the rest learn from them. A store may cut watches without a
// word; then the end of a hold is when a missed change is found. Any of the watchers may
// be cut off from the store while its peers still reach it and count on it, so each of
// them holds as short as if it were the only one. Who watches follows from the living
// members alone, so that no message is needed and another daemon takes the place of one
// that is known to be dead.
package watch

import (
	"slices"
	"time"

	"doorstack.dev/core/rendezvous"
)

// PerDataCentre is the number of daemons of a data centre that watch.
const PerDataCentre = 2

// Hold is the longest time that a watch is held. A change that all watches miss is found
// after it and the time allowed for an answer (0.8 s), by the next call, which comes at
// once. It has to be known everywhere within the 3 s in which the users' store settles:
// 2.6 s, and 0.4 s for the way through the fleet (measured over 76 hosts). Six watchers
// make 3.6 calls a second.
const Hold = 1800 * time.Millisecond

// Member is a living daemon of the fleet.
type Member struct {
	Name, DataCentre string
	// Strong is true where the host gives it much of a processor and, as a rule, a fast link.
	Strong bool
}

// Watches decides for one daemon. Strong ones watch before others: whoever watches reads all
// that changes from the store, a megabyte where settings are large, which takes 0.5 s of a
// link of 20 Mbit/s and 0.3 s of a fifth of a core before the first peer can have it. One that is not among the members is alone as far as it
// knows, and watches.
func Watches(self string, members []Member) bool {
	at := slices.IndexFunc(members, func(m Member) bool { return m.Name == self })
	if at < 0 {
		return true
	}
	var strong, weak []string
	for _, m := range members {
		switch {
		case m.DataCentre != members[at].DataCentre:
		case m.Strong:
			strong = append(strong, m.Name)
		default:
			weak = append(weak, m.Name)
		}
	}
	watchers := rendezvous.Top(watchKey, strong, PerDataCentre)
	watchers = append(watchers, rendezvous.Top(watchKey, weak, PerDataCentre-len(watchers))...)
	return slices.Contains(watchers, self)
}

// watchKey keeps the scores of watchers apart from others.
const watchKey = "watch"
