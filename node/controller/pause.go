package controller

import (
	"context"
	"time"

	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/telemetry"
)

// PauseDetector detects that the process did not run for a while or that its host was suspended.
// What the daemon knew before may no longer hold: reports, leases and permits count as unknown
// until they are renewed.
type PauseDetector struct {
	Board    *blackboard.Blackboard
	Recorder *telemetry.Recorder
	// SuspendedTime returns how long the host has been suspended so far, which the monotonic
	// clock does not count.
	SuspendedTime func() time.Duration
	// OnPause is called after a pause, with its length.
	OnPause func(time.Duration)
}

// A pause is a gap of at least minPause between two checks, which are due every pauseCheckInterval.
const (
	pauseCheckInterval = 100 * time.Millisecond
	minPause           = time.Second
)

// Run checks for pauses until ctx ends.
func (c *PauseDetector) Run(ctx context.Context) {
	last, suspended := time.Now(), c.SuspendedTime()
	for ctx.Err() == nil {
		Sleep(ctx, pauseCheckInterval)
		now, suspendedNow := time.Now(), c.SuspendedTime()
		c.check(now.Sub(last), suspendedNow-suspended, now)
		last, suspended = now, suspendedNow
	}
}

// check invalidates the load reports and calls OnPause if the time since the last check counts as a
// pause. That time is the sum of awake, by the monotonic clock, and suspended.
func (c *PauseDetector) check(awake, suspended time.Duration, now time.Time) {
	gap := awake + suspended
	if gap < minPause {
		return
	}
	c.Recorder.Metrics.Pauses.Inc()
	c.Recorder.Log.Warn("the process was paused; load reports, leases and permits are discarded", "gap", gap.String(), "host_slept", suspended.String())
	c.Board.Targets.InvalidateReports(now)
	c.OnPause(gap)
}
