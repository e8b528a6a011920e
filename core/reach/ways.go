package reach

import (
	"cmp"
	"slices"
	"time"

	"doorstack.dev/core/rendezvous"
)

// Relay is a daemon that may serve as a relay.
type Relay struct {
	Name, DataCentre string
	// Strong daemons have much processor capacity (see membership.StrongMembers).
	Strong bool
}

// Way is one way to connect to a target: direct, or through a relay.
type Way struct {
	// Relay is the name of the relay; it is empty for a direct connection.
	Relay string
	// AttemptDelay is how long to wait for this way before the next one is tried beside it.
	AttemptDelay time.Duration
}

// The bounds of the relays that are tried for one connection: to a target whose path may work, and to one whose path
// is lost. Where many daemons have lost their paths together, several relays may have to be asked; they refuse at
// once.
const (
	maxRelays         = 3
	maxRelaysWhenLost = 8
)

// The least attempt delay, below which a busy host would ask relays for targets that it reaches, and the delay as long
// as no connect time is known.
const (
	minAttemptDelay     = 10 * time.Millisecond
	initialAttemptDelay = 50 * time.Millisecond
)

// Ways returns the ways to a target in the order in which to try them. self is this daemon; relays are the daemons
// that may serve as relays, this one not included.
func (p *Paths) Ways(address string, self Relay, relays []Relay, now time.Time) []Way {
	direct := Way{AttemptDelay: p.directDelay(address)}
	var ways []Way
	for _, name := range p.chooseRelays(address, self, relays, now) {
		ways = append(ways, Way{Relay: name, AttemptDelay: p.relayDelay()})
	}
	if p.Lost(address) {
		return append(ways, direct)
	}
	return append([]Way{direct}, ways...)
}

func (p *Paths) directDelay(address string) time.Duration {
	if t := p.targets[address]; t != nil {
		if _, known := t.rtt.Mean(); known {
			return max(minAttemptDelay, t.rtt.Timeout())
		}
	}
	if _, known := p.direct.Mean(); known {
		return max(minAttemptDelay, p.direct.Timeout())
	}
	return initialAttemptDelay
}

func (p *Paths) relayDelay() time.Duration {
	if _, known := p.relayed.Mean(); known {
		return max(minAttemptDelay, p.relayed.Timeout())
	}
	return initialAttemptDelay
}

// candidate is a relay with what decides its place in the order.
type candidate struct {
	Relay
	works bool
	score uint64
}

// chooseRelays returns the relays to try for a target. Those that work come first. Of the others the first is in the
// daemon's own data centre, where a relay adds the least delay, and the second in another one, as the daemons of a
// data centre may lose their paths together. Among equals each daemon and target have their own order, so that the
// load spreads over the relays.
func (p *Paths) chooseRelays(address string, self Relay, relays []Relay, now time.Time) []string {
	key := self.Name + "\x00" + address
	var near, far []candidate
	for _, r := range relays {
		c := candidate{Relay: r}
		if known := p.relays[r.Name]; known != nil {
			if now.Before(known.avoidUntil) {
				continue
			}
			c.works = known.works
		}
		c.score = rendezvous.Score(key, r.Name)
		if r.DataCentre == self.DataCentre {
			near = append(near, c)
		} else {
			far = append(far, c)
		}
	}
	slices.SortFunc(near, compareCandidates)
	slices.SortFunc(far, compareCandidates)
	limit := maxRelays
	if p.Lost(address) {
		limit = maxRelaysWhenLost
	}
	var names []string
	for len(names) < limit && len(near)+len(far) > 0 {
		from := &near
		if len(near) == 0 || len(far) > 0 && preferFar(near[0], far[0], len(names)) {
			from = &far
		}
		names = append(names, (*from)[0].Name)
		*from = (*from)[1:]
	}
	return names
}

// preferFar reports whether the best relay of another data centre comes before the best one of the own data centre, if
// chosen relays come before them.
func preferFar(near, far candidate, chosen int) bool {
	if near.works != far.works {
		return far.works
	}
	return !near.works && chosen%2 == 1
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(compareBools(a.works, b.works), compareBools(a.Strong, b.Strong), cmp.Compare(b.score, a.score))
}

// compareBools sorts true before false.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
