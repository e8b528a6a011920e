package routing

import "testing"

// TestLongPromptsAreAnsweredByFewEngines: six long prompts come one after the other, each while
// those before it write. They are answered by three engines, two by each, which is what
// their memory allows, so that 15 of 18 are free of writers for a prompt that needs deep
// parts. Answered by whichever engine came first, they wrote on four.
func TestLongPromptsAreAnsweredByFewEngines(t *testing.T) {
	list := engines(18)
	answering := map[string]int{}
	for i := range 6 {
		r := longRequest(150_000, 0)
		r.Seed = uint64(i) + 1 // Each comes from another daemon.
		d := decide(r, list)
		if d.Verdict != Place {
			t.Fatalf("%+v", d)
		}
		answering[d.Chosen]++
		for i := range list {
			if list[i].ID == d.Chosen {
				list[i].Load.Requests++
				list[i].Load.MemoryTokens += d.Request.MemoryTokens()
				list[i].GapGoal, list[i].DecodeGroups = longGapGoal, []DecodeGroup{{GapGoal: longGapGoal, Tokens: 150_800}}
			}
		}
	}
	if len(answering) != 3 {
		t.Errorf("answered by %v", answering)
	}
}
