package controller

import (
	"context"
	"time"

	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/telemetry"
)

// Pause notices that the process stood still, or that its host slept. What it believed before
// is void then: reports, leases and permits are taken as unknown until renewed.
type Pause struct {
	Board  *blackboard.Blackboard
	Record *telemetry.Recorder
	// Slept is for how long the host has slept so far, which the steady clock does not count.
	Slept func() time.Duration
	// Void is called after a pause, with its length.
	Void func(time.Duration)
}

// A pause is a gap of pauseGap in ticks that should come every pauseTick.
const (
	pauseTick = 100 * time.Millisecond
	pauseGap  = time.Second
)

// Run ticks until ctx ends.
func (c *Pause) Run(ctx context.Context) {
	last, slept := time.Now(), c.Slept()
	for ctx.Err() == nil {
		Sleep(ctx, pauseTick)
		now, sleptNow := time.Now(), c.Slept()
		c.tick(now.Sub(last), sleptNow-slept, now)
		last, slept = now, sleptNow
	}
}

// tick voids what was believed if the time since the last tick, by the steady clock and asleep,
// is a pause.
func (c *Pause) tick(awake, asleep time.Duration, now time.Time) {
	gap := awake + asleep
	if gap < pauseGap {
		return
	}
	c.Record.Metrics.Pauses.Inc()
	c.Record.Log.Warn("the process was paused; what it believed is void", "gap", gap.String(), "host_slept", asleep.String())
	c.Board.Targets.Void(now)
	c.Void(gap)
}
