package routing

import (
	"encoding/json"
	"fmt"
	"testing"

	"doorstack.dev/core/engine"
)

// productionTiming are the costs of the users' engines.
var productionTiming = engine.Timing{
	Step: 0.85e-3, PerSequence: 0.00425e-3, PerContextToken: 0.00285e-6,
	PerPromptToken: 1 / 177_000.0, PerPair: 0.184e-9, StepsPerPass: 51,
}

func timedParams() *Params {
	return &Params{LongPromptTokens: 32_000, RemotePenalty: 0.002, Timing: &productionTiming}
}

// chatGapGoal and longGapGoal are the users' goals for pauses between two events, in seconds.
const (
	chatGapGoal = 0.25
	longGapGoal = 1.0
)

// engines makes idle engines.
func engines(n int) []Target {
	list := make([]Target, n)
	for i := range list {
		list[i] = Target{ID: fmt.Sprintf("e%02d", i), DataCentre: "a", MemoryTokens: 315_000, MaxConcurrent: 16}
	}
	return list
}

// write puts chats of so many tokens together on an engine.
func (t *Target) addChats(chats int, tokens int64) {
	t.Load.Requests += chats
	t.Load.MemoryTokens += tokens
	t.GapGoal, t.GapSensitive = chatGapGoal, chats
	t.DecodeGroups = []DecodeGroup{{GapGoal: chatGapGoal, Tokens: tokens}}
}

func chatRequest() *Request {
	return &Request{ID: "chat", PromptTokens: 5_000, OutputTokens: 1_700, DataCentre: "a", Goal: 0.3, GapGoal: chatGapGoal}
}

func longRequest(tokens int64, waited float64) *Request {
	return &Request{ID: "referral", PromptTokens: tokens, OutputTokens: 800, DataCentre: "a", Goal: 3, GapGoal: longGapGoal, Waited: waited}
}

func decide(r *Request, targets []Target) Decision {
	var s Scratch
	return s.Decide(r, timedParams(), targets)
}

func TestChatsArePacked(t *testing.T) {
	list := engines(3)
	list[1].addChats(5, 30_000)
	if d := decide(chatRequest(), list); d.Chosen != "e01" {
		t.Errorf("a chat goes to %s, want the engine that has chats already", d.Chosen)
	}
	list[1].PendingPrefill = 0.5
	if d := decide(chatRequest(), list); d.Chosen == "e01" {
		t.Error("a chat goes behind half a second of reading though engines are idle")
	}
	for i := range list {
		list[i].addChats(16, 100_000)
	}
	r := chatRequest()
	if d := decide(r, list); d.Verdict != Wait {
		t.Errorf("with all engines full the verdict is %s, want wait", d.Verdict)
	}
	r.Waited = refuseAfter * r.Goal
	if d := decide(r, list); d.Verdict != Refuse {
		t.Errorf("after a fifth of the goal the verdict is %s, want refuse", d.Verdict)
	}
}

func TestLongPromptIsSplitOverIdleEngines(t *testing.T) {
	d := decide(longRequest(154_000, 0), engines(18))
	if d.Verdict != Place || len(d.Helpers) != MaxParts-1 || d.Forced {
		t.Fatalf("verdict %s with %d helpers, forced %v; want all that may help", d.Verdict, len(d.Helpers), d.Forced)
	}
	if d.PredictedFirstEvent < d.PartPrefillTime || d.PredictedFirstEvent > 0.5 {
		t.Errorf("foreseen %.2f s for parts of %.2f s", d.PredictedFirstEvent, d.PartPrefillTime)
	}
}

// TestPartsWithinGapGoalsArePlacedAtOnce: a part that fits into the pause that chats bear goes
// beside them at once.
func TestPartsWithinGapGoalsArePlacedAtOnce(t *testing.T) {
	list := engines(18)
	for i := range list {
		list[i].addChats(4, 28_000)
	}
	if d := decide(longRequest(110_000, 0), list); d.Verdict != Place || d.Forced {
		t.Errorf("verdict %s, forced %v; parts of 0.1 s are borne by chats", d.Verdict, d.Forced)
	}
}

// TestLongPromptMayDisturbFewerTokens: chats that end leave each engine with a few writers for seconds. A
// long prompt that weighs more than the least of them goes beside those.
func TestLongPromptMayDisturbFewerTokens(t *testing.T) {
	swing := func(chats int) []Target {
		list := engines(18)
		for i := range list {
			list[i].addChats(chats, int64(chats)*7_000)
		}
		return list
	}
	d := decide(longRequest(225_000, 0), swing(2))
	if d.Verdict != Wait {
		t.Errorf("verdict %s at the arrival, want wait", d.Verdict)
	}
	d = decide(longRequest(225_000, 0.1), swing(2))
	if d.Verdict != Place || !d.Forced {
		t.Fatalf("verdict %s, forced %v; want to be placed beside the writers", d.Verdict, d.Forced)
	}
	if d.PredictedFirstEvent > inTimeShare*3 {
		t.Errorf("foreseen %.2f s, over the goal", d.PredictedFirstEvent)
	}
	if harm := int64(1+len(d.Helpers)) * 14_000; harm > 225_000*35/100 {
		t.Errorf("%d tokens of chats are disturbed", harm)
	}
	if d = decide(longRequest(225_000, 0.1), swing(12)); d.Verdict != Wait {
		t.Errorf("verdict %s beside 84,000 tokens of chats an engine, want wait", d.Verdict)
	}
}

// TestLeastDisturbedTargetsAreChosen: engines without writers that suffer come first, and writers of
// long prompts weigh more than chats.
func TestLeastDisturbedTargetsAreChosen(t *testing.T) {
	list := engines(18)
	for i := range list {
		list[i].addChats(2, 14_000)
	}
	list[3].DecodeGroups = []DecodeGroup{{GapGoal: longGapGoal, Tokens: 150_000}}
	list[3].Load.MemoryTokens = 150_000
	list[3].GapGoal, list[3].GapSensitive = longGapGoal, 0
	d := decide(longRequest(225_000, 0.1), list)
	if d.Verdict != Place || !d.Forced {
		t.Fatalf("verdict %s, forced %v", d.Verdict, d.Forced)
	}
	for _, id := range append(d.Helpers, d.Chosen) {
		if id == "e03" {
			t.Errorf("parts of %.2f s go beside a long prompt's answer", d.PartPrefillTime)
		}
	}
}

// TestNoGapGoalIsMissedForALatePrompt: where a prompt cannot be in time, it waits.
func TestNoGapGoalIsMissedForALatePrompt(t *testing.T) {
	list := engines(4)
	for i := range list {
		list[i].addChats(1, 6_000)
	}
	if d := decide(longRequest(280_000, 0.2), list); d.Verdict != Wait {
		t.Errorf("verdict %s for 9 s of reading on four engines, want wait", d.Verdict)
	}
	if d := decide(longRequest(280_000, refuseAfter*3+0.01), list); d.Verdict != Refuse {
		t.Error("it is not refused while another attempt can still be in time")
	}
}

// TestDecisionWithoutPredictionMarshals: also where nothing is foreseen, as no engine is without
// close writers.
func TestDecisionWithoutPredictionMarshals(t *testing.T) {
	list := engines(2)
	for i := range list {
		list[i].addChats(8, 200_000)
	}
	if _, err := json.Marshal(decide(longRequest(300_000, 0), list)); err != nil {
		t.Error(err)
	}
}

// TestChatAvoidsPackedEngineThatWouldBeLate: a chat that is likely to be late on the packed engine
// opens another one.
func TestChatAvoidsPackedEngineThatWouldBeLate(t *testing.T) {
	list := engines(2)
	list[0].addChats(12, 80_000)
	list[0].PendingPrefill = 0.07
	if d := decide(chatRequest(), list); d.Chosen != "e01" {
		t.Errorf("a chat with a goal of 0.3 s goes to %s, behind 0.07 s of reading and 12 writers", d.Chosen)
	}
}

// TestPromptBeyondOneEngineReservesMemoryAtHelpers: the memory beyond the first engine is asked of helpers, and
// not where there is none.
func TestPromptBeyondOneEngineReservesMemoryAtHelpers(t *testing.T) {
	list := engines(18)
	d := decide(longRequest(400_000, 0), list)
	sum := int64(0)
	for _, ticket := range d.Reservations {
		sum += ticket.Tokens
	}
	if d.Verdict != Place || sum < 400_000-315_000 {
		t.Fatalf("verdict %s with tickets for %d tokens", d.Verdict, sum)
	}
	for i := range list {
		list[i].Load.MemoryTokens = 310_000
	}
	if d = decide(longRequest(400_000, 0), list); d.Verdict == Place {
		t.Error("it is placed on engines without memory")
	}
}

// TestHeavyPartsLeaveEnginesFree: parts of seconds stay on a part of the engines, so that
// chats can come back.
func TestHeavyPartsLeaveEnginesFree(t *testing.T) {
	d := decide(longRequest(500_000, 0), engines(18))
	if d.Verdict != Place || d.PartPrefillTime <= heavyPart || 1+len(d.Helpers) > 7 {
		t.Errorf("verdict %s, %d parts of %.1f s, want at most 7 of 18 engines", d.Verdict, 1+len(d.Helpers), d.PartPrefillTime)
	}
}

// TestPartsAvoidTargetsWithoutPrefillSlack: an engine reads the newest part first, so a part goes
// where the prompts that are not read yet can be held up by it, and elsewhere if there is
// room.
func TestPartsAvoidTargetsWithoutPrefillSlack(t *testing.T) {
	for name, c := range map[string]struct {
		holdUp float64
		avoid  bool
	}{
		"cannot be held up": {0.01, true},
		"can be held up":    {2.0, false},
	} {
		list := engines(6)
		for i := range 3 {
			list[i].PendingPrefill, list[i].PendingPromptTokens, list[i].PrefillSlack = 0.05, 100_000, c.holdUp
		}
		d := decide(longRequest(154_000, 0), list)
		if d.Verdict != Place {
			t.Fatalf("%s: %s", name, d.Verdict)
		}
		used := 0
		for _, id := range append([]string{d.Chosen}, d.Helpers...) {
			if id < "e03" {
				used++
			}
		}
		if c.avoid != (used == 0) {
			t.Errorf("%s: %d of the engines with unread prompts are used", name, used)
		}
	}
}

// TestDelayedPromptsCountAsDisturbed: where there is no other room, a prompt goes before
// those that weigh less and would be late.
func TestDelayedPromptsCountAsDisturbed(t *testing.T) {
	for _, c := range []struct {
		unread int64
		want   Verdict
	}{{1_000, Place}, {50_000, Wait}} {
		list := engines(17)
		for i := range list {
			list[i].PendingPrefill, list[i].PendingPromptTokens, list[i].PrefillSlack = 0.05, c.unread, 0.01
		}
		if d := decide(longRequest(120_000, 0.2), list); d.Verdict != c.want {
			t.Errorf("before %d unread tokens an engine: %s, want %s", c.unread, d.Verdict, c.want)
		}
	}
}

// TestLargePromptIsPlacedOnFewEngines: engines are kept free of deep parts only as far as the
// prompt's memory can be had without them; an idle pool does not turn it away for ever.
func TestLargePromptIsPlacedOnFewEngines(t *testing.T) {
	for n := 2; n <= 4; n++ {
		list := engines(n)
		for i := range list {
			list[i].MemoryTokens = 100_000
		}
		d := decide(longRequest(150_000, 0), list)
		if d.Verdict != Place || len(d.Reservations) == 0 {
			t.Errorf("%d idle engines: %s with %d tickets", n, d.Verdict, len(d.Reservations))
		}
	}
}

// TestSlowEnginesPrefillNoParts: three of 18 engines take 4.5 times as long. A long prompt is
// read when its last part is; with parts on the slow ones its first event was foreseen in
// time and came 4.5 times as late.
func TestSlowEnginesPrefillNoParts(t *testing.T) {
	list := engines(18)
	for i := range 3 {
		list[i].Slowdown = 4.5
	}
	d := decide(longRequest(150_000, 0), list)
	if d.Verdict != Place {
		t.Fatalf("%+v", d)
	}
	for _, id := range append(d.Helpers, d.Chosen) {
		if id == "e00" || id == "e01" || id == "e02" {
			t.Errorf("%s is slow and reads a part", id)
		}
	}
	if d := decide(chatRequest(), list); d.Chosen == "e00" || d.Chosen == "e01" || d.Chosen == "e02" {
		t.Errorf("a chat goes to %s, which is slow", d.Chosen)
	}
	for i := range list {
		list[i].Slowdown = 2
	}
	if d := decide(longRequest(150_000, 0), list); d.Verdict != Place || len(d.Helpers) < 5 {
		t.Errorf("where all are slow: %s with %d helpers", d.Verdict, len(d.Helpers))
	}
}
