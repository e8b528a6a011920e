// Package reach decides how a daemon connects to a target: over its own network path or through a relay, another
// daemon that connects in its place. A host may lose its path to some or all targets while callers, the platform
// and the other hosts still reach it; a failed connection alone does not tell whether the target or the path
// failed, but a relay that connects to the target at the same time does.
//
// Paths is not safe for concurrent use.
package reach

import (
	"time"

	"doorstack.dev/core/coordination"
)

// Paths is what a daemon knows of its own paths to targets, by target address, and of its relays.
type Paths struct {
	targets map[string]*path
	relays  map[string]*relayState
	// direct and relayed estimate the time to connect in each way.
	direct, relayed coordination.RTT
	// allLost reports that the path to all targets counts as lost, including those not connected to yet.
	allLost bool
	// unreached are the lost targets since the last direct connection to any target.
	unreached map[string]bool
	// lastConnected are the two targets that were connected to directly last, the latest first.
	lastConnected [2]string
	lastProbed    string
	nextProbe     time.Time
}

// path is the daemon's own path to one target.
type path struct {
	rtt  coordination.RTT
	lost bool
	// failed reports that the latest direct connection failed.
	failed bool
}

// relayState is what is known of a relay. At most one of its fields is set.
type relayState struct {
	// works reports that the relay's latest connection worked.
	works bool
	// avoidUntil is until when a relay that could not help is avoided.
	avoidUntil time.Time
}

// New returns Paths without any knowledge.
func New() *Paths {
	return &Paths{targets: map[string]*path{}, relays: map[string]*relayState{}, unreached: map[string]bool{}}
}

// minLostTargets is the number of targets that must be lost, without a direct connection to any target in
// between, before the path to all targets counts as lost: a single one may have a path of its own that failed.
const minLostTargets = 2

func (p *Paths) target(address string) *path {
	t := p.targets[address]
	if t == nil {
		t = &path{}
		p.targets[address] = t
	}
	return t
}

// DirectConnected records a direct connection that was established within the time took. If the path to the target was
// lost, the paths of the other targets are most likely back too.
func (p *Paths) DirectConnected(address string, took time.Duration) {
	t := p.target(address)
	t.rtt.Add(took)
	p.direct.Add(took)
	if t.lost {
		for _, other := range p.targets {
			other.lost = false
		}
	}
	t.failed = false
	p.allLost = false
	clear(p.unreached)
	if p.lastConnected[0] != address {
		p.lastConnected = [2]string{address, p.lastConnected[0]}
	}
}

// ReferenceTarget returns a target other than the given one that was connected to lately. If a connection to both fails, the
// host's path is more likely to have failed than both targets.
func (p *Paths) ReferenceTarget(address string) (string, bool) {
	for _, other := range p.lastConnected {
		if other != "" && other != address {
			return other, true
		}
	}
	return "", false
}

// ReferenceFailed records that direct connections to a target and to its reference target failed.
func (p *Paths) ReferenceFailed() { p.allLost = true }

// DirectFailed records a direct connection that failed.
func (p *Paths) DirectFailed(address string) { p.target(address).failed = true }

// RelayConnected records that a relay connected to a target within the time took. directTried reports that a direct
// connection was attempted at the same time and has not been established: the path is lost then.
func (p *Paths) RelayConnected(address, relay string, directTried bool, took time.Duration) {
	p.relays[relay] = &relayState{works: true}
	p.relayed.Add(took)
	t := p.target(address)
	if !directTried {
		return
	}
	t.lost = true
	p.unreached[address] = true
	p.allLost = p.allLost || len(p.unreached) >= minLostTargets
}

// relayAvoidance is how long a relay is not asked again after it could not help: it may have lost its own path, be
// leaving, or run a version without relaying.
const relayAvoidance = time.Second

// RelayFailed records that a daemon could not serve as a relay.
func (p *Paths) RelayFailed(relay string, now time.Time) {
	p.relays[relay] = &relayState{avoidUntil: now.Add(relayAvoidance)}
}

// Lost reports whether the daemon's own path to a target counts as lost.
func (p *Paths) Lost(address string) bool {
	t := p.targets[address]
	return p.allLost || t != nil && t.lost
}

// AllLost reports whether the path to all targets counts as lost.
func (p *Paths) AllLost() bool { return p.allLost }

// Summary counts the targets by the state of their paths.
type Summary struct {
	// Known are the targets with at least one connection attempt, Failing those whose latest direct one failed, and
	// Lost those to which this daemon's own path is lost.
	Known   int `json:"known"`
	Failing int `json:"failing"`
	Lost    int `json:"lost"`
	// AllLost reports that the path to all targets counts as lost.
	AllLost bool `json:"all_lost"`
}

// Summary returns the present state.
func (p *Paths) Summary() Summary {
	s := Summary{Known: len(p.targets), AllLost: p.allLost}
	for _, t := range p.targets {
		if t.lost {
			s.Lost++
		}
		if t.failed {
			s.Failing++
		}
	}
	return s
}

// probeInterval is how often a direct connection to a lost target is tried. Calls need not wait for it, as they
// have their relays meanwhile.
const probeInterval = 500 * time.Millisecond

// Probe returns a target to which a direct connection is due, to find out whether the path is back. While all paths
// are lost any target serves, otherwise each lost one is tried in turn.
func (p *Paths) Probe(now time.Time) (string, bool) {
	if now.Before(p.nextProbe) {
		return "", false
	}
	first, next := "", ""
	for address, t := range p.targets {
		if !t.lost && !p.allLost {
			continue
		}
		if first == "" || address < first {
			first = address
		}
		if address > p.lastProbed && (next == "" || address < next) {
			next = address
		}
	}
	if first == "" {
		return "", false
	}
	if next == "" {
		next = first
	}
	p.lastProbed, p.nextProbe = next, now.Add(probeInterval)
	return next, true
}

// Forget removes what is known of targets that no longer exist, and of relays that may be asked again.
func (p *Paths) Forget(exists func(address string) bool, now time.Time) {
	for address := range p.targets {
		if !exists(address) {
			delete(p.targets, address)
			delete(p.unreached, address)
		}
	}
	for i, address := range p.lastConnected {
		if !exists(address) {
			p.lastConnected[i] = ""
		}
	}
	for name, r := range p.relays {
		if !r.works && !now.Before(r.avoidUntil) {
			delete(p.relays, name)
		}
	}
}
