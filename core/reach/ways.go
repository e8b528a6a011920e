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
	// Patience is how long to wait for this way before the next one is tried beside it.
	Patience time.Duration
}

// maxRelays bounds the relays that are tried for one connection. Where all daemons of a data centre have lost their
// paths, the second one, which is in another data centre, still helps.
const maxRelays = 3

// The bounds of Way.Patience, for times that were measured on an idle host and for hosts that have measured none.
const (
	minPatience     = 10 * time.Millisecond
	initialPatience = 50 * time.Millisecond
)

// Ways returns the ways to a target in the order in which to try them. self is this daemon; relays are the daemons
// that may serve as relays, this one not included.
func (p *Paths) Ways(address string, self Relay, relays []Relay, now time.Time) []Way {
	direct := Way{Patience: p.directPatience(address)}
	var ways []Way
	for _, name := range p.chooseRelays(address, self, relays, now) {
		ways = append(ways, Way{Relay: name, Patience: p.relayPatience()})
	}
	if p.Lost(address) {
		return append(ways, direct)
	}
	return append([]Way{direct}, ways...)
}

func (p *Paths) directPatience(address string) time.Duration {
	if t := p.targets[address]; t != nil {
		if _, known := t.rtt.Mean(); known {
			return max(minPatience, t.rtt.Timeout())
		}
	}
	if _, known := p.direct.Mean(); known {
		return max(minPatience, p.direct.Timeout())
	}
	return initialPatience
}

func (p *Paths) relayPatience() time.Duration {
	if _, known := p.relayed.Mean(); known {
		return max(minPatience, p.relayed.Timeout())
	}
	return initialPatience
}

// chooseRelays returns the relays to try for a target. The first is in the daemon's own data centre, where a relay
// adds the least delay; the second is in another one, as the daemons of a data centre may lose their paths
// together. Among equals each daemon and target have their own order, so that the load spreads over the relays.
func (p *Paths) chooseRelays(address string, self Relay, relays []Relay, now time.Time) []string {
	key := self.Name + "\x00" + address
	type candidate struct {
		Relay
		score uint64
	}
	var near, far []candidate
	for _, r := range relays {
		if now.Before(p.relays[r.Name]) {
			continue
		}
		c := candidate{r, rendezvous.Score(key, r.Name)}
		if r.DataCentre == self.DataCentre {
			near = append(near, c)
		} else {
			far = append(far, c)
		}
	}
	order := func(a, b candidate) int {
		if a.Strong != b.Strong {
			if a.Strong {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.score, a.score)
	}
	slices.SortFunc(near, order)
	slices.SortFunc(far, order)
	var names []string
	for len(names) < maxRelays && len(near)+len(far) > 0 {
		from := &near
		if len(near) == 0 || len(names)%2 == 1 && len(far) > 0 {
			from = &far
		}
		names = append(names, (*from)[0].Name)
		*from = (*from)[1:]
	}
	return names
}
