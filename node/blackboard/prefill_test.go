package blackboard

import (
	"testing"
	"time"

	"doorstack.dev/core/engine"
	"doorstack.dev/core/routing"
)

// TestDisturbedCallsLeaveDecodeGroups checks that calls that miss their gap goal because of one
// part of a prompt do not count when the next part is placed, while calls that begin later do.
func TestDisturbedCallsLeaveDecodeGroups(t *testing.T) {
	now := time.Now()
	s := &targetState{pool: &targetPool{}, calls: map[string]*activeCall{}}
	begin := func(id string, gap float64) *activeCall {
		c := &activeCall{id: id, state: s, gapGoal: gap, load: routing.Load{MemoryTokens: 7_000}}
		s.calls[id] = c
		return c
	}
	begin("chat", 0.25)
	begin("long", 1.0)
	added := begin("added", 0.5)
	var view routing.Target
	s.refreshPrefill(&view, now)
	if view.GapSensitive != 1 || view.GapGoal != 0.25 || len(view.DecodeGroups) != 3 {
		t.Fatalf("before the part: GapSensitive %d, GapGoal %v, DecodeGroups %v; want 1, 0.25 and 3 groups", view.GapSensitive, view.GapGoal, view.DecodeGroups)
	}
	s.prefill.add(added, 0.6, now)
	s.markDisturbed(added, now)
	begin("new chat", 0.25)
	s.refreshPrefill(&view, now)
	if view.GapSensitive != 1 || len(view.DecodeGroups) != 3 || view.DecodeGroups[0].Tokens != 7_000 {
		t.Errorf("after the part: GapSensitive %d, DecodeGroups %v; want 1 and the groups of the new chat, the added call and the long one", view.GapSensitive, view.DecodeGroups)
	}
	if !s.calls["chat"].disturbed || s.calls["long"].disturbed || added.disturbed {
		t.Errorf("disturbed: chat %v, long %v, added %v; want the chat alone", s.calls["chat"].disturbed, s.calls["long"].disturbed, added.disturbed)
	}
}

// TestPrefillSlackOfPendingPrompts checks that the slack is the shortest of all pending
// prompts, and that a prompt that misses its goal anyway still has slack, since its caller
// waits for longer than the goal.
func TestPrefillSlackOfPendingPrompts(t *testing.T) {
	now := time.Now()
	s := &targetState{pool: &targetPool{}, calls: map[string]*activeCall{}}
	add := func(id string, tokens int64, goal, waited, seconds float64) {
		c := &activeCall{id: id, state: s, promptTokens: tokens}
		c.setFirstEventGoal(goal, waited, now)
		s.prefill.add(c, seconds, now)
	}
	var view routing.Target
	s.refreshPrefill(&view, now)
	if view.PendingPromptTokens != 0 || view.PrefillSlack != 0 {
		t.Fatalf("no prompt is pending: %+v, want no pending tokens and no slack", view)
	}
	slackIs := func(want float64) bool { return view.PrefillSlack > want-0.001 && view.PrefillSlack < want+0.001 }
	add("long", 150_000, 3, 0.5, 0.09)
	s.refreshPrefill(&view, now)
	if view.PendingPromptTokens != 150_000 || !slackIs(2.5-view.PendingPrefill-secondsToFirstEvent) {
		t.Errorf("one pending prompt: %+v, want 150,000 tokens and the slack of that prompt", view)
	}
	add("chat", 5_000, 0.5, 0, 0.027)
	s.refreshPrefill(&view, now)
	if view.PendingPromptTokens != 155_000 || !slackIs(0.5-view.PendingPrefill-secondsToFirstEvent) {
		t.Errorf("two pending prompts: %+v, want 155,000 tokens and the slack of the chat", view)
	}
	s.prefill.remove("chat", now)
	s.prefill.remove("long", now)
	add("late", 1_000, 1, 2, 0.09)
	s.refreshPrefill(&view, now)
	if !slackIs(extraGoalsWhenLate - 1 - view.PendingPrefill - secondsToFirstEvent) {
		t.Errorf("a late prompt: %+v, want the slack that extraGoalsWhenLate leaves", view)
	}
	add("no goal", 1_000, 0, 0, 0.09)
	before := view.PendingPromptTokens
	s.refreshPrefill(&view, now)
	if view.PendingPromptTokens != before {
		t.Errorf("a prompt without a goal is counted: %+v, want %d pending tokens", view, before)
	}
}

// TestCallStateCarriesFirstEventGoal checks that a daemon that adopts a call knows when its
// first event is due.
func TestCallStateCarriesFirstEventGoal(t *testing.T) {
	now := time.Now()
	c := &activeCall{id: "c", state: &targetState{id: "t"}, promptTokens: 7}
	c.setFirstEventGoal(3, 1, now)
	state := c.callState(now.Add(time.Second))
	if state.Goal != 3 || state.PromptTokens != 7 || state.Waited < 1.999 || state.Waited > 2.001 {
		t.Errorf("callState 1 s after setFirstEventGoal(3, 1) = %+v, want Goal 3, Waited 2 and PromptTokens 7", state)
	}
}

// TestRecentPrefillCoversOnePass checks RecentPrefill. A decoding engine prefills new prompts in its
// next pass, all of them together. Two prompts that arrive 30 ms apart thus cause one gap as long as
// both prefills, although an engine that only prefills would have finished the first in these 30 ms.
func TestRecentPrefillCoversOnePass(t *testing.T) {
	timing := engine.Timing{Step: 1e-3, StepsPerPass: 50}
	now := time.Now()
	s := &targetState{pool: &targetPool{timing: &timing}, calls: map[string]*activeCall{}}
	add := func(id string, at time.Time) {
		c := &activeCall{id: id, state: s, gapGoal: 0.25, load: routing.Load{MemoryTokens: 5_000}}
		s.calls[id] = c
		s.prefill.add(c, 0.025, at)
	}
	add("first", now)
	add("second", now.Add(30*time.Millisecond))
	var view routing.Target
	s.refreshPrefill(&view, now.Add(31*time.Millisecond))
	if view.RecentPrefill < 0.0499 || view.PendingPrefill > 0.03 {
		t.Errorf("RecentPrefill %.3f s, PendingPrefill %.3f s; want 0.05 s and at most 0.03 s", view.RecentPrefill, view.PendingPrefill)
	}
	s.refreshPrefill(&view, now.Add(120*time.Millisecond))
	if view.RecentPrefill != 0 {
		t.Errorf("RecentPrefill %.3f s two passes later, want 0", view.RecentPrefill)
	}
}
