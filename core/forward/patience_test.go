package forward

import (
	"testing"
	"time"

	"doorstack.dev/core/fault"
)

// TestTimeoutsEndBeforeCallerTimeout: callers leave after the longest of 2 s, four goals and
// eight pauses; a target is left earlier, and not as soon as it is late.
func TestTimeoutsEndBeforeCallerTimeout(t *testing.T) {
	for name, c := range map[string]struct{ goal, gap, callers time.Duration }{
		"chat":     {300 * time.Millisecond, 250 * time.Millisecond, 2 * time.Second},
		"reading":  {1500 * time.Millisecond, 600 * time.Millisecond, 6 * time.Second},
		"referral": {3 * time.Second, time.Second, 12 * time.Second},
		"no goals": {0, 0, 2 * time.Second},
	} {
		p := StreamTimeouts(c.goal, c.gap)
		if p.FirstEvent <= 2*c.goal || p.FirstEvent > c.callers*3/4 {
			t.Errorf("%s: %v to the first event, callers wait %v", name, p.FirstEvent, c.callers)
		}
		if p.BetweenEvents <= 4*c.gap || p.BetweenEvents > c.callers*9/10 {
			t.Errorf("%s: %v between events, callers wait %v", name, p.BetweenEvents, c.callers)
		}
	}
	if p := PlainTimeouts(300 * time.Millisecond); p.FirstEvent != 600*time.Millisecond || p.BetweenEvents != 0 {
		t.Errorf("plain: %+v", p)
	}
	if p := PlainTimeouts(0); p != (SilenceTimeouts{}) {
		t.Errorf("without a goal there is no bound: %+v", p)
	}
}

func TestAtMost(t *testing.T) {
	for _, c := range []struct{ in, want SilenceTimeouts }{
		{SilenceTimeouts{}, SilenceTimeouts{FirstEvent: 7, BetweenEvents: 7}},
		{SilenceTimeouts{FirstEvent: 3, BetweenEvents: 9}, SilenceTimeouts{FirstEvent: 3, BetweenEvents: 7}},
	} {
		if got := c.in.AtMost(7); got != c.want {
			t.Errorf("%+v bounded by 7: %+v, want %+v", c.in, got, c.want)
		}
	}
}

// TestMayRetryAfterUnknown: whether a call may go elsewhere is asked before its send has ended.
func TestMayRetryAfterUnknown(t *testing.T) {
	for name, c := range map[string]struct {
		rules Rules
		ran   int
		want  bool
	}{
		"first of two":     {Rules{Repeatable: true, MaxAttempts: 2}, 0, true},
		"second of two":    {Rules{Repeatable: true, MaxAttempts: 2}, 1, false},
		"only one allowed": {Rules{Repeatable: true, MaxAttempts: 1}, 0, false},
		"not repeatable":   {Rules{MaxAttempts: 2}, 0, false},
	} {
		p := Progress{Rules: c.rules}
		for range c.ran {
			p.RecordFailure(fault.Unknown, true)
		}
		before := p
		if got := p.MayRetryAfterUnknown(); got != c.want || p != before {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
