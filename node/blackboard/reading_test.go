package blackboard

import (
	"testing"
	"time"

	"doorstack.dev/core/engine"
	"doorstack.dev/core/routing"
)

// TestDisturbedWritersAreNotCountedAgain: writers whose pause is missed by a part do not
// speak against the next one, while those that come later do.
func TestDisturbedWritersAreNotCountedAgain(t *testing.T) {
	now := time.Now()
	s := &targetState{pool: &targetPool{}, calls: map[string]*ownCall{}}
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
	if view.GapSensitive != 1 || view.GapGoal != 0.25 || len(view.DecodeGroups) != 3 {
		t.Fatalf("before: %d close writers, least goal %v, %v", view.GapSensitive, view.GapGoal, view.DecodeGroups)
	}
	s.reading.give(reader, 0.6, now)
	s.markDisturbed(reader, now)
	write("new chat", 0.25)
	s.refreshTimed(&view, now)
	if view.GapSensitive != 1 || len(view.DecodeGroups) != 3 || view.DecodeGroups[0].Tokens != 7_000 {
		t.Errorf("after: %d close writers, %v; want the new chat, the reader and the long one", view.GapSensitive, view.DecodeGroups)
	}
	if !s.calls["chat"].disturbed || s.calls["long"].disturbed || reader.disturbed {
		t.Error("the wrong calls count as disturbed")
	}
}

// TestHowLongUnreadPromptsCanBeHeldUp: the shortest time of all counts; a prompt that
// misses its goal anyway is still answered before its caller leaves.
func TestHowLongUnreadPromptsCanBeHeldUp(t *testing.T) {
	now := time.Now()
	s := &targetState{pool: &targetPool{}, calls: map[string]*ownCall{}}
	give := func(id string, tokens int64, goal, waited, work float64) {
		c := &ownCall{id: id, state: s, prompt: tokens}
		c.setGoal(goal, waited, now)
		s.reading.give(c, work, now)
	}
	var view routing.Target
	s.refreshTimed(&view, now)
	if view.PendingPromptTokens != 0 || view.PrefillSlack != 0 {
		t.Fatalf("nothing is unread: %+v", view)
	}
	near := func(want float64) bool { return view.PrefillSlack > want-0.001 && view.PrefillSlack < want+0.001 }
	give("long", 150_000, 3, 0.5, 0.09)
	s.refreshTimed(&view, now)
	if view.PendingPromptTokens != 150_000 || !near(2.5-view.PendingPrefill-toFirstEvent) {
		t.Errorf("one prompt: %+v", view)
	}
	give("chat", 5_000, 0.5, 0, 0.027)
	s.refreshTimed(&view, now)
	if view.PendingPromptTokens != 155_000 || !near(0.5-view.PendingPrefill-toFirstEvent) {
		t.Errorf("two prompts: %+v", view)
	}
	s.reading.end("chat", now)
	s.reading.end("long", now)
	give("late", 1_000, 1, 2, 0.09)
	s.refreshTimed(&view, now)
	if !near(lateGoals - 1 - view.PendingPrefill - toFirstEvent) {
		t.Errorf("a late one: %+v", view)
	}
	give("no goal", 1_000, 0, 0, 0.09)
	before := view.PendingPromptTokens
	s.refreshTimed(&view, now)
	if view.PendingPromptTokens != before {
		t.Errorf("without a goal there is nothing to miss: %+v", view)
	}
}

// TestACallIsToldWithItsGoal: another daemon that takes a call over knows when its answer
// is due.
func TestACallIsToldWithItsGoal(t *testing.T) {
	now := time.Now()
	c := &ownCall{id: "c", state: &targetState{id: "t"}, prompt: 7}
	c.setGoal(3, 1, now)
	told := c.describe(now.Add(time.Second))
	if told.Goal != 3 || told.PromptTokens != 7 || told.Waited < 1.999 || told.Waited > 2.001 {
		t.Errorf("%+v", told)
	}
}

// TestWhatIsGivenWithinAPassIsReadTogether: an engine that writes begins what it is given with its next
// pass, and reads it all in that one: two prompts given 30 ms apart make one pause of both, though
// the first would have been read meanwhile by an engine that reads all the time.
func TestWhatIsGivenWithinAPassIsReadTogether(t *testing.T) {
	timing := engine.Timing{Step: 1e-3, StepsPerPass: 50}
	now := time.Now()
	s := &targetState{pool: &targetPool{timing: &timing}, calls: map[string]*ownCall{}}
	give := func(id string, at time.Time) {
		c := &ownCall{id: id, state: s, gap: 0.25, load: routing.Load{MemoryTokens: 5_000}}
		s.calls[id] = c
		s.reading.give(c, 0.025, at)
	}
	give("first", now)
	give("second", now.Add(30*time.Millisecond))
	var view routing.Target
	s.refreshTimed(&view, now.Add(31*time.Millisecond))
	if view.RecentPrefill < 0.0499 || view.PendingPrefill > 0.03 {
		t.Errorf("%.3f s given within a pass, %.3f s left to read", view.RecentPrefill, view.PendingPrefill)
	}
	s.refreshTimed(&view, now.Add(120*time.Millisecond))
	if view.RecentPrefill != 0 {
		t.Errorf("%.3f s given within a pass, two passes later", view.RecentPrefill)
	}
}
