package controller

import (
	"io"
	"log/slog"
	"testing"

	"doorstack.dev/core/hostlist"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/telemetry"
)

// TestAChangeIsToldAtOnce: a target that leaves was told to peers with the next
// heartbeat; over the hops of 69 daemons that took 4 s.
func TestAChangeIsToldAtOnce(t *testing.T) {
	board := blackboard.New(blackboard.Identity{Name: "d"}, blackboard.DefaultLimits())
	told := 0
	c := &Directory{
		Board:   board,
		Record:  &telemetry.Recorder{Board: board, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: telemetry.NewMetrics()},
		Changed: func() { told++ },
	}
	leaving := hostlist.Host{ID: "a", State: hostlist.Leaving, Address: "10.0.0.1:1", Revision: 4}
	news := hostlist.Facts{AsOf: 4, Confirmed: true, Hosts: []hostlist.Host{leaving}}
	c.MergeFrom("peer", news)
	if told != 1 {
		t.Fatalf("told %d times of a change", told)
	}
	c.MergeFrom("another", news)
	if told != 1 {
		t.Fatalf("told %d times though nothing changed", told)
	}
}
