package api

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"doorstack.dev/core/settings"
	"doorstack.dev/node/blackboard"
)

// goalSettings has a path with a short goal and one with a long goal, both to a pool without
// targets.
const goalSettings = `
engine_kinds: {k: {protocol: engine, memory_tokens: 1000, prefill_tokens_per_second: 10}}
pools: {llm: {kind: k, model: m}}
paths:
  chat: {host: calls.example, prefix: /chat/, pools: {llm: 1}, kind: streaming, timeout: 200ms, goal: 300ms, max_attempts: 2, open: true}
  audit: {host: calls.example, prefix: /audit/, pools: {llm: 1}, kind: streaming, timeout: 200ms, goal: 4s, max_attempts: 2, open: true}
tree: {}
`

// TestLaggingDaemonRefusesCallsThatCannotMeetGoal checks that a daemon that lags in processing its
// events refuses a call with a short goal at once and with Retry-After, does not refuse one with a
// long goal, and no longer refuses calls with a short goal once the lag is over.
func TestLaggingDaemonRefusesCallsThatCannotMeetGoal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tree, err := settings.Parse([]byte(goalSettings))
		if err != nil {
			t.Fatal(err)
		}
		board, handler := newStartingServer()
		board.Settings.Adopt(&blackboard.SettingsView{Tree: tree, Revision: 1})
		board.Serve()
		ask := func(path string) (*httptest.ResponseRecorder, time.Duration) {
			began := time.Now()
			r := httptest.NewRequest(http.MethodPost, "http://calls.example"+path, strings.NewReader("x"))
			r.Header.Set("X-Deadline-Ms", "10000")
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, r)
			return w, time.Since(began)
		}
		addLagSample := func(d time.Duration) {
			board.Lag.Begin(time.Now())
			<-time.After(d)
			board.Lag.End(time.Now())
		}
		addLagSample(150 * time.Millisecond)
		addLagSample(150 * time.Millisecond) // A single long sample does not count as lag.
		got, took := ask("/chat/x")
		if got.Code != http.StatusServiceUnavailable || took != 0 || got.Header().Get("Retry-After") == "" || !strings.Contains(got.Body.String(), "overloaded") {
			t.Errorf("call with a short goal: got %d %q after %v with Retry-After %q, want 503 overloaded at once with Retry-After", got.Code, got.Body, took, got.Header().Get("Retry-After"))
		}
		if got, _ := ask("/audit/x"); strings.Contains(got.Body.String(), "overloaded") {
			t.Errorf("call with a goal of 4s: got %d %q, want it not refused as overloaded", got.Code, got.Body)
		}
		addLagSample(time.Millisecond)
		if got, _ := ask("/chat/x"); strings.Contains(got.Body.String(), "overloaded") {
			t.Errorf("call with a short goal after the lag: got %d %q, want it not refused as overloaded", got.Code, got.Body)
		}
		if board.InFlight() != 0 {
			t.Errorf("InFlight() = %d after all calls, want 0", board.InFlight())
		}
	})
}
