package routing

import "testing"

// TestChatPrefersEngineWithMoreChats: a chat goes to the engine with more chats though that has a little more
// to read, so that the other one ends its chats and is free for long prompts; not where its own first
// event would be late.
func TestChatPrefersEngineWithMoreChats(t *testing.T) {
	list := engines(2)
	list[0].addChats(3, 18_000)
	list[1].addChats(9, 54_000)
	list[1].PendingPrefill = 0.02
	if d := decide(chatRequest(), list); d.Chosen != "e01" {
		t.Errorf("a chat goes to %s with 3 chats, not to the engine with 9", d.Chosen)
	}
	list[1].PendingPrefill = 0.2
	if d := decide(chatRequest(), list); d.Chosen != "e00" {
		t.Errorf("a chat goes to %s, behind 0.2 s of reading", d.Chosen)
	}
}

// TestInterferenceCountsEachDecodingRequest: a prompt whose reading makes eleven chats with close goals pause too
// long opens an engine, and goes beside one such chat rather than beside eleven.
func TestInterferenceCountsEachDecodingRequest(t *testing.T) {
	const closeGap = 0.11
	long := chatRequest()
	long.PromptTokens, long.GapGoal = 10_000, closeGap
	list := engines(3)
	list[0].addChats(11, 66_000)
	list[0].GapGoal = closeGap
	list[1].addChats(1, 6_000)
	list[1].GapGoal = closeGap
	if d := decide(long, list[:2]); d.Chosen != "e01" {
		t.Errorf("beside writers: goes to %s", d.Chosen)
	}
	if d := decide(long, []Target{list[0], list[2]}); d.Chosen != "e02" {
		t.Errorf("with an idle engine: goes to %s", d.Chosen)
	}
	short := chatRequest()
	short.PromptTokens, short.GapGoal = 1_000, closeGap
	if d := decide(short, list); d.Chosen != "e00" {
		t.Errorf("one that nobody notices goes to %s", d.Chosen)
	}
}
