package cluster

import (
	"context"
	"time"

	"doorstack.dev/core/forward"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/peer"
)

// A target declares a rate limit in its answer to a daemon's call. That daemon notifies the
// pool's coordinator, which places all calls and so keeps to the limit for the fleet. The
// first placement request to a coordinator carries all limits that the daemon knows. The
// coordinator names a target's limit with each call that it places there, so that the
// daemon that gets the answer can recognize that the limit is lifted.

// limitNotice tells a coordinator what a target declared about its rate limit.
type limitNotice struct {
	Pool  string                `cbor:"1,keyasint"`
	Limit blackboard.LimitState `cbor:"2,keyasint"`
}

// ReportLimit tells the pool's coordinator what a target declared about its rate limit in the
// answer to a call sent at the given time, and for how long it is cold.
func (p *Placer) ReportLimit(pool, target string, notice forward.Notice, sent time.Time) {
	now := time.Now()
	c := p.coordinatorOf(pool, now)
	if c.Name == "" || c.Name == p.cluster.Board.Self.Name {
		return
	}
	if limit := notice.Limit; limit.Declared || limit.Lifted {
		state := blackboard.LimitState{Target: target, PerSecond: limit.PerSecond, Lifted: limit.Lifted}
		if limit.Lifted {
			state.Age = now.Sub(sent)
		}
		p.notify(c.Name, peer.KindLimit, limitNotice{Pool: pool, Limit: state})
	}
	if notice.ColdFor > 0 {
		p.notify(c.Name, peer.KindLimit, limitNotice{Pool: pool, Limit: blackboard.LimitState{Target: target, ColdFor: notice.ColdFor}})
	}
}

// serveLimit handles what a target declared to another daemon.
func (p *Placer) serveLimit(_ context.Context, _ string, in limitNotice) (empty, error) {
	p.mergeLimits(in.Pool, []blackboard.LimitState{in.Limit}, time.Now())
	return empty{}, nil
}

// mergeLimits takes over what another daemon knows of targets' rate limits.
func (p *Placer) mergeLimits(pool string, limits []blackboard.LimitState, now time.Time) {
	for i := range limits {
		p.cluster.Recorder.RecordTimedNotice(pool, limits[i].Target, limits[i].TimedNotice(now))
	}
}

// recordLimitedCall counts a call that a coordinator placed toward its target's rate limit,
// after taking over the limit that the answer names.
func (p *Placer) recordLimitedCall(pool string, a *placeAnswer, now time.Time) {
	if a.Limit != nil {
		p.mergeLimits(pool, []blackboard.LimitState{*a.Limit}, now)
	}
	p.cluster.Board.Targets.RecordLimitedCall(a.Target, now)
}
