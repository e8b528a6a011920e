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

// goalSettings has a route with a short goal and one with a long one, both to a pool without targets.
const goalSettings = `
engine_kinds: {k: {protocol: engine, memory_tokens: 1000, prefill_tokens_per_second: 10}}
pools: {llm: {kind: k, model: m}}
paths:
  chat: {host: calls.example, prefix: /chat/, pools: {llm: 1}, kind: streaming, timeout: 200ms, goal: 300ms, max_attempts: 2, open: true}
  audit: {host: calls.example, prefix: /audit/, pools: {llm: 1}, kind: streaming, timeout: 200ms, goal: 4s, max_attempts: 2, open: true}
tree: {}
`

// TestLaggingDaemonRefusesCallsThatCannotMeetGoal: at once, with the word that nothing ran and when to
// come back, and only what cannot be in time; a call with a longer goal is taken.
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
		wait := func(d time.Duration) {
			board.Lag.Begin(time.Now())
			<-time.After(d)
			board.Lag.End(time.Now())
		}
		wait(150 * time.Millisecond)
		wait(150 * time.Millisecond)
		got, took := ask("/chat/x")
		if got.Code != http.StatusServiceUnavailable || took != 0 || got.Header().Get("Retry-After") == "" || !strings.Contains(got.Body.String(), "overloaded") {
			t.Errorf("a chat got %d %q after %v, back after %q", got.Code, got.Body, took, got.Header().Get("Retry-After"))
		}
		if got, _ := ask("/audit/x"); strings.Contains(got.Body.String(), "overloaded") {
			t.Errorf("an audit that has 4s got %d %q", got.Code, got.Body)
		}
		wait(time.Millisecond)
		if got, _ := ask("/chat/x"); strings.Contains(got.Body.String(), "overloaded") {
			t.Errorf("a chat after the queue has gone got %d %q", got.Code, got.Body)
		}
		if board.InFlight() != 0 {
			t.Errorf("%d calls count as in flight", board.InFlight())
		}
	})
}
