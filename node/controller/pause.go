package controller

import (
	"context"
	"time"

	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/telemetry"
)

// PauseDetector notices that the process stood still, or that its host slept. What it believed before
// is void then: reports, leases and permits are taken as unknown until renewed.
type PauseDetector struct {
	Board    *blackboard.Blackboard
	Recorder *telemetry.Recorder
	// Slept is for how long the host has slept so far, which the steady clock does not count.
	SuspendedTime func() time.Duration
	// Void is called after a pause, with its length.
	OnPause func(time.Duration)
}

// A pause is a gap of minPause in ticks that should come every pauseCheckInterval.
const (
	pauseCheckInterval = 100 * time.Millisecond
	minPause           = time.Second
)

// Run ticks until ctx ends.
func (c *PauseDetector) Run(ctx context.Context) {
	last, slept := time.Now(), c.SuspendedTime()
	for ctx.Err() == nil {
		Sleep(ctx, pauseCheckInterval)
		now, sleptNow := time.Now(), c.SuspendedTime()
		c.check(now.Sub(last), sleptNow-slept, now)
		last, slept = now, sleptNow
	}
}

// tick voids what was believed if the time since the last tick, by the steady clock and asleep,
// is a pause.
func (c *PauseDetector) check(awake, asleep time.Duration, now time.Time) {
	gap := awake + asleep
	if gap < minPause {
		return
	}
	c.Recorder.Metrics.Pauses.Inc()
	c.Recorder.Log.Warn("the process was paused; what it believed is void", "gap", gap.String(), "host_slept", asleep.String())
	c.Board.Targets.Void(now)
	c.OnPause(gap)
}
