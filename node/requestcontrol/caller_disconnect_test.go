package requestcontrol

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"doorstack.dev/core/fault"
	"doorstack.dev/core/forward"
	"doorstack.dev/core/once"
	"doorstack.dev/core/routing"
	"doorstack.dev/core/settings"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/sock"
	"doorstack.dev/node/target"
	"doorstack.dev/node/telemetry"
	"doorstack.dev/platform"
)

// singleTargetPlacer places every call at one address and records how calls ended.
type singleTargetPlacer struct {
	address    string
	placements int
	results    []blackboard.CallResult
}

func (p *singleTargetPlacer) Place(_ context.Context, t *blackboard.Ticket) (blackboard.Placement, bool) {
	p.placements++
	return blackboard.Placement{Attempt: t.Attempt, Address: p.address, Decision: routing.Decision{Verdict: routing.Place, Chosen: "t"}}, true
}

func (p *singleTargetPlacer) ClaimSend(context.Context, once.Claim) (SendClaim, once.Verdict) {
	return SendClaim{}, once.Send
}
func (p *singleTargetPlacer) WithdrawSend(SendClaim) {}

func (p *singleTargetPlacer) ReportPrefillDone(string) {}

func (p *singleTargetPlacer) ReportLimit(string, string, forward.Notice, time.Time) {}

func (p *singleTargetPlacer) ReportFinished(end CallEnd) {
	p.results = append(p.results, end.Result)
}

func (p *singleTargetPlacer) Coordinates(string) bool { return true }

// rejectingAnswerWriter fails the test if an answer is written.
type rejectingAnswerWriter struct{ t *testing.T }

func (a rejectingAnswerWriter) WriteHead(int, http.Header, int64) error {
	a.t.Error("WriteHead was called")
	return nil
}

func (a rejectingAnswerWriter) Flush(context.Context) error { return nil }

func (a rejectingAnswerWriter) Write([]byte) error {
	a.t.Error("Write was called")
	return nil
}

// TestForwardSendsNothingAfterCallerDisconnects covers a caller whose connection has closed before
// the call's context ends. Nothing may be sent, no other target tried and no failure held against
// the target.
func TestForwardSendsNothingAfterCallerDisconnects(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	board := blackboard.New(blackboard.Identity{Name: "d1"}, blackboard.DefaultLimits())
	placer := &singleTargetPlacer{address: listener.Addr().String()}
	d := &Director{
		Board: board, Placer: placer, Exchanger: target.NewExchanger(platform.Headers{}, target.NewConnector()),
		Recorder: &telemetry.Recorder{Board: board, Log: slog.New(slog.DiscardHandler), Metrics: telemetry.NewMetrics()},
	}
	r := &Request{
		ID: "r", Account: &settings.ClientAccount{Path: "/a"}, Arrived: time.Now(), Deadline: time.Now().Add(5 * time.Second),
		Route: &settings.ResolvedRoute{Pool: &settings.ResolvedPool{Name: "svc"}, Repeatable: true},
		Path:  &settings.ResolvedPath{Kind: settings.CallSafe, Goal: time.Second, MaxAttempts: 3},
		Forward: &forward.Message{
			ID: "r", Method: "GET", URI: "/a/", Host: "h.example", Header: map[string][]string{}, CallerDisconnected: func() bool { return true },
		},
	}
	failure := fault.From(d.Forward(context.Background(), r, rejectingAnswerWriter{t}))
	if failure.Kind != fault.Abandoned || failure.Execution != fault.NotRun {
		t.Errorf("Forward() = %+v, want kind %v with execution %v", failure, fault.Abandoned, fault.NotRun)
	}
	if placer.placements != 1 || len(placer.results) != 1 || placer.results[0] != blackboard.CallCancelled {
		t.Errorf("%d placements with results %v, want 1 with result %v", placer.placements, placer.results, blackboard.CallCancelled)
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if got := sock.Peek(conn); got != sock.Idle {
		t.Errorf("Peek() of the target's connection = %d, want %d: open, with nothing received", got, sock.Idle)
	}
}
