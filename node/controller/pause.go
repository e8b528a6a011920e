package controller

import (
	"context"
	"time"

	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/telemetry"
)

// Pause notices that the process stood still. What it believed before is void
// then: reports, leases and permits are taken as unknown until renewed.
type Pause struct {
	Board  *blackboard.Blackboard
	Record *telemetry.Recorder
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
	last := time.Now()
	for ctx.Err() == nil {
		Sleep(ctx, pauseTick)
		now := time.Now()
		c.tick(last, now)
		last = now
	}
}

// tick voids what was believed if the time since the last tick is a pause.
func (c *Pause) tick(last, now time.Time) {
	gap := now.Sub(last)
	if gap < pauseGap {
		return
	}
	c.Record.Metrics.Pauses.Inc()
	c.Record.Log.Warn("the process was paused; what it believed is void", "gap", gap.String())
	c.Board.Targets.Void(now)
	c.Void(gap)
}
