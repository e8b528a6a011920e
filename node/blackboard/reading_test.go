package blackboard

import (
	"testing"
	"time"

	"doorstack.dev/core/engine"
	"doorstack.dev/core/routing"
)

// TestDisturbedCallsLeaveDecodeGroups: writers whose pause is missed by a part do not
// speak against the next one, while those that come later do.
func TestDisturbedCallsLeaveDecodeGroups(t *testing.T) {
	now := time.Now()
	s := &targetState{pool: &targetPool{}, calls: map[string]*activeCall{}}
	write := func(id string, gap float64) *activeCall {
		c := &activeCall{id: id, state: s, gapGoal: gap, load: routing.Load{MemoryTokens: 7_000}}
		s.calls[id] = c
		return c
	}
	write("chat", 0.25)
	write("long", 1.0)
	reader := write("reader", 0.5)
	var view routing.Target
	s.refreshPrefill(&view, now)
	if view.GapSensitive != 1 || view.GapGoal != 0.25 || len(view.DecodeGroups) != 3 {
		t.Fatalf("before: %d close writers, least goal %v, %v", view.GapSensitive, view.GapGoal, view.DecodeGroups)
	}
	s.prefill.add(reader, 0.6, now)
	s.markDisturbed(reader, now)
	write("new chat", 0.25)
	s.refreshPrefill(&view, now)
	if view.GapSensitive != 1 || len(view.DecodeGroups) != 3 || view.DecodeGroups[0].Tokens != 7_000 {
		t.Errorf("after: %d close writers, %v; want the new chat, the reader and the long one", view.GapSensitive, view.DecodeGroups)
	}
	if !s.calls["chat"].disturbed || s.calls["long"].disturbed || reader.disturbed {
		t.Error("the wrong calls count as disturbed")
	}
}

// TestPrefillSlackOfPendingPrompts: the shortest time of all counts; a prompt that
// misses its goal anyway is still answered before its caller leaves.
func TestPrefillSlackOfPendingPrompts(t *testing.T) {
	now := time.Now()
	s := &targetState{pool: &targetPool{}, calls: map[string]*activeCall{}}
	give := func(id string, tokens int64, goal, waited, work float64) {
		c := &activeCall{id: id, state: s, promptTokens: tokens}
		c.setFirstEventGoal(goal, waited, now)
		s.prefill.add(c, work, now)
	}
	var view routing.Target
	s.refreshPrefill(&view, now)
	if view.PendingPromptTokens != 0 || view.PrefillSlack != 0 {
		t.Fatalf("nothing is unread: %+v", view)
	}
	near := func(want float64) bool { return view.PrefillSlack > want-0.001 && view.PrefillSlack < want+0.001 }
	give("long", 150_000, 3, 0.5, 0.09)
	s.refreshPrefill(&view, now)
	if view.PendingPromptTokens != 150_000 || !near(2.5-view.PendingPrefill-secondsToFirstEvent) {
		t.Errorf("one prompt: %+v", view)
	}
	give("chat", 5_000, 0.5, 0, 0.027)
	s.refreshPrefill(&view, now)
	if view.PendingPromptTokens != 155_000 || !near(0.5-view.PendingPrefill-secondsToFirstEvent) {
		t.Errorf("two prompts: %+v", view)
	}
	s.prefill.remove("chat", now)
	s.prefill.remove("long", now)
	give("late", 1_000, 1, 2, 0.09)
	s.refreshPrefill(&view, now)
	if !near(extraGoalsWhenLate - 1 - view.PendingPrefill - secondsToFirstEvent) {
		t.Errorf("a late one: %+v", view)
	}
	give("no goal", 1_000, 0, 0, 0.09)
	before := view.PendingPromptTokens
	s.refreshPrefill(&view, now)
	if view.PendingPromptTokens != before {
		t.Errorf("without a goal there is nothing to miss: %+v", view)
	}
}

// TestCallStateCarriesFirstEventGoal: another daemon that takes a call over knows when its answer
// is due.
func TestCallStateCarriesFirstEventGoal(t *testing.T) {
	now := time.Now()
	c := &activeCall{id: "c", state: &targetState{id: "t"}, promptTokens: 7}
	c.setFirstEventGoal(3, 1, now)
	told := c.callState(now.Add(time.Second))
	if told.Goal != 3 || told.PromptTokens != 7 || told.Waited < 1.999 || told.Waited > 2.001 {
		t.Errorf("%+v", told)
	}
}

// TestRecentPrefillCoversOnePass: an engine that writes begins what it is given with its next
// pass, and reads it all in that one: two prompts given 30 ms apart make one pause of both, though
// the first would have been read meanwhile by an engine that reads all the time.
func TestRecentPrefillCoversOnePass(t *testing.T) {
	timing := engine.Timing{Step: 1e-3, StepsPerPass: 50}
	now := time.Now()
	s := &targetState{pool: &targetPool{timing: &timing}, calls: map[string]*activeCall{}}
	give := func(id string, at time.Time) {
		c := &activeCall{id: id, state: s, gapGoal: 0.25, load: routing.Load{MemoryTokens: 5_000}}
		s.calls[id] = c
		s.prefill.add(c, 0.025, at)
	}
	give("first", now)
	give("second", now.Add(30*time.Millisecond))
	var view routing.Target
	s.refreshPrefill(&view, now.Add(31*time.Millisecond))
	if view.RecentPrefill < 0.0499 || view.PendingPrefill > 0.03 {
		t.Errorf("%.3f s given within a pass, %.3f s left to read", view.RecentPrefill, view.PendingPrefill)
	}
	s.refreshPrefill(&view, now.Add(120*time.Millisecond))
	if view.RecentPrefill != 0 {
		t.Errorf("%.3f s given within a pass, two passes later", view.RecentPrefill)
	}
}
