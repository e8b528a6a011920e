package routing

import "testing"

// enginesWithoutPrefillBudget have writers whose callers bear no part, so that nothing can be read.
func enginesWithoutPrefillBudget(n int) []Target {
	list := engines(n)
	for i := range list {
		list[i].addChats(12, 150_000)
		list[i].PendingPrefill = 0.2
	}
	return list
}

// TestLatePromptIsRefusedWhileOthersWait: a prompt that cannot be in time any more is placed where
// nobody else waits for the engines, and its caller is told to come back at once where somebody does.
func TestLatePromptIsRefusedWhileOthersWait(t *testing.T) {
	free := engines(18)
	late := longRequest(154_000, 2.9)
	if d := decide(late, free); d.Verdict != Place || len(d.Helpers) == 0 {
		t.Errorf("alone before free engines: %s with %d helpers", d.Verdict, len(d.Helpers))
	}
	late.PrefillAhead = 3
	if d := decide(late, free); d.Verdict != Refuse {
		t.Errorf("with others that wait: %s, want it refused", d.Verdict)
	}
	inTime := longRequest(154_000, 1)
	inTime.PrefillAhead = 3
	if d := decide(inTime, free); d.Verdict != Place {
		t.Errorf("in time: %s", d.Verdict)
	}
}

// TestLongPromptIsNotPlacedWholeBesideDecoding: a prompt that waited for most of its goal beside writers that do
// not bear it is not put on one engine whole, where it would take longer than its goal and hold up all
// who write there: it waits as long as it can be in time, and is refused then.
func TestLongPromptIsNotPlacedWholeBesideDecoding(t *testing.T) {
	list := enginesWithoutPrefillBudget(18)
	for _, waited := range []float64{0.5, 2.4, 2.6} {
		if d := decide(longRequest(100_000, waited), list); d.Verdict == Place && len(d.Helpers) == 0 {
			t.Errorf("after %.1f s one engine reads %.1f s of it", waited, d.PrefillTime)
		}
	}
	if d := decide(longRequest(100_000, 2.9), list); d.Verdict != Refuse {
		t.Errorf("too late: %s", d.Verdict)
	}
}

// TestPredictedLatePromptIsRefused: whatever part of its goal a prompt has waited, its caller is told
// to come back once the reading before it does not fit into what is left.
func TestPredictedLatePromptIsRefused(t *testing.T) {
	list := engines(18)
	for i := range list {
		list[i].PendingPrefill = 1
	}
	for _, waited := range []float64{0.7, 1.5, 2} {
		r := longRequest(154_000, waited)
		r.PrefillAhead = 40
		if d := decide(r, list); d.Verdict != Refuse {
			t.Errorf("after %.1f s, %.1f s foreseen: %s", waited, d.PredictedFirstEvent, d.Verdict)
		}
	}
}

// TestPromptWithUnreachableGoalIsNotStarved: a prompt that no engine could answer within its goal has its turn
// among those that wait, for two fifths of the goal.
func TestPromptWithUnreachableGoalIsNotStarved(t *testing.T) {
	r := longRequest(300_000, 0.1)
	r.Goal, r.PrefillAhead = 0.5, 3
	if d := decide(r, engines(18)); d.Verdict != Place {
		t.Errorf("before free engines, with others that wait: %s", d.Verdict)
	}
	r.Waited = 0.3
	if d := decide(r, engines(18)); d.Verdict != Refuse {
		t.Errorf("after more than its turn: %s", d.Verdict)
	}
}

// TestStartedAnswerIsNotRefused: a stream whose target fell silent goes on at another one, however long
// ago its caller came: beside writers that do not bear its reading, and after a wait where all slots
// are taken. Refused as too late it was cut in the middle, though targets could have gone on with it.
func TestStartedAnswerIsNotRefused(t *testing.T) {
	for _, tokens := range []int64{5_000, 15_000, 60_000} {
		again := chatRequest()
		again.PromptTokens, again.Waited, again.PrefillAhead = tokens, 2.8, 3
		again.Retry, again.AnswerStarted = true, true
		if d := decide(again, enginesWithoutPrefillBudget(18)); d.Verdict != Place {
			t.Errorf("%d tokens, writers everywhere: %s", tokens, d.Verdict)
		}
		full := engines(18)
		for i := range full {
			full[i].addChats(16, 100_000)
		}
		if d := decide(again, full); d.Verdict != Wait {
			t.Errorf("%d tokens, no slot: %s", tokens, d.Verdict)
		}
	}
}
