package routing

import "testing"

// TestLongPromptsAreAnsweredByFewEngines: six long prompts arrive one after the other, each while
// those before it are decoded. They must be answered by three engines, two by each, which is what
// the engines' memory allows, so that 15 of 18 have no decoding requests and can take heavy parts.
// Without an order among the answering engines they were spread over four.
func TestLongPromptsAreAnsweredByFewEngines(t *testing.T) {
	list := engines(18)
	answering := map[string]int{}
	for i := range 6 {
		r := longRequest(150_000, 0)
		r.Seed = uint64(i) + 1 // Each is placed by another daemon.
		d := decide(r, list)
		if d.Verdict != Place {
			t.Fatalf("decision about a long prompt: %+v, want it placed", d)
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
		t.Errorf("answering engines: %v, want three", answering)
	}
}
