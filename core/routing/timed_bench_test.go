package routing

import (
	"fmt"
	"testing"
)

// busyEngines makes engines with many chats each, some with much pending prefill.
func busyEngines(n int) []Target {
	list := engines(n)
	for i := range list {
		list[i].addChats(8+i%8, int64(8+i%8)*7_000)
		list[i].PendingPrefill = float64(i%5) * 0.15
	}
	return list
}

// These measure one decision about a long prompt that waits, and about a chat.
func BenchmarkLongPromptWaits(b *testing.B) { benchmarkTimed(b, longRequest(225_000, 0.2)) }
func BenchmarkChat(b *testing.B)            { benchmarkTimed(b, chatRequest()) }

func benchmarkTimed(b *testing.B, r *Request) {
	for _, n := range []int{18, 60, 330} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := busyEngines(n)
			p := timedParams()
			var s Scratch
			b.ReportAllocs()
			for b.Loop() {
				s.Decide(r, p, list)
			}
		})
	}
}

// TestRepeatedWaitDecisionAllocatesLittle: the decision about a waiting prompt is repeated at each event
// of its pool; the targets are recorded only once per interval, and the other decisions must stay cheap.
func TestRepeatedWaitDecisionAllocatesLittle(t *testing.T) {
	list := busyEngines(60)
	r := longRequest(225_000, 0.2)
	p := timedParams()
	var s Scratch
	if d := s.Decide(r, p, list); d.Verdict != Wait || len(d.Candidates) == 0 {
		t.Fatalf("verdict %s with %d candidates, want wait with candidates", d.Verdict, len(d.Candidates))
	}
	r.OmitCandidates = true
	const most = 4 // The pool state and the sorting allocate.
	if n := testing.AllocsPerRun(100, func() { s.Decide(r, p, list) }); n > most {
		t.Errorf("%v allocations per decision, want at most 4", n)
	}
}
