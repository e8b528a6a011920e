// Package reach keeps what a daemon knows of its own network paths to targets. A host may lose its path to some or
// all targets while callers, the platform and the other hosts still reach it.
//
// Paths is not safe for concurrent use.
package reach

import "time"

// Paths is what a daemon knows of its own paths to targets, by target address.
type Paths struct {
	targets map[string]*path
}

// path is the daemon's own path to one target.
type path struct {
	// failed reports that the latest direct connection failed.
	failed   bool
	lastUsed time.Time
}

// New returns Paths without any knowledge.
func New() *Paths { return &Paths{targets: map[string]*path{}} }

func (p *Paths) target(address string, now time.Time) *path {
	t := p.targets[address]
	if t == nil {
		t = &path{}
		p.targets[address] = t
	}
	t.lastUsed = now
	return t
}

// DirectConnected records a direct connection that was established.
func (p *Paths) DirectConnected(address string, now time.Time) { p.target(address, now).failed = false }

// DirectFailed records a direct connection that failed.
func (p *Paths) DirectFailed(address string, now time.Time) { p.target(address, now).failed = true }

// Summary counts the targets by the state of their paths.
type Summary struct {
	// Known are the targets to which a connection was tried, Failing those whose latest one failed.
	Known, Failing int
}

// Summary returns the present state.
func (p *Paths) Summary() Summary {
	s := Summary{Known: len(p.targets)}
	for _, t := range p.targets {
		if t.failed {
			s.Failing++
		}
	}
	return s
}

// forgetAfter is how long an unused target is remembered, longer than any pause between two calls to a target in use.
const forgetAfter = 10 * time.Minute

// Forget removes targets that have not been used for long.
func (p *Paths) Forget(now time.Time) {
	for address, t := range p.targets {
		if now.Sub(t.lastUsed) > forgetAfter {
			delete(p.targets, address)
		}
	}
}
