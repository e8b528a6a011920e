package group

import (
	"fmt"
	"strings"
	"testing"
	"unicode/utf8"

	"doorstack.dev/core/routing"
	"github.com/go-faster/errors"
	"pgregory.net/rapid"
)

// TestPlanCoversPromptWithinTargetMemory checks, for random states of the targets, that the
// parts of a plan fit and add up to the prompt, and that a plan spans data centres only when
// it must.
func TestPlanCoversPromptWithinTargetMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := make([]routing.Target, rapid.IntRange(1, 12).Draw(t, "n"))
		for i := range targets {
			targets[i] = routing.Target{
				ID: fmt.Sprint("t", i), DataCentre: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "dc"), MemoryTokens: 450_000,
				Load: routing.Load{
					MemoryTokens: rapid.Int64Range(0, 450_000).Draw(t, "used"),
					LongPrefills: rapid.IntRange(0, 1).Draw(t, "long"),
				},
			}
		}
		prompt := rapid.Int64Range(1, 1_200_000).Draw(t, "prompt")
		const output, headroom = 1000, 0.2
		plan, err := NewPlan(targets, prompt, output, headroom, "b")
		if err != nil {
			if !errors.Is(err, ErrNoRoom) && !errors.Is(err, ErrTooLarge) {
				t.Fatalf("NewPlan: %v, want ErrNoRoom or ErrTooLarge", err)
			}
			return
		}
		sum := int64(0)
		centre := ""
		for i, p := range plan {
			for _, x := range targets {
				if x.ID != p.Target {
					continue
				}
				if p.MemoryTokens > freeTokens(&x, headroom) || x.Load.LongPrefills > 0 {
					t.Fatalf("NewPlan put part %d on %s, where it does not fit", i, x.ID)
				}
				if centre == "" {
					centre = x.DataCentre
				}
				if x.DataCentre != centre && fitsInOneDataCentre(targets, prompt+output, headroom) {
					t.Fatal("NewPlan spans data centres for a prompt that fits into one")
				}
			}
			sum += p.PromptTokens
		}
		if sum != prompt || plan[len(plan)-1].MemoryTokens != plan[len(plan)-1].PromptTokens+output {
			t.Fatalf("NewPlan: parts hold %d tokens, want %d, and room for %d of output in the last part only", sum, prompt, output)
		}
	})
}

// TestSplitCutsAtCharacterBoundaries checks that the parts are valid UTF-8 and together are
// the text.
func TestSplitCutsAtCharacterBoundaries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringOf(rapid.SampledFrom([]rune("açã€😀"))).Draw(t, "text")
		plan := make([]Part, rapid.IntRange(1, 5).Draw(t, "parts"))
		for i := range plan {
			plan[i].PromptTokens = rapid.Int64Range(0, 5).Draw(t, "tokens")
		}
		parts := Split(text, plan, 4)
		for i, p := range parts {
			if !utf8.ValidString(p) {
				t.Fatalf("Split: part %d is %q, want valid UTF-8", i, p)
			}
		}
		if strings.Join(parts, "") != text || len(parts) != len(plan) {
			t.Fatalf("Split(%q) = %q, want %d parts that join to the text", text, parts, len(plan))
		}
	})
}

func fitsInOneDataCentre(targets []routing.Target, tokens int64, headroom float64) bool {
	sums := map[string]float64{}
	for _, x := range targets {
		sums[x.DataCentre] += float64(int64(float64(x.MemoryTokens) * (1 - headroom)))
	}
	return max(sums["a"], sums["b"]) >= float64(tokens)
}

func TestPlanDistinguishesTooLargeFromNoRoom(t *testing.T) {
	full := routing.Target{ID: "a", DataCentre: "x", MemoryTokens: 450_000, Load: routing.Load{MemoryTokens: 400_000}}
	if _, err := NewPlan([]routing.Target{full}, 300_000, 10, 0, "x"); !errors.Is(err, ErrNoRoom) {
		t.Fatalf("NewPlan of 300,000 tokens on a full target: %v, want ErrNoRoom", err)
	}
	if _, err := NewPlan([]routing.Target{full}, 500_000, 10, 0, "x"); !errors.Is(err, ErrTooLarge) {
		t.Fatalf("NewPlan of 500,000 tokens on a target of 450,000: %v, want ErrTooLarge", err)
	}
}

// TestUnavailableTargetDoesNotMakePromptTooLarge guards against a prompt being refused for good because a target does not answer
// for a while; one that leaves counts no more.
func TestUnavailableTargetDoesNotMakePromptTooLarge(t *testing.T) {
	for state, want := range map[routing.State]error{routing.Unavailable: ErrNoRoom, routing.Draining: ErrTooLarge, routing.Evacuated: ErrTooLarge} {
		targets := []routing.Target{{ID: "a", MemoryTokens: 450_000}, {ID: "b", MemoryTokens: 450_000}, {ID: "c", MemoryTokens: 450_000, State: state}}
		if _, err := NewPlan(targets, 1_000_000, 20, 0.2, ""); !errors.Is(err, want) {
			t.Errorf("state %v: NewPlan = %v, want %v", state, err, want)
		}
	}
}
