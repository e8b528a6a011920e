package routing

import "testing"

// TestChatPrefersEngineWithMoreChats: a chat goes to the engine with more chats even if that has a little
// more pending prefill, so that the other one finishes its chats and is free for long prompts; but not
// where its own first event would be late.
func TestChatPrefersEngineWithMoreChats(t *testing.T) {
	list := engines(2)
	list[0].addChats(3, 18_000)
	list[1].addChats(9, 54_000)
	list[1].PendingPrefill = 0.02
	if d := decide(chatRequest(), list); d.Chosen != "e01" {
		t.Errorf("chose %s with 3 chats, want the engine with 9", d.Chosen)
	}
	list[1].PendingPrefill = 0.2
	if d := decide(chatRequest(), list); d.Chosen != "e00" {
		t.Errorf("chose %s, with 0.2 s of pending prefill, want e00", d.Chosen)
	}
}

// TestInterferenceCountsEachDecodingRequest: a prompt whose prefill makes eleven chats miss small gap goals
// goes to an idle engine, or beside one such chat rather than beside eleven.
func TestInterferenceCountsEachDecodingRequest(t *testing.T) {
	const smallGapGoal = 0.11
	long := chatRequest()
	long.PromptTokens, long.GapGoal = 10_000, smallGapGoal
	list := engines(3)
	list[0].addChats(11, 66_000)
	list[0].GapGoal = smallGapGoal
	list[1].addChats(1, 6_000)
	list[1].GapGoal = smallGapGoal
	if d := decide(long, list[:2]); d.Chosen != "e01" {
		t.Errorf("chose %s, want the engine with one chat", d.Chosen)
	}
	if d := decide(long, []Target{list[0], list[2]}); d.Chosen != "e02" {
		t.Errorf("chose %s, want the idle engine", d.Chosen)
	}
	short := chatRequest()
	short.PromptTokens, short.GapGoal = 1_000, smallGapGoal
	if d := decide(short, list); d.Chosen != "e00" {
		t.Errorf("chose %s for a prompt that misses no gap goal, want the packed engine", d.Chosen)
	}
}
