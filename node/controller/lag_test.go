package controller

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/telemetry"
	dto "github.com/prometheus/client_model/go"
)

// TestLagMonitorTakesSamples checks that Run records samples, and returns when its context ends.
func TestLagMonitorTakesSamples(t *testing.T) {
	board := blackboard.New(blackboard.Identity{Name: "d"}, blackboard.DefaultLimits())
	metrics := telemetry.NewMetrics()
	c := &LagMonitor{Board: board, Recorder: &telemetry.Recorder{Board: board, Log: slog.New(slog.DiscardHandler), Metrics: metrics}}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.Run(ctx)
	}()
	samples := func() uint64 {
		var m dto.Metric
		if err := metrics.Lag.Write(&m); err != nil {
			t.Fatal(err)
		}
		return m.GetHistogram().GetSampleCount()
	}
	timeout := time.After(20 * time.Second)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for samples() < 3 {
		select {
		case <-timeout:
			t.Fatalf("Run recorded %d samples in 20 s, want at least 3", samples())
		case <-tick.C:
		}
	}
	cancel()
	select {
	case <-ended:
	case <-timeout:
		t.Fatal("Run did not return after its context ended")
	}
}
