package admission

import (
	"testing"
	"time"
)

// TestStartingBoundsCallWait: a call waits for a daemon that has just started, no longer than
// callers leave a connection on which nothing is read, and at one that waits for long
// already it is refused at once.
func TestStartingBoundsCallWait(t *testing.T) {
	const unread = time.Second // after which a caller gives a connection up
	for _, c := range []struct {
		what      string
		age, left time.Duration
		want      time.Duration
	}{
		{"just started", 0, 10 * time.Second, 800 * time.Millisecond},
		{"just started, a caller that says nothing", 0, 0, 800 * time.Millisecond},
		{"started for a while", time.Second, 10 * time.Second, 500 * time.Millisecond},
		{"a caller in a hurry", 0, 600 * time.Millisecond, 300 * time.Millisecond},
		{"waiting for long", 1500 * time.Millisecond, 10 * time.Second, 0},
		{"waiting for longer", time.Minute, 10 * time.Second, 0},
	} {
		got := Starting{Age: c.age, CallerTimeout: c.left}.MaxWait()
		if got != c.want {
			t.Errorf("%s: held for %v, want %v", c.what, got, c.want)
		}
		if got >= unread {
			t.Errorf("%s: held for %v, when the caller has gone", c.what, got)
		}
	}
}

// TestStartingRetryAfterDependsOnOtherDaemons: at once where another daemon serves, and spread over
// half a second where the whole fleet waits.
func TestStartingRetryAfterDependsOnOtherDaemons(t *testing.T) {
	for _, s := range []Starting{{OtherDaemons: 0}, {OtherDaemons: 5, OthersServe: true}} {
		if got := s.RetryAfter(1); got > 100*time.Millisecond {
			t.Errorf("%+v: back after %v, though another daemon serves", s, got)
		}
	}
	all := Starting{OtherDaemons: 294}
	first, last := all.RetryAfter(0), all.RetryAfter(1)
	if first < 500*time.Millisecond || last > 1500*time.Millisecond || last-first < 400*time.Millisecond {
		t.Errorf("callers of a fleet that waits come back after %v to %v", first, last)
	}
}
