package telemetry

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"doorstack.dev/core/decision"
	"doorstack.dev/node/blackboard"
)

// TestOutputNeverBlocks: while the reader of the log stands still, logging goes on,
// and what is lost is counted.
func TestOutputNeverBlocks(t *testing.T) {
	reader, writer := io.Pipe()
	o := NewOutput(writer)
	for range 2 * outputQueueSize {
		if _, err := o.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if lost := o.Dropped(); lost < outputQueueSize-2 || lost > outputQueueSize {
		t.Errorf("%d lines were dropped", lost)
	}
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	o.Close()
}

// TestFailuresAreAlwaysLogged: lines about what went well are bounded, others are not.
func TestFailuresAreAlwaysLogged(t *testing.T) {
	var log bytes.Buffer
	board := blackboard.New(blackboard.Identity{Name: "d"}, blackboard.DefaultLimits())
	r := &Recorder{Board: board, Log: slog.New(slog.NewJSONHandler(&log, nil)), Metrics: NewMetrics()}
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for range 10 * maxRoutineLines {
		r.Record(decision.Record{Kind: decision.KindAnswer, Outcome: decision.OutcomeComplete, At: at})
		r.Record(decision.Record{Kind: decision.KindAnswer, Outcome: decision.OutcomeFailed, At: at})
	}
	whole := strings.Count(log.String(), `"outcome":"whole"`)
	failed := strings.Count(log.String(), `"outcome":"failed"`)
	if failed != 10*maxRoutineLines || whole > 2*maxRoutineLines || whole < maxRoutineLines {
		t.Errorf("%d failures and %d whole answers were logged", failed, whole)
	}
}
