package blackboard

import (
	"testing"
	"time"

	"doorstack.dev/core/routing"
)

// TestDisturbedWritersAreNotCountedAgain: writers whose pause is missed by a part do not
// speak against the next one, while those that come later do.
func TestDisturbedWritersAreNotCountedAgain(t *testing.T) {
	now := time.Now()
	s := &targetState{calls: map[string]*ownCall{}}
	write := func(id string, gap float64) *ownCall {
		c := &ownCall{id: id, state: s, gap: gap, load: routing.Load{MemoryTokens: 7_000}}
		s.calls[id] = c
		return c
	}
	write("chat", 0.25)
	write("long", 1.0)
	reader := write("reader", 0.5)
	var view routing.Target
	s.refreshTimed(&view, now)
	if view.Tight != 1 || view.GapGoal != 0.25 || len(view.Writers) != 3 {
		t.Fatalf("before: %d close writers, least goal %v, %v", view.Tight, view.GapGoal, view.Writers)
	}
	s.reading.give("reader", 0.6, now)
	s.markDisturbed(reader, now)
	write("new chat", 0.25)
	s.refreshTimed(&view, now)
	if view.Tight != 1 || len(view.Writers) != 3 || view.Writers[0].Tokens != 7_000 {
		t.Errorf("after: %d close writers, %v; want the new chat, the reader and the long one", view.Tight, view.Writers)
	}
	if !s.calls["chat"].disturbed || s.calls["long"].disturbed || reader.disturbed {
		t.Error("the wrong calls count as disturbed")
	}
}
