package target

import (
	"errors"
	"testing"
)

// The path from one data centre to another may fail, so one relay that cannot connect does not show that a target failed.
func TestTargetFailsOnlyIfTwoRelaysCannotConnect(t *testing.T) {
	direct := raceResult{err: errors.New("refused")}
	unreachable := func(relay string) raceResult { return raceResult{relay: relay, err: ErrUnreachableFromRelay} }
	noHelp := raceResult{relay: "r3", err: errors.New("no path")}
	for _, test := range []struct {
		name     string
		failures []raceResult
		want     bool
	}{
		{"direct only", []raceResult{direct}, false},
		{"one relay", []raceResult{direct, unreachable("r1"), noHelp}, false},
		{"relays only", []raceResult{unreachable("r1"), unreachable("r2")}, false},
		{"two relays", []raceResult{direct, unreachable("r1"), unreachable("r2")}, true},
	} {
		if got := targetFailed(test.failures); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}
