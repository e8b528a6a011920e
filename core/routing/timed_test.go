package routing

import (
	"encoding/json"
	"fmt"
	"testing"

	"doorstack.dev/core/engine"
)

// productionTiming is the cost model of the engines in production.
var productionTiming = engine.Timing{
	Step: 0.85e-3, PerSequence: 0.00425e-3, PerContextToken: 0.00285e-6,
	PerPromptToken: 1 / 177_000.0, PerPair: 0.184e-9, StepsPerPass: 51,
}

func timedParams() *Params {
	return &Params{LongPromptTokens: 32_000, RemotePenalty: 0.002, Timing: &productionTiming}
}

// chatGapGoal and longGapGoal are gap goals used in production, in seconds.
const (
	chatGapGoal = 0.25
	longGapGoal = 1.0
)

// engines makes n idle engines.
func engines(n int) []Target {
	list := make([]Target, n)
	for i := range list {
		list[i] = Target{ID: fmt.Sprintf("e%02d", i), DataCentre: "a", MemoryTokens: 315_000, MaxConcurrent: 16}
	}
	return list
}

// addChats adds decoding chats to an engine, with so many tokens in total.
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
	return &Request{ID: "long", PromptTokens: tokens, OutputTokens: 800, DataCentre: "a", Goal: 3, GapGoal: longGapGoal, Waited: waited}
}

func decide(r *Request, targets []Target) Decision {
	var s Scratch
	return s.Decide(r, timedParams(), targets)
}

func TestChatsArePacked(t *testing.T) {
	list := engines(3)
	list[1].addChats(5, 30_000)
	if d := decide(chatRequest(), list); d.Chosen != "e01" {
		t.Errorf("chose %s for a chat, want the engine that has chats already", d.Chosen)
	}
	list[1].PendingPrefill = 0.5
	if d := decide(chatRequest(), list); d.Chosen == "e01" {
		t.Error("chose an engine with 0.5 s of pending prefill for a chat, want an idle one")
	}
	for i := range list {
		list[i].addChats(16, 100_000)
	}
	r := chatRequest()
	if d := decide(r, list); d.Verdict != Wait {
		t.Errorf("verdict %s with all engines full, want wait", d.Verdict)
	}
	r.Waited = refuseAfter * r.Goal
	if d := decide(r, list); d.Verdict != Refuse {
		t.Errorf("verdict %s after a fifth of the goal, want refuse", d.Verdict)
	}
}

func TestLongPromptIsSplitOverIdleEngines(t *testing.T) {
	d := decide(longRequest(154_000, 0), engines(18))
	if d.Verdict != Place || len(d.Helpers) != MaxParts-1 || d.Forced {
		t.Fatalf("verdict %s with %d helpers, forced %v; want the maximum of helpers, not forced", d.Verdict, len(d.Helpers), d.Forced)
	}
	if d.PredictedFirstEvent < d.PartPrefillTime || d.PredictedFirstEvent > 0.5 {
		t.Errorf("first event predicted after %.2f s with parts of %.2f s, want at least a part and at most 0.5 s", d.PredictedFirstEvent, d.PartPrefillTime)
	}
}

// TestPartsWithinGapGoalsArePlacedAtOnce: parts that fit into the gap goals of chats are placed
// beside them without waiting.
func TestPartsWithinGapGoalsArePlacedAtOnce(t *testing.T) {
	list := engines(18)
	for i := range list {
		list[i].addChats(4, 28_000)
	}
	if d := decide(longRequest(110_000, 0), list); d.Verdict != Place || d.Forced {
		t.Errorf("verdict %s, forced %v; want placed and not forced, as gap goals of chats allow parts of 0.1 s", d.Verdict, d.Forced)
	}
}

// TestLongPromptMayDisturbFewerTokens: after a shift of the traffic, finishing chats leave a few decoding
// requests on each engine for seconds. A long prompt is placed beside them if they have far fewer tokens.
func TestLongPromptMayDisturbFewerTokens(t *testing.T) {
	enginesWithChats := func(chats int) []Target {
		list := engines(18)
		for i := range list {
			list[i].addChats(chats, int64(chats)*7_000)
		}
		return list
	}
	d := decide(longRequest(225_000, 0), enginesWithChats(2))
	if d.Verdict != Wait {
		t.Errorf("verdict %s on arrival, want wait", d.Verdict)
	}
	d = decide(longRequest(225_000, 0.1), enginesWithChats(2))
	if d.Verdict != Place || !d.Forced {
		t.Fatalf("verdict %s, forced %v; want it placed, forced", d.Verdict, d.Forced)
	}
	if d.PredictedFirstEvent > inTimeShare*3 {
		t.Errorf("first event predicted after %.2f s, want it within the goal", d.PredictedFirstEvent)
	}
	if disturbed := int64(1+len(d.Helpers)) * 14_000; disturbed > 225_000*35/100 {
		t.Errorf("%d tokens of chats are disturbed, want at most 35 %% of the prompt's", disturbed)
	}
	if d = decide(longRequest(225_000, 0.1), enginesWithChats(12)); d.Verdict != Wait {
		t.Errorf("verdict %s beside 84,000 tokens of chats per engine, want wait", d.Verdict)
	}
}

// TestLeastDisturbedTargetsAreChosen: engines are chosen in the order of the tokens that a part disturbs
// there, so that the answer to a long prompt counts for more than chats.
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
		t.Fatalf("verdict %s, forced %v; want it placed, forced", d.Verdict, d.Forced)
	}
	for _, id := range append(d.Helpers, d.Chosen) {
		if id == "e03" {
			t.Errorf("a part of %.2f s is placed beside the answer to a long prompt", d.PartPrefillTime)
		}
	}
}

// TestNoGapGoalIsMissedForALatePrompt: a prompt that cannot be in time anyway does not disturb others; it waits.
func TestNoGapGoalIsMissedForALatePrompt(t *testing.T) {
	list := engines(4)
	for i := range list {
		list[i].addChats(1, 6_000)
	}
	if d := decide(longRequest(280_000, 0.2), list); d.Verdict != Wait {
		t.Errorf("verdict %s for 9 s of prefill on four engines, want wait", d.Verdict)
	}
	if d := decide(longRequest(280_000, refuseAfter*3+0.01), list); d.Verdict != Refuse {
		t.Error("not refused after refuseAfter of its goal, when a retry could still be in time")
	}
}

// TestDecisionWithoutPredictionMarshals: a decision is recorded as JSON also where no first event can be
// predicted because all engines have gap-sensitive requests.
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
// goes to an idle one.
func TestChatAvoidsPackedEngineThatWouldBeLate(t *testing.T) {
	list := engines(2)
	list[0].addChats(12, 80_000)
	list[0].PendingPrefill = 0.07
	if d := decide(chatRequest(), list); d.Chosen != "e01" {
		t.Errorf("chose %s for a chat with a goal of 0.3 s, with 0.07 s of pending prefill and 12 chats; want e01", d.Chosen)
	}
}

// TestPromptBeyondOneEngineReservesMemoryAtHelpers: helpers reserve the memory beyond the answering engine's;
// without free memory the request is not placed.
func TestPromptBeyondOneEngineReservesMemoryAtHelpers(t *testing.T) {
	list := engines(18)
	d := decide(longRequest(400_000, 0), list)
	sum := int64(0)
	for _, reservation := range d.Reservations {
		sum += reservation.Tokens
	}
	if d.Verdict != Place || sum < 400_000-315_000 {
		t.Fatalf("verdict %s with reservations of %d tokens, want it placed with at least 85,000", d.Verdict, sum)
	}
	for i := range list {
		list[i].Load.MemoryTokens = 310_000
	}
	if d = decide(longRequest(400_000, 0), list); d.Verdict == Place {
		t.Error("placed on engines without free memory")
	}
}

// TestHeavyPartsLeaveEnginesFree: parts that take seconds are limited to a share of the engines, so that
// the others can take chats.
func TestHeavyPartsLeaveEnginesFree(t *testing.T) {
	d := decide(longRequest(500_000, 0), engines(18))
	if d.Verdict != Place || d.PartPrefillTime <= heavyPart || 1+len(d.Helpers) > 7 {
		t.Errorf("verdict %s, %d parts of %.1f s, want at most 7 of 18 engines", d.Verdict, 1+len(d.Helpers), d.PartPrefillTime)
	}
}

// TestPartsAvoidTargetsWithoutPrefillSlack: an engine prefills the newest part first, so a part goes
// to an engine with pending prompts only if these can be delayed by it, and elsewhere if there
// is room.
func TestPartsAvoidTargetsWithoutPrefillSlack(t *testing.T) {
	for name, c := range map[string]struct {
		slack float64
		avoid bool
	}{
		"cannot be delayed": {0.01, true},
		"can be delayed":    {2.0, false},
	} {
		list := engines(6)
		for i := range 3 {
			list[i].PendingPrefill, list[i].PendingPromptTokens, list[i].PrefillSlack = 0.05, 100_000, c.slack
		}
		d := decide(longRequest(154_000, 0), list)
		if d.Verdict != Place {
			t.Fatalf("%s: verdict %s, want place", name, d.Verdict)
		}
		used := 0
		for _, id := range append([]string{d.Chosen}, d.Helpers...) {
			if id < "e03" {
				used++
			}
		}
		if c.avoid != (used == 0) {
			t.Errorf("%s: %d of the engines with pending prompts are used, want none = %v", name, used, c.avoid)
		}
	}
}

// TestDelayedPromptsCountAsDisturbed: where there is no other room, a prompt may delay pending prompts
// beyond their goals if those have far fewer tokens.
func TestDelayedPromptsCountAsDisturbed(t *testing.T) {
	for _, c := range []struct {
		pending int64
		want    Verdict
	}{{1_000, Place}, {50_000, Wait}} {
		list := engines(17)
		for i := range list {
			list[i].PendingPrefill, list[i].PendingPromptTokens, list[i].PrefillSlack = 0.05, c.pending, 0.01
		}
		if d := decide(longRequest(120_000, 0.2), list); d.Verdict != c.want {
			t.Errorf("before %d pending prompt tokens per engine: verdict %s, want %s", c.pending, d.Verdict, c.want)
		}
	}
}

// TestLargePromptIsPlacedOnFewEngines: however many engines may have heavy parts, a prompt gets as many as its
// memory needs; a small idle pool must not turn a large prompt away forever.
func TestLargePromptIsPlacedOnFewEngines(t *testing.T) {
	for n := 2; n <= 4; n++ {
		list := engines(n)
		for i := range list {
			list[i].MemoryTokens = 100_000
		}
		d := decide(longRequest(150_000, 0), list)
		if d.Verdict != Place || len(d.Reservations) == 0 {
			t.Errorf("%d idle engines: verdict %s with %d reservations, want it placed with reservations", n, d.Verdict, len(d.Reservations))
		}
	}
}

// TestSlowEnginesPrefillNoParts: three of 18 engines take 4.5 times as long. A prompt's prefill ends with
// its last part; with parts on the slow engines, the first event was predicted in time and came 4.5 times
// as late.
func TestSlowEnginesPrefillNoParts(t *testing.T) {
	list := engines(18)
	for i := range 3 {
		list[i].Slowdown = 4.5
	}
	d := decide(longRequest(150_000, 0), list)
	if d.Verdict != Place {
		t.Fatalf("decision about a long prompt: %+v, want it placed", d)
	}
	for _, id := range append(d.Helpers, d.Chosen) {
		if id == "e00" || id == "e01" || id == "e02" {
			t.Errorf("%s is slow and prefills a part", id)
		}
	}
	if d := decide(chatRequest(), list); d.Chosen == "e00" || d.Chosen == "e01" || d.Chosen == "e02" {
		t.Errorf("chose %s for a chat, want an engine at full speed", d.Chosen)
	}
	for i := range list {
		list[i].Slowdown = 2
	}
	if d := decide(longRequest(150_000, 0), list); d.Verdict != Place || len(d.Helpers) < 5 {
		t.Errorf("all engines slow: verdict %s with %d helpers, want it placed with at least 5", d.Verdict, len(d.Helpers))
	}
}
