package routing

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func testParams() Params {
	return Params{
		LongPromptTokens: 32_000, LongPerTarget: 1, LongTargets: 2,
		MemoryHeadroom: 0.1, PrefixWeight: 1, RemotePenalty: 0.02, MaxBacklog: 2,
	}
}

func testTarget(id string) Target {
	return Target{ID: id, DataCentre: "a", MemoryTokens: 400_000, PrefillRate: 10_000}
}

func TestFilters(t *testing.T) {
	cases := []struct {
		name    string
		prompt  int64
		change  func(*Target)
		want    Filter
		verdict Verdict
	}{
		{"free", 1000, func(*Target) {}, "", Place},
		{"draining", 1000, func(x *Target) { x.State = Draining }, FilterState, None},
		{"breaker", 1000, func(x *Target) { x.BreakerOpen = true }, FilterBreaker, None},
		{"excluded", 1000, func(x *Target) { x.ID = "used" }, FilterExcluded, None},
		{"model not loaded", 1000, func(x *Target) { x.Unloaded = true }, FilterUnloaded, None},
		{"all calls taken", 1000, func(x *Target) { x.MaxConcurrent, x.Load.Requests = 2, 2 }, FilterConcurrency, Wait},
		{"memory full", 1000, func(x *Target) { x.Load.MemoryTokens = 399_500 }, FilterMemory, Wait},
		{"headroom is for short prompts", 50_000, func(x *Target) { x.Load.MemoryTokens = 320_000 }, FilterMemory, Wait},
		{"backlog", 1000, func(x *Target) { x.Load.BacklogTokens = 20_001 }, FilterBacklog, Wait},
		{"second long prefill", 50_000, func(x *Target) { x.Load.LongPrefills = 1 }, FilterLong, Wait},
		{"reserved for another request", 1000, func(x *Target) { x.ReservedFor = "other" }, FilterReserved, Wait},
		{"more than one engine", 900_000, func(*Target) {}, FilterMemory, Group},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			target := testTarget("x")
			c.change(&target)
			r := Request{ID: "r", PromptTokens: c.prompt, OutputTokens: 100, DataCentre: "a", Exclude: []string{"used"}}
			p := testParams()
			var s Scratch
			d := s.Decide(&r, &p, []Target{target})
			if d.Verdict != c.verdict || d.Candidates[0].Rejected != c.want {
				t.Fatalf("got %s, rejected by %q; want %s, %q", d.Verdict, d.Candidates[0].Rejected, c.verdict, c.want)
			}
		})
	}
}

func TestLongTargetsBoundsTargetsWithLongPrefills(t *testing.T) {
	targets := []Target{testTarget("a"), testTarget("b"), testTarget("c")}
	targets[0].Load.LongPrefills, targets[1].Load.LongPrefills = 1, 1
	r := Request{ID: "r", PromptTokens: 50_000, DataCentre: "a"}
	p := testParams()
	var s Scratch
	if d := s.Decide(&r, &p, targets); d.Verdict != Wait || d.Rejections.Long != 3 {
		t.Fatalf("with two of at most two long targets: %+v, want wait, all three rejected by the long filter", d)
	}
	p.LongTargets = 3
	if d := s.Decide(&r, &p, targets); d.Chosen != "c" {
		t.Fatalf("chose %q, want c", d.Chosen)
	}
}

func TestCachedPrefixWinsUntilBacklogOutweighsIt(t *testing.T) {
	targets := []Target{testTarget("a"), testTarget("b")}
	r := Request{ID: "r", PromptTokens: 20_000, DataCentre: "a", Cached: []CachedPrefix{{Target: 1, Tokens: 18_000}}}
	p := testParams()
	var s Scratch
	if d := s.Decide(&r, &p, targets); d.Chosen != "b" {
		t.Fatalf("chose %q, want the target with the prefix", d.Chosen)
	}
	targets[1].Load.BacklogTokens = 19_500
	if d := s.Decide(&r, &p, targets); d.Chosen != "a" {
		t.Fatalf("chose %q, want the idle target", d.Chosen)
	}
}

// TestReplayGivesSameOutcome checks what "explain --replay" relies on.
func TestReplayGivesSameOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, p, targets := drawDecision(t)
		var s Scratch
		d := s.Decide(&r, &p, targets)
		again := d.Replay()
		if again.Verdict != d.Verdict || again.Chosen != d.Chosen {
			t.Fatalf("Replay = %s %q, want %s %q", again.Verdict, again.Chosen, d.Verdict, d.Chosen)
		}
	})
}

// TestChosenTargetIsNeverRejected checks for random inputs that no filter rejects the chosen target.
func TestChosenTargetIsNeverRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, p, targets := drawDecision(t)
		var s Scratch
		d := s.Decide(&r, &p, targets)
		for i := range targets {
			if targets[i].ID != d.Chosen {
				continue
			}
			if f := filter(&r, &p, p.IsLong(r.PromptTokens), d.LongHolders, &targets[i]); f != "" {
				t.Fatalf("chose %s, which filter %s rejects", d.Chosen, f)
			}
		}
	})
}

func drawDecision(t *rapid.T) (Request, Params, []Target) {
	n := rapid.IntRange(0, 40).Draw(t, "targets")
	targets := make([]Target, n)
	for i := range targets {
		targets[i] = testTarget(fmt.Sprint("t", i))
		targets[i].State = State(rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "state"))
		targets[i].BreakerOpen = rapid.IntRange(0, 9).Draw(t, "breaker") == 0
		targets[i].Load = Load{
			Requests:      rapid.IntRange(0, 50).Draw(t, "requests"),
			MemoryTokens:  rapid.Int64Range(0, 400_000).Draw(t, "memory"),
			BacklogTokens: rapid.Int64Range(0, 30_000).Draw(t, "backlog"),
			LongPrefills:  rapid.IntRange(0, 1).Draw(t, "long"),
		}
	}
	r := Request{
		ID:           "r",
		PromptTokens: rapid.Int64Range(1, 500_000).Draw(t, "prompt"),
		DataCentre:   rapid.SampledFrom([]string{"a", "b"}).Draw(t, "dc"),
		Seed:         rapid.Uint64().Draw(t, "seed"),
	}
	if n > 0 {
		r.Cached = []CachedPrefix{{Target: rapid.IntRange(0, n-1).Draw(t, "cached"), Tokens: r.PromptTokens / 2}}
	}
	return r, testParams(), targets
}

func benchmarkDecide(b *testing.B, n int) {
	targets := make([]Target, n)
	for i := range targets {
		targets[i] = testTarget(fmt.Sprint("t", i))
		targets[i].Load = Load{Requests: i % 40, MemoryTokens: int64(i*7919) % 400_000, BacklogTokens: int64(i*104729) % 25_000}
	}
	r := Request{ID: "r", PromptTokens: 2000, OutputTokens: 200, DataCentre: "a"}
	p := testParams()
	var s Scratch
	b.ReportAllocs()
	for b.Loop() {
		r.Seed++
		if d := s.Decide(&r, &p, targets); d.Verdict != Place {
			b.Fatal(d.Verdict)
		}
	}
}

func BenchmarkDecide20(b *testing.B)   { benchmarkDecide(b, 20) }
func BenchmarkDecide288(b *testing.B)  { benchmarkDecide(b, 288) }
func BenchmarkDecide2300(b *testing.B) { benchmarkDecide(b, 2300) }
