package forward

import (
	"testing"

	"pgregory.net/rapid"

	"doorstack.dev/core/fault"
)

func TestClassify(t *testing.T) {
	for name, c := range map[string]struct {
		head Head
		want Disposition
	}{
		"success":                 {Head{Status: 200, Signed: true}, Deliver},
		"success without sign":    {Head{Status: 200}, Unusable},
		"encoded":                 {Head{Status: 200, Signed: true, Encoded: true}, Unusable},
		"full":                    {Head{Status: 503, NotExecuted: true}, Rejected},
		"limit":                   {Head{Status: 429, NotExecuted: true}, Rejected},
		"other target":            {Head{Status: 421}, Rejected},
		"503 without a word":      {Head{Status: 503, Signed: true}, Unusable},
		"429 without a word":      {Head{Status: 429, Signed: true}, Unusable},
		"408 without a word":      {Head{Status: 408}, Unusable},
		"own failure":             {Head{Status: 500, Signed: true}, TargetError},
		"own timeout":             {Head{Status: 504, Signed: true}, TargetError},
		"not found at the target": {Head{Status: 404, Signed: true}, Deliver},
	} {
		if got := c.head.Classify(); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// TestProgressRetryRules: whatever happens to the sends of a call, one that may
// not be repeated is not sent again once it may have run, "not run" is said only
// where nothing can have run, and the sends are bounded.
func TestProgressRetryRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Progress{Rules: Rules{
			Repeatable:  rapid.Bool().Draw(t, "repeatable"),
			MaxAttempts: rapid.IntRange(1, 4).Draw(t, "attempts"),
		}}
		mayHaveRun := 0
		for range 20 {
			if !p.MayRetry() {
				break
			}
			if mayHaveRun > 0 && !p.Rules.Repeatable {
				t.Fatal("sent again though it may have run")
			}
			x := rapid.SampledFrom([]fault.Execution{fault.NotRun, fault.Unknown, fault.Ran}).Draw(t, "execution")
			if x != fault.NotRun {
				mayHaveRun++
			}
			p.RecordFailure(x, x != fault.NotRun || rapid.Bool().Draw(t, "reached"))
			if (p.Execution() == fault.NotRun) != (mayHaveRun == 0) {
				t.Fatalf("said %v after %d runs", p.Execution(), mayHaveRun)
			}
		}
		if mayHaveRun > p.Rules.MaxAttempts {
			t.Fatalf("%d targets may have run it, %d are allowed", mayHaveRun, p.Rules.MaxAttempts)
		}
	})
}
