package cluster

import (
	"context"
	"time"

	"doorstack.dev/core/forward"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/peer"
)

// A target names a limit to the daemon whose call it answers. That daemon tells the pool's
// coordinator, which places all calls and so keeps to the limit for all. A coordinator that is asked
// for the first time is told of all limits that the asker knows, and tells the limit of each target
// that it places a call at, so that whoever gets the answer knows what it lifts.

// limitNotice tells a coordinator what a target of a pool has said of its limit.
type limitNotice struct {
	Pool  string                `cbor:"1,keyasint"`
	Limit blackboard.LimitState `cbor:"2,keyasint"`
}

// LimitSaid tells the pool's coordinator what a target said of its limit in the answer to a call that
// was sent then.
func (p *Placer) ReportLimit(pool, target string, said forward.Limit, sent time.Time) {
	now := time.Now()
	c := p.coordinatorOf(pool, now)
	if c.name == "" || c.name == p.cluster.Board.Self.Name {
		return
	}
	state := blackboard.LimitState{Target: target, PerSecond: said.PerSecond, Lifted: said.Lifted}
	if said.Lifted {
		state.Ago = now.Sub(sent)
	}
	p.notify(c.name, peer.KindLimit, limitNotice{Pool: pool, Limit: state})
}

// serveLimit takes in what a target has said to another daemon.
func (p *Placer) serveLimit(_ context.Context, _ string, in limitNotice) (empty, error) {
	p.mergeLimits(in.Pool, []blackboard.LimitState{in.Limit}, time.Now())
	return empty{}, nil
}

// takeLimits takes in what another daemon knows of targets' limits.
func (p *Placer) mergeLimits(pool string, limits []blackboard.LimitState, now time.Time) {
	for i := range limits {
		p.cluster.Recorder.TakeWord(pool, limits[i].Target, limits[i].Word(now))
	}
}

// countLimited counts a call that a coordinator placed, at a target whose limit it tells.
func (p *Placer) recordLimitedCall(pool string, a *placeAnswer, now time.Time) {
	if a.Limit != nil {
		p.mergeLimits(pool, []blackboard.LimitState{*a.Limit}, now)
	}
	p.cluster.Board.Targets.CountLimited(a.Target, now)
}
