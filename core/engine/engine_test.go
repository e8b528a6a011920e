package engine

import (
	"math"
	"testing"
)

// productionTiming is the cost model of the engines in production.
var productionTiming = Timing{
	Step: 0.85e-3, PerSequence: 0.00425e-3, PerContextToken: 0.00285e-6,
	PerPromptToken: 1 / 177_000.0, PerPair: 0.184e-9, StepsPerPass: 51,
}

// TestPrefillTime compares with prefill times measured on engines in production.
func TestPrefillTime(t *testing.T) {
	for _, c := range []struct {
		tokens int64
		want   float64
	}{{5_000, 0.030}, {45_000, 0.44}, {154_000, 3.1}, {220_000, 5.7}, {400_000, 17}, {700_000, 49}} {
		got := productionTiming.PrefillTime(c.tokens)
		if math.Abs(got-c.want) > 0.05*c.want {
			t.Errorf("PrefillTime(%d) = %.3f s, want %.3f s within 5 %%", c.tokens, got, c.want)
		}
	}
}

func TestPassTime(t *testing.T) {
	if got := productionTiming.PassTime(16, 16*5_000); got < 0.045 || got > 0.065 {
		t.Errorf("PassTime of 16 chats = %.3f s, want about 0.05 s", got)
	}
}
