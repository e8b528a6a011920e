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
		"unsigned success":        {Head{Status: 200}, Unusable},
		"encoded":                 {Head{Status: 200, Signed: true, Encoded: true}, Unusable},
		"full target":             {Head{Status: 503, NotExecuted: true}, Rejected},
		"rate limit":              {Head{Status: 429, NotExecuted: true}, Rejected},
		"another target":          {Head{Status: 421}, Rejected},
		"503 without NotExecuted": {Head{Status: 503, Signed: true}, Unusable},
		"429 without NotExecuted": {Head{Status: 429, Signed: true}, Unusable},
		"408 without NotExecuted": {Head{Status: 408}, Unusable},
		"target failure":          {Head{Status: 500, Signed: true}, TargetError},
		"target timeout":          {Head{Status: 504, Signed: true}, TargetError},
		"not found at the target": {Head{Status: 404, Signed: true}, Deliver},
	} {
		if got := c.head.Classify(); got != c.want {
			t.Errorf("%s: Classify() = %v, want %v", name, got, c.want)
		}
	}
}

// TestProgressRetryRules checks for any results of the sends that a call which must not be repeated
// is not sent again once it may have run, that NotRun is reported only if no target can have run
// the call, and that the number of sends is bounded.
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
				t.Fatal("MayRetry() = true for a call that may have run and must not be repeated")
			}
			x := rapid.SampledFrom([]fault.Execution{fault.NotRun, fault.Unknown, fault.Ran}).Draw(t, "execution")
			if x != fault.NotRun {
				mayHaveRun++
			}
			p.RecordFailure(x, x != fault.NotRun || rapid.Bool().Draw(t, "reached"))
			if (p.Execution() == fault.NotRun) != (mayHaveRun == 0) {
				t.Fatalf("Execution() = %v after %d sends that may have run, want NotRun only after none", p.Execution(), mayHaveRun)
			}
		}
		if mayHaveRun > p.Rules.MaxAttempts {
			t.Fatalf("%d targets may have run the call, want at most %d", mayHaveRun, p.Rules.MaxAttempts)
		}
	})
}

// TestOnlyAStreamIsAContinuation guards against other bytes being appended to a stream that broke off.
func TestOnlyAStreamIsAContinuation(t *testing.T) {
	const stream, text = "text/event-stream", "application/json"
	for _, c := range []struct {
		head Head
		want Disposition
	}{
		{Head{Status: 200, Signed: true, MediaType: stream}, Deliver},
		{Head{Status: 200, Signed: true, MediaType: text}, Unusable},
		{Head{Status: 200, Signed: true}, Unusable},
		{Head{Status: 200, MediaType: stream}, Unusable},
		{Head{Status: 200, Signed: true, Encoded: true, MediaType: stream}, Unusable},
		{Head{Status: 204, Signed: true, MediaType: stream}, Unusable},
		{Head{Status: 206, Signed: true, MediaType: stream}, Unusable},
		{Head{Status: 301, Signed: true, MediaType: stream}, Unusable},
		{Head{Status: 404, Signed: true, MediaType: stream}, Unusable},
		{Head{Status: 500, Signed: true, MediaType: stream}, Unusable},
		{Head{Status: 503, Signed: true}, Unusable},
		{Head{Status: 503, NotExecuted: true}, Rejected},
		{Head{Status: 421}, Rejected},
	} {
		if got := c.head.ClassifyContinuation(stream); got != c.want {
			t.Errorf("%+v = %v, want %v", c.head, got, c.want)
		}
	}
}
