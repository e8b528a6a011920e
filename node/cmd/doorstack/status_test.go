package main

import (
	"strings"
	"testing"
	"time"

	"doorstack.dev/core/reach"
	"doorstack.dev/node/admin"
	"doorstack.dev/node/relay"
	"doorstack.dev/node/telemetry"
)

// TestPrintTrafficShowsRatesPerSecond checks that counters are divided by the time since the start.
func TestPrintTrafficShowsRatesPerSecond(t *testing.T) {
	started := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	s := &admin.Status{Started: started, Traffic: []telemetry.Traffic{{Kind: "heartbeat", FramesIn: 20, BytesIn: 4000, FramesOut: 10, BytesOut: 2500}}}
	var out strings.Builder
	printTraffic(&out, s, started.Add(10*time.Second))
	fields := strings.Fields(strings.Split(strings.TrimSpace(out.String()), "\n")[1])
	if got := strings.Join(fields, " "); got != "heartbeat 2.0 400.0 1.0 250.0" {
		t.Errorf("printTraffic: first row = %q, want %q; output:\n%s", got, "heartbeat 2.0 400.0 1.0 250.0", out.String())
	}
}

// TestPrintStatusShowsStoreQuarantineAndBackoff checks that the status has the store's position, the
// number of quarantined calls, and a target's backoff and rate limit.
func TestPrintStatusShowsStoreQuarantineAndBackoff(t *testing.T) {
	s := &admin.Status{StorePosition: "2.17", Quarantined: 3, Targets: []admin.TargetStatus{{Pool: "llm", Backoff: 1200 * time.Millisecond, Limit: "1.4/s"}}}
	var out strings.Builder
	printStatus(&out, s)
	for _, want := range []string{"store known to 2.17, calls quarantined 3", "live, rests 1.2s, limit 1.4/s"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("printStatus: output lacks %q:\n%s", want, out.String())
		}
	}
}

// TestPrintStatusShowsCoordinators checks that an operator sees when a daemon asks another coordinator than the first of
// the ranking, and why.
func TestPrintStatusShowsCoordinators(t *testing.T) {
	s := &admin.Status{Fleet: admin.FleetStatus{Coordinators: []admin.CoordinatorStatus{
		{Pool: "llm", Coordinator: "edge-2", First: "edge-1", State: "late", RoundTrip: 9120 * time.Microsecond},
		{Pool: "svc", Coordinator: "edge-3", First: "edge-3", State: "linking"},
	}}}
	var out strings.Builder
	printStatus(&out, s)
	text := strings.Join(strings.Fields(out.String()), " ")
	for _, want := range []string{"llm edge-2 edge-1 late 9.1ms", "svc edge-3 edge-3 linking -"} {
		if !strings.Contains(text, want) {
			t.Errorf("printStatus: output lacks %q:\n%s", want, out.String())
		}
	}
}

func TestPrintStatusShowsLostPaths(t *testing.T) {
	var out strings.Builder
	printStatus(&out, &admin.Status{Paths: relay.Status{Summary: reach.Summary{Known: 21, Lost: 18, AllLost: true}, Relaying: 3}})
	for _, want := range []string{"paths lost to 18 of 21 targets", "cut off from all targets", "relayed for other daemons 3"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("status lacks %q:\n%s", want, out.String())
		}
	}
}
