package controller

import (
	"context"
	"math/rand/v2"
	"os"
	"time"

	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/telemetry"
)

// LagMonitor measures the scheduling delay of the process: how long a byte that has arrived in a
// pipe waits until the goroutine that reads it runs. The lateness of a timer would not show the
// delay, since the runtime runs goroutines woken by timers before those woken by the network.
type LagMonitor struct {
	Board    *blackboard.Blackboard
	Recorder *telemetry.Recorder
}

const (
	// lagSampleInterval is the mean time between two samples. It takes two samples to distinguish
	// a lasting queue of events from a single pause of the process, and two samples take less time
	// than the shortest goal of any call (150 ms). Sampling costs a thousandth of a core.
	lagSampleInterval = 50 * time.Millisecond
	// minLoggedLag is the sustained delay above which a warning is logged: a third of the shortest
	// goal for the first event of a streamed answer (300 ms).
	minLoggedLag = 100 * time.Millisecond
	// lagLogInterval is the shortest time between two such warnings.
	lagLogInterval = time.Second
)

// Run takes samples until ctx ends.
func (c *LagMonitor) Run(ctx context.Context) {
	reader, writer, err := os.Pipe()
	if err != nil {
		c.Recorder.Log.Error("cannot measure the scheduling delay", "error", err.Error())
		return
	}
	defer func() { _ = reader.Close() }()
	go c.sendSamples(ctx, writer)
	c.receiveSamples(reader)
}

// sendSamples writes samples until ctx ends, and then closes the pipe. The time between samples is
// random, so that they do not synchronize with the periods in which the host's scheduler grants
// processor time.
func (c *LagMonitor) sendSamples(ctx context.Context, writer *os.File) {
	defer func() { _ = writer.Close() }()
	for ctx.Err() == nil {
		Sleep(ctx, lagSampleInterval/2+rand.N(lagSampleInterval))
		if c.Board.Lag.Pending() {
			continue // Another sample would only queue behind the pending one.
		}
		c.Board.Lag.Begin(time.Now())
		if _, err := writer.Write([]byte{0}); err != nil {
			c.Recorder.Log.Error("stopped measuring the scheduling delay", "error", err.Error())
			return
		}
	}
}

// receiveSamples reads samples until the pipe is closed, and records and logs the sustained delay.
func (c *LagMonitor) receiveSamples(reader *os.File) {
	buffer := make([]byte, 1)
	lastLogged := time.Time{}
	for {
		if _, err := reader.Read(buffer); err != nil {
			return // sendSamples has closed the pipe.
		}
		now := time.Now()
		sustained := c.Board.Lag.End(now)
		c.Recorder.Metrics.Lag.Observe(sustained.Seconds())
		if sustained > minLoggedLag && now.Sub(lastLogged) >= lagLogInterval {
			lastLogged = now
			c.Recorder.Log.Warn("the daemon is overloaded; arrived events wait to be processed", "wait_ms", sustained.Milliseconds(), "in_flight", c.Board.InFlight())
		}
	}
}
