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

// newStartingServer returns a path server whose daemon has no settings yet.
func newStartingServer() (*blackboard.Blackboard, http.Handler) {
	board := blackboard.New(blackboard.Identity{Name: "d1"}, blackboard.DefaultLimits())
	metrics := telemetry.NewMetrics()
	director := &requestcontrol.Director{Board: board, Recorder: &telemetry.Recorder{Board: board, Log: slog.New(slog.DiscardHandler), Metrics: metrics}}
	return board, NewServer(board, director, metrics, DefaultLimits()).PathHandler(platform.Headers{})
}

// adoptEmptySettings adopts settings without routes and starts to serve.
func adoptEmptySettings(board *blackboard.Blackboard) {
	board.Settings.Adopt(&blackboard.SettingsView{Tree: &settings.Tree{}, Revision: 1})
	board.Serve()
}

// serveCall serves a call with a deadline of 10 s and returns the answer and how long it took.
func serveCall(h http.Handler) (*httptest.ResponseRecorder, time.Duration) {
	began := time.Now()
	r := httptest.NewRequest(http.MethodGet, "http://calls.example/a/", nil)
	r.Header.Set("X-Deadline-Ms", "10000")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w, time.Since(began)
}

// TestCallWaitsForDaemonStart checks that a call that arrives 0.1 s after the start of a daemon is
// served when the daemon becomes ready 0.3 s later. If such calls were refused, a power loss of
// all hosts would fail them for good.
func TestCallWaitsForDaemonStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		board, handler := newStartingServer()
		time.AfterFunc(400*time.Millisecond, func() { adoptEmptySettings(board) })
		<-time.After(100 * time.Millisecond)
		got, took := serveCall(handler)
		if got.Code != http.StatusNotFound || took != 300*time.Millisecond {
			t.Errorf("answer = %d after %v, want 404 after 300ms, when the daemon serves", got.Code, took)
		}
		if board.InFlight() != 0 {
			t.Errorf("InFlight() = %d after the call, want 0", board.InFlight())
		}
	})
}

// TestCallWaitIsBoundedWithoutSettings checks that a daemon that has just started refuses a call
// before callers drop the connection, and that a daemon that has had no settings for 1.5 s refuses
// a call at once. Each call is sent when the previous one has been refused.
func TestCallWaitIsBoundedWithoutSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, handler := newStartingServer()
		for _, wait := range []time.Duration{800 * time.Millisecond, 700 * time.Millisecond, 0} {
			got, took := serveCall(handler)
			if got.Code != http.StatusServiceUnavailable || got.Header().Get("Retry-After") == "" {
				t.Errorf("answer = %d with Retry-After %q, want 503 with Retry-After", got.Code, got.Header().Get("Retry-After"))
			}
			if took != wait {
				t.Errorf("call refused after %v, want %v", took, wait)
			}
		}
	})
}

// TestDrainingDaemonRefusesWaitingCall checks that a call that waits for a starting daemon is
// refused as soon as the daemon drains.
func TestDrainingDaemonRefusesWaitingCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		board, handler := newStartingServer()
		time.AfterFunc(100*time.Millisecond, board.Drain)
		got, took := serveCall(handler)
		if got.Code != http.StatusServiceUnavailable || took != 100*time.Millisecond {
			t.Errorf("answer = %d after %v, want 503 after 100ms", got.Code, took)
		}
	})
}
