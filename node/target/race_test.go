package target

import (
	"errors"
	"testing"
)

// The path from one data centre to another may fail, so the word of one relay does not show that a target failed.
func TestTargetFailsOnlyOnTheWordOfTwoRelays(t *testing.T) {
	direct := raceResult{err: errors.New("refused")}
	vouch := func(relay string) raceResult { return raceResult{relay: relay, err: ErrUnreachableFromRelay} }
	noHelp := raceResult{relay: "r3", err: errors.New("no path")}
	for _, test := range []struct {
		name     string
		failures []raceResult
		want     bool
	}{
		{"direct only", []raceResult{direct}, false},
		{"one relay", []raceResult{direct, vouch("r1"), noHelp}, false},
		{"relays only", []raceResult{vouch("r1"), vouch("r2")}, false},
		{"two relays", []raceResult{direct, vouch("r1"), vouch("r2")}, true},
	} {
		if got := targetFailed(test.failures); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}
