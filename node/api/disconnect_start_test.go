package api

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"doorstack.dev/core/forward"
	"doorstack.dev/core/once"
	"doorstack.dev/core/settings"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/requestcontrol"
	"doorstack.dev/node/telemetry"
	"doorstack.dev/platform"
)

// countingPlacer counts the calls that are to be placed, and has no target for them.
type countingPlacer struct{ calls int }

func (p *countingPlacer) Place(context.Context, *blackboard.Ticket) (blackboard.Placement, bool) {
	p.calls++
	return blackboard.Placement{}, true
}

func (p *countingPlacer) Coordinates(string) bool { return true }
func (p *countingPlacer) ClaimSend(context.Context, once.Claim) (requestcontrol.SendClaim, once.Verdict) {
	return requestcontrol.SendClaim{}, once.Send
}
func (p *countingPlacer) WithdrawSend(requestcontrol.SendClaim) {}

func (p *countingPlacer) ReportPrefillDone(string)                              {}
func (p *countingPlacer) ReportFinished(requestcontrol.CallEnd)                 {}
func (p *countingPlacer) ReportLimit(string, string, forward.Notice, time.Time) {}

// TestHeldCallOfDisconnectedCallerIsNotPlaced covers a call with a body that is held at a starting
// daemon and whose caller disconnects before the daemon serves. net/http does not notice that
// before the body is read, so the call was placed and its slot was kept until the daemon tried to
// send it.
func TestHeldCallOfDisconnectedCallerIsNotPlaced(t *testing.T) {
	tree, err := settings.Parse([]byte(goalSettings))
	if err != nil {
		t.Fatal(err)
	}
	board := blackboard.New(blackboard.Identity{Name: "d1"}, blackboard.DefaultLimits())
	metrics, placer := telemetry.NewMetrics(), &countingPlacer{}
	director := &requestcontrol.Director{
		Board: board, Placer: placer, Recorder: &telemetry.Recorder{Board: board, Log: slog.New(slog.DiscardHandler), Metrics: metrics},
	}
	handler := NewServer(board, director, metrics, DefaultLimits()).PathHandler(platform.Headers{})
	arrived, served := make(chan struct{}), make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		defer close(served)
		handler.ServeHTTP(w, r)
	}))
	server.Config.ConnContext = WithCallerConn
	server.Start()
	defer server.Close()
	conn, err := net.Dial("tcp4", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, "POST /audit/ HTTP/1.1\r\nHost: calls.example\r\nX-Deadline-Ms: 10000\r\nContent-Length: 2\r\n\r\nab"); err != nil {
		t.Fatal(err)
	}
	<-arrived
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	board.Settings.Adopt(&blackboard.SettingsView{Tree: tree, Revision: 1})
	board.Serve()
	<-served
	if placer.calls != 0 || board.InFlight() != 0 {
		t.Errorf("%d calls were placed and %d are in flight, want none of a disconnected caller", placer.calls, board.InFlight())
	}
}
