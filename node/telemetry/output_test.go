package telemetry

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"doorstack.dev/core/decision"
	"doorstack.dev/node/blackboard"
)

// TestOutputNeverBlocks checks that logging continues while the reader of the log is stalled, and
// that the lost lines are counted.
func TestOutputNeverBlocks(t *testing.T) {
	reader, writer := io.Pipe()
	o := NewOutput(writer)
	for range 2 * outputQueueSize {
		if _, err := o.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if lost := o.Dropped(); lost < outputQueueSize-2 || lost > outputQueueSize {
		t.Errorf("Dropped() = %d, want the lines beyond the queue", lost)
	}
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	o.Close()
}

// TestLongLinesStayWithinTheQueue checks that a stalled reader of the log makes the daemon hold a bounded number of bytes, however
// long the lines are, and that lines are written again afterwards.
func TestLongLinesStayWithinTheQueue(t *testing.T) {
	reader, writer := io.Pipe()
	o := NewOutput(writer)
	line := bytes.Repeat([]byte("x"), 64<<10)
	for range outputQueueSize {
		if _, err := o.Write(line); err != nil {
			t.Fatal(err)
		}
		if held := o.waiting.Load(); held > outputQueueBytes {
			t.Fatalf("%d bytes wait, want at most %d", held, outputQueueBytes)
		}
	}
	if want := int64(outputQueueSize - outputQueueBytes/len(line) - 1); o.Dropped() < want {
		t.Errorf("Dropped() = %d, want at least %d", o.Dropped(), want)
	}
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	o.Close()
	if held := o.waiting.Load(); held != 0 {
		t.Errorf("%d bytes wait after the end, want 0", held)
	}
}

// TestFailuresAreAlwaysLogged checks that only the lines about successful requests are limited.
func TestFailuresAreAlwaysLogged(t *testing.T) {
	var log bytes.Buffer
	board := blackboard.New(blackboard.Identity{Name: "d"}, blackboard.DefaultLimits())
	r := &Recorder{Board: board, Log: slog.New(slog.NewJSONHandler(&log, nil)), Metrics: NewMetrics()}
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for range 10 * maxRoutineLines {
		r.Record(decision.Record{Kind: decision.KindAnswer, Outcome: decision.OutcomeComplete, At: at})
		r.Record(decision.Record{Kind: decision.KindAnswer, Outcome: decision.OutcomeFailed, At: at})
	}
	complete := strings.Count(log.String(), `"outcome":"whole"`)
	failed := strings.Count(log.String(), `"outcome":"failed"`)
	if failed != 10*maxRoutineLines || complete > 2*maxRoutineLines || complete < maxRoutineLines {
		t.Errorf("logged %d failures and %d complete answers, want all failures and a bounded number of answers", failed, complete)
	}
}

// TestWriteAfterCloseDropsTheLine guards against a panic of handlers that still log while the process ends.
func TestWriteAfterCloseDropsTheLine(t *testing.T) {
	var text bytes.Buffer
	o := NewOutput(&text)
	var writers sync.WaitGroup
	for range 8 {
		writers.Go(func() {
			for range 1000 {
				if n, err := o.Write([]byte("x")); n != 1 || err != nil {
					t.Errorf("Write = %d, %v", n, err)
				}
			}
		})
	}
	o.Close()
	writers.Wait()
	if written := int64(text.Len()) + o.Dropped(); written != 8000 {
		t.Errorf("%d lines written or counted as dropped, want 8000", written)
	}
}
