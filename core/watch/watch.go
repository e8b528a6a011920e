// Package watch decides which daemons of a fleet hold a watch of the platform's store,
// and for how long.
//
// Each call of the store is paid for, a waiting one too, so only a few daemons of each
// data centre watch, and the rest learn from them. A store may cut watches without a
// word; then the end of a hold is when a missed change is found. News ends all watches at
// the same moment, so holds that are drawn alike would also end alike. Therefore the
// watchers have an order: the first looks often, the second less often, the others
// seldom. The order follows from the living members alone, so that no message is needed
// and another daemon is first as soon as the first is known to be dead.
package watch

import (
	"slices"
	"time"

	"doorstack.dev/core/rendezvous"
)

// PerDataCentre is the number of daemons of a data centre that watch.
const PerDataCentre = 2

// The longest holds of a watch, by the watcher's place in the order. A change that all
// watches miss is known after holdFirst and the time allowed for an answer: 2.8 s, while
// the users allow 2 s beyond an outage of 4 s and more. In a fleet of six this costs as
// many calls as a hold of 4.9 s at each.
const (
	holdFirst  = 2 * time.Second
	holdSecond = 4500 * time.Millisecond
	holdOthers = 8 * time.Second
)

// Member is a living daemon of the fleet.
type Member struct {
	Name, DataCentre string
}

// Plan is what a daemon does.
type Plan struct {
	// Watches is false for daemons that learn from others.
	Watches bool
	// Hold is the longest time to hold a watch, if it holds one.
	Hold time.Duration
}

// PlanOf decides for one daemon. One that is not among the members is alone as far as it
// knows, and watches.
func PlanOf(self string, members []Member) Plan {
	byCentre := map[string][]string{}
	known := false
	for _, m := range members {
		byCentre[m.DataCentre] = append(byCentre[m.DataCentre], m.Name)
		known = known || m.Name == self
	}
	if !known {
		return Plan{Watches: true, Hold: holdFirst}
	}
	var watchers []string
	for _, names := range byCentre {
		watchers = append(watchers, rendezvous.Top("watch", names, PerDataCentre)...)
	}
	place := slices.Index(rendezvous.Top("hold", watchers, len(watchers)), self)
	return Plan{Watches: place >= 0, Hold: holdAt(place)}
}

func holdAt(place int) time.Duration {
	switch place {
	case 0:
		return holdFirst
	case 1:
		return holdSecond
	default:
		return holdOthers
	}
}
