package admission

import (
	"math"
	"testing"

	"doorstack.dev/core/engine"
)

// benchTiming and benchSize are those of the first deployment of docs/HARD-LOAD.md.
var (
	benchTiming = engine.Timing{
		Step: 0.85e-3, PerSequence: 0.00425e-3, PerContextToken: 0.00285e-6,
		PerPromptToken: 1 / 177_000.0, PerPair: 0.184e-9, StepsPerPass: 57,
	}
	benchSize = PoolSize{Engines: 45, Slots: 45 * 12, MemoryTokens: 45 * 267_750}
)

// TestCostIsThatOfTheScarcestResource guards the fair order against charging only prompt tokens:
// a short prompt with a long answer takes slots, a long prompt prefill time, and a long prompt with
// a long answer memory.
func TestCostIsThatOfTheScarcestResource(t *testing.T) {
	pass := benchTiming.PassTime(6, 267_750/2)
	prefill := func(tokens int64) float64 { return benchTiming.PrefillTime(tokens) }
	for _, c := range []struct {
		name           string
		prompt, output int64
		engineSeconds  float64
	}{
		{"slots", 5_000, 32 * 57, (prefill(5_000) + 32*pass) / 12},
		{"prefill", 45_000, 57, prefill(45_000)},
		{"memory", 200_000, 100 * 57, (prefill(200_000) + 100*pass) * 205_700 / 267_750},
	} {
		got, want := Cost(&benchTiming, benchSize, c.prompt, c.output), c.engineSeconds*177_000
		if math.Abs(got-want) > 1e-6*want {
			t.Errorf("%s: Cost(%d, %d) = %.0f, want %.0f", c.name, c.prompt, c.output, got, want)
		}
	}
}

// TestCostDoesNotDependOnTheNumberOfEngines guards against a change of a call's cost when engines
// come and go: calls that were charged before and after wait in one queue.
func TestCostDoesNotDependOnTheNumberOfEngines(t *testing.T) {
	half := PoolSize{Engines: 9, Slots: 9 * 12, MemoryTokens: 9 * 267_750}
	for _, prompt := range []int64{1, 5_000, 45_000, 220_000} {
		a, b := Cost(&benchTiming, benchSize, prompt, 1000), Cost(&benchTiming, half, prompt, 1000)
		if math.Abs(a-b) > 1e-6*a {
			t.Errorf("%d tokens: cost %.0f with 45 engines, %.0f with 9; want the same", prompt, a, b)
		}
	}
}

// TestCostWithoutTiming checks that calls to plain services and to engines of unknown timing cost
// their prompt tokens, and that a pool whose size is unknown charges the prefill time.
func TestCostWithoutTiming(t *testing.T) {
	if got := Cost(nil, benchSize, 5_000, 1000); got != 5_000 {
		t.Errorf("Cost without timing = %v, want 5000", got)
	}
	if got := Cost(nil, PoolSize{}, 0, 0); got != 1 {
		t.Errorf("Cost of a call without a prompt = %v, want 1", got)
	}
	want := benchTiming.PrefillTime(5_000) * 177_000
	if got := Cost(&benchTiming, PoolSize{}, 5_000, 1000); math.Abs(got-want) > 1e-6*want {
		t.Errorf("Cost without a size = %v, want %v", got, want)
	}
}
