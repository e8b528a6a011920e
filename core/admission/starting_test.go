package admission

import (
	"testing"
	"time"
)

// TestStartingBoundsCallWait checks that a call waits for a daemon that has just started, for
// less time than callers keep a connection on which nothing is read, and that a daemon that
// has been starting for long refuses it at once.
func TestStartingBoundsCallWait(t *testing.T) {
	const unreadTimeout = time.Second // after which a caller drops a connection on which nothing is read
	for _, c := range []struct {
		what      string
		age, left time.Duration
		want      time.Duration
	}{
		{"just started", 0, 10 * time.Second, 800 * time.Millisecond},
		{"just started, no caller timeout", 0, 0, 800 * time.Millisecond},
		{"starting for 1s", time.Second, 10 * time.Second, 500 * time.Millisecond},
		{"short caller timeout", 0, 600 * time.Millisecond, 300 * time.Millisecond},
		{"starting for 1.5s", 1500 * time.Millisecond, 10 * time.Second, 0},
		{"starting for 1m", time.Minute, 10 * time.Second, 0},
	} {
		got := Starting{Age: c.age, CallerTimeout: c.left}.MaxWait()
		if got != c.want {
			t.Errorf("%s: MaxWait() = %v, want %v", c.what, got, c.want)
		}
		if got >= unreadTimeout {
			t.Errorf("%s: MaxWait() = %v, want less than %v, after which the caller has gone", c.what, got, unreadTimeout)
		}
	}
}

// TestStartingRetryAfterDependsOnOtherDaemons checks that callers retry almost at once where
// another daemon serves, and spread over half a second where the whole fleet is starting.
func TestStartingRetryAfterDependsOnOtherDaemons(t *testing.T) {
	for _, s := range []Starting{{OtherDaemons: 0}, {OtherDaemons: 5, OthersServe: true}} {
		if got := s.RetryAfter(1); got > 100*time.Millisecond {
			t.Errorf("RetryAfter(1) of %+v = %v, want at most 100ms, since another daemon serves", s, got)
		}
	}
	all := Starting{OtherDaemons: 294}
	first, last := all.RetryAfter(0), all.RetryAfter(1)
	if first < 500*time.Millisecond || last > 1500*time.Millisecond || last-first < 400*time.Millisecond {
		t.Errorf("RetryAfter(0), RetryAfter(1) of %+v = %v, %v; want 500ms to 1.5s, at least 400ms apart", all, first, last)
	}
}
