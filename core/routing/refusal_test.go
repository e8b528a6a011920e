package routing

import "testing"

// enginesWithoutPrefillBudget makes engines with chats whose gap goals allow no part, so that no prefill can start.
func enginesWithoutPrefillBudget(n int) []Target {
	list := engines(n)
	for i := range list {
		list[i].addChats(12, 150_000)
		list[i].PendingPrefill = 0.2
	}
	return list
}

// TestLatePromptIsRefusedWhileOthersWait: a prompt that cannot be in time any more is placed if no other
// prompt waits for the engines, and refused at once if one does.
func TestLatePromptIsRefusedWhileOthersWait(t *testing.T) {
	free := engines(18)
	late := longRequest(154_000, 2.9)
	if d := decide(late, free); d.Verdict != Place || len(d.Helpers) == 0 {
		t.Errorf("late, without other prompts waiting: verdict %s with %d helpers, want it placed in parts", d.Verdict, len(d.Helpers))
	}
	late.PrefillAhead = 3
	if d := decide(late, free); d.Verdict != Refuse {
		t.Errorf("late, with other prompts waiting: verdict %s, want refuse", d.Verdict)
	}
	inTime := longRequest(154_000, 1)
	inTime.PrefillAhead = 3
	if d := decide(inTime, free); d.Verdict != Place {
		t.Errorf("in time, with other prompts waiting: verdict %s, want place", d.Verdict)
	}
}

// TestLongPromptIsNotPlacedWholeBesideDecoding: a prompt that has waited for most of its goal, while gap goals
// allow no parts, must not be placed whole on one engine, where its prefill would take longer than its goal
// and delay all requests there. It waits as long as it can be in time, and is refused then.
func TestLongPromptIsNotPlacedWholeBesideDecoding(t *testing.T) {
	list := enginesWithoutPrefillBudget(18)
	for _, waited := range []float64{0.5, 2.4, 2.6} {
		if d := decide(longRequest(100_000, waited), list); d.Verdict == Place && len(d.Helpers) == 0 {
			t.Errorf("after %.1f s: placed whole on one engine, %.1f s of prefill; want parts or no placement", waited, d.PrefillTime)
		}
	}
	if d := decide(longRequest(100_000, 2.9), list); d.Verdict != Refuse {
		t.Errorf("after the latest time to start: verdict %s, want refuse", d.Verdict)
	}
}

// TestPredictedLatePromptIsRefused: whatever share of its goal a prompt has waited, it is refused once
// the prefill queued before it does not fit into the rest.
func TestPredictedLatePromptIsRefused(t *testing.T) {
	list := engines(18)
	for i := range list {
		list[i].PendingPrefill = 1
	}
	for _, waited := range []float64{0.7, 1.5, 2} {
		r := longRequest(154_000, waited)
		r.PrefillAhead = 40
		if d := decide(r, list); d.Verdict != Refuse {
			t.Errorf("after %.1f s, first event predicted after %.1f s: verdict %s, want refuse", waited, d.PredictedFirstEvent, d.Verdict)
		}
	}
}

// TestPromptWithUnreachableGoalIsNotStarved: a prompt that no engine could answer within its goal can still be
// placed while others wait, for two fifths of the goal.
func TestPromptWithUnreachableGoalIsNotStarved(t *testing.T) {
	r := longRequest(300_000, 0.1)
	r.Goal, r.PrefillAhead = 0.5, 3
	if d := decide(r, engines(18)); d.Verdict != Place {
		t.Errorf("within two fifths of the goal, with other prompts waiting: verdict %s, want place", d.Verdict)
	}
	r.Waited = 0.3
	if d := decide(r, engines(18)); d.Verdict != Refuse {
		t.Errorf("after two fifths of the goal: verdict %s, want refuse", d.Verdict)
	}
}

// TestStartedAnswerIsNotRefused: a stream whose target stopped responding continues on another target, however
// long ago the request arrived: beside requests whose gap goals it misses, and after a wait where all slots are
// taken. When it was refused as too late, streams broke off although targets could have continued them.
func TestStartedAnswerIsNotRefused(t *testing.T) {
	for _, tokens := range []int64{5_000, 15_000, 60_000} {
		again := chatRequest()
		again.PromptTokens, again.Waited, again.PrefillAhead = tokens, 2.8, 3
		again.Retry, again.AnswerStarted = true, true
		if d := decide(again, enginesWithoutPrefillBudget(18)); d.Verdict != Place {
			t.Errorf("%d tokens, no engine within its gap goals: verdict %s, want place", tokens, d.Verdict)
		}
		full := engines(18)
		for i := range full {
			full[i].addChats(16, 100_000)
		}
		if d := decide(again, full); d.Verdict != Wait {
			t.Errorf("%d tokens, all slots taken: verdict %s, want wait", tokens, d.Verdict)
		}
	}
}
