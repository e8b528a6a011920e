package api

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"doorstack.dev/core/settings"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/requestcontrol"
	"doorstack.dev/node/telemetry"
	"doorstack.dev/platform"
)

// newStartingServer is a path server whose daemon has no settings yet.
func newStartingServer() (*blackboard.Blackboard, http.Handler) {
	board := blackboard.New(blackboard.Identity{Name: "d1"}, blackboard.DefaultLimits())
	metrics := telemetry.NewMetrics()
	director := &requestcontrol.Director{Board: board, Recorder: &telemetry.Recorder{Board: board, Log: slog.New(slog.DiscardHandler), Metrics: metrics}}
	return board, NewServer(board, director, metrics, DefaultLimits()).PathHandler(platform.Headers{})
}

// adoptEmptySettings puts settings without any route in force.
func adoptEmptySettings(board *blackboard.Blackboard) {
	board.Settings.Adopt(&blackboard.SettingsView{Tree: &settings.Tree{}, Revision: 1})
	board.Serve()
}

// serveCall sends a call that its caller waits 10 s for and returns the answer and how long it took.
func serveCall(h http.Handler) (*httptest.ResponseRecorder, time.Duration) {
	began := time.Now()
	r := httptest.NewRequest(http.MethodGet, "http://calls.example/a/", nil)
	r.Header.Set("X-Deadline-Ms", "10000")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w, time.Since(began)
}

// TestCallWaitsForDaemonStart: a call that comes 0.1 s after the start of a daemon that serves
// 0.3 s later is taken then. It was refused, and after a loss of power of all hosts for good.
func TestCallWaitsForDaemonStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		board, handler := newStartingServer()
		time.AfterFunc(400*time.Millisecond, func() { adoptEmptySettings(board) })
		<-time.After(100 * time.Millisecond)
		got, took := serveCall(handler)
		if got.Code != http.StatusNotFound || took != 300*time.Millisecond {
			t.Errorf("answered %d after %v, want 404 of a daemon that serves after 300ms", got.Code, took)
		}
		if board.InFlight() != 0 {
			t.Errorf("%d calls count as in flight", board.InFlight())
		}
	})
}

// TestCallWaitIsBoundedWithoutSettings: a daemon that has had no settings for long refuses
// at once, and one that has just started before its callers give the connection up.
func TestCallWaitIsBoundedWithoutSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, handler := newStartingServer()
		for _, most := range []time.Duration{800 * time.Millisecond, 700 * time.Millisecond, 0} {
			got, took := serveCall(handler)
			if got.Code != http.StatusServiceUnavailable || got.Header().Get("Retry-After") == "" {
				t.Errorf("answered %d, back after %q", got.Code, got.Header().Get("Retry-After"))
			}
			if took != most {
				t.Errorf("refused after %v, want %v", took, most)
			}
		}
	})
}

// TestDrainingDaemonRefusesWaitingCall: a daemon that is told to leave before it has any
// settings refuses what waits for it.
func TestDrainingDaemonRefusesWaitingCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		board, handler := newStartingServer()
		time.AfterFunc(100*time.Millisecond, board.Drain)
		got, took := serveCall(handler)
		if got.Code != http.StatusServiceUnavailable || took != 100*time.Millisecond {
			t.Errorf("answered %d after %v, want 503 after 100ms", got.Code, took)
		}
	})
}
