package routing

import (
	"fmt"
	"testing"

	"doorstack.dev/core/rendezvous"
)

// maxCallsPerTarget places one call from each of so many daemons that know of no other call, and returns
// the highest number of calls that a target gets.
func maxCallsPerTarget(daemons int, uncoordinated bool, prompt int64, p *Params, targets []Target) int {
	var s Scratch
	got := map[string]int{}
	most := 0
	for i := range daemons {
		r := &Request{
			PromptTokens: prompt, OutputTokens: 1900, DataCentre: "dc0", Goal: 0.4, GapGoal: 0.3,
			Seed: rendezvous.Score(fmt.Sprint("d", i), "attempt"), Uncoordinated: uncoordinated,
		}
		d := s.Decide(r, p, targets)
		got[d.Chosen]++
		most = max(most, got[d.Chosen])
	}
	return most
}

// TestUncoordinatedDaemonsSpreadCalls: 60 daemons without their coordinator each place a chat on one of 30
// engines, or a call on one of as many plain targets, in their own data centre, with 30 more in another
// one. No target may get more than a fifth of the calls. Without jitter all daemons chose the same engine,
// and one of four plain targets.
func TestUncoordinatedDaemonsSpreadCalls(t *testing.T) {
	const daemons, most = 60, 12
	llm, plain := engines(60), make([]Target, 60)
	for i := range llm {
		llm[i].DataCentre = fmt.Sprint("dc", i%2)
		plain[i] = Target{ID: fmt.Sprint("t", i), DataCentre: fmt.Sprint("dc", i%2), MaxConcurrent: 6}
	}
	params := timedParams()
	params.RemotePenalty = 0.02
	for what, c := range map[string]struct {
		prompt  int64
		params  *Params
		targets []Target
	}{
		"chats":       {4960, params, llm},
		"plain calls": {0, &Params{RemotePenalty: 0.02}, plain},
	} {
		if got := maxCallsPerTarget(daemons, true, c.prompt, c.params, c.targets); got > most {
			t.Errorf("%s: one target gets %d of %d calls, want at most a fifth", what, got, daemons)
		}
		if got := maxCallsPerTarget(daemons, false, c.prompt, c.params, c.targets); got <= most {
			t.Errorf("%s: coordinated decisions spread the calls too, so the check of uncoordinated ones proves nothing", what)
		}
	}
}

// TestUncoordinatedDecisionStaysLocalAndReplays: jitter alone sends no call to another data centre, and a
// replayed decision comes out the same.
func TestUncoordinatedDecisionStaysLocalAndReplays(t *testing.T) {
	targets := engines(20)
	for i := range targets {
		targets[i].DataCentre = fmt.Sprint("dc", i%2)
	}
	params := timedParams()
	params.RemotePenalty = 0.02
	var s Scratch
	for seed := range uint64(100) {
		r := &Request{PromptTokens: 4960, OutputTokens: 1900, DataCentre: "dc1", Goal: 0.4, GapGoal: 0.3, Seed: seed, Uncoordinated: true}
		d := s.Decide(r, params, targets)
		if d.Candidates[0].Target.DataCentre != "dc1" {
			t.Fatalf("seed %d: best candidate in %s, want dc1", seed, d.Candidates[0].Target.DataCentre)
		}
		if again := d.Replay(); again.Chosen != d.Chosen {
			t.Fatalf("seed %d: chose %s, but %s when replayed", seed, d.Chosen, again.Chosen)
		}
	}
}
