package controller

import (
	"context"
	"math/rand/v2"
	"os"
	"time"

	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/telemetry"
)

// LagMonitor measures how far the process is behind its own events: how long a byte that has arrived
// waits until the goroutine that reads it has its turn. A timer's lateness would not tell,
// since the runtime runs what timers wake before what the network wakes.
type LagMonitor struct {
	Board    *blackboard.Blackboard
	Recorder *telemetry.Recorder
}

const (
	// lagSampleInterval is the mean time between two samples: two of them, which it takes to tell a queue
	// from a pause, lie well within the shortest goal of a call (150 ms), at a thousandth of a core.
	lagSampleInterval = 50 * time.Millisecond
	// minLoggedLag is the standing wait from which a line tells of it: a third of the shortest
	// goal for a first event.
	minLoggedLag = 100 * time.Millisecond
	// lagLogInterval is the least time between two such lines.
	lagLogInterval = time.Second
)

// Run takes samples until ctx ends.
func (c *LagMonitor) Run(ctx context.Context) {
	arrivals, sends, err := os.Pipe()
	if err != nil {
		c.Recorder.Log.Error("the process's own lag is not measured", "error", err.Error())
		return
	}
	defer func() { _ = arrivals.Close() }()
	go c.sendSamples(ctx, sends)
	c.receiveSamples(arrivals)
}

// send sends samples, and closes the pipe with ctx. The time between them is drawn, so that
// they do not keep step with the periods in which a host hands out its processor.
func (c *LagMonitor) sendSamples(ctx context.Context, sends *os.File) {
	defer func() { _ = sends.Close() }()
	for ctx.Err() == nil {
		Sleep(ctx, lagSampleInterval/2+rand.N(lagSampleInterval))
		if c.Board.Lag.Pending() {
			continue // The next one would only wait behind it.
		}
		c.Board.Lag.Begin(time.Now())
		if _, err := sends.Write([]byte{0}); err != nil {
			c.Recorder.Log.Error("the process's own lag is no longer measured", "error", err.Error())
			return
		}
	}
}

// receive takes samples in until the pipe ends.
func (c *LagMonitor) receiveSamples(arrivals *os.File) {
	buffer := make([]byte, 1)
	reported := time.Time{}
	for {
		if _, err := arrivals.Read(buffer); err != nil {
			return // The sender has closed the pipe.
		}
		now := time.Now()
		standing := c.Board.Lag.End(now)
		c.Recorder.Metrics.Lag.Observe(standing.Seconds())
		if standing > minLoggedLag && now.Sub(reported) >= lagLogInterval {
			reported = now
			c.Recorder.Log.Warn("the daemon is behind its own events", "wait_ms", standing.Milliseconds(), "in_flight", c.Board.InFlight())
		}
	}
}
