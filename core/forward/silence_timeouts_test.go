package forward

import (
	"testing"
	"time"

	"doorstack.dev/core/fault"
)

// TestTimeoutsEndBeforeCallerTimeout checks that a silent target is given up before its caller gives up,
// but not as soon as the target misses the goal. The caller waits for the longest of 2 s, four times
// the goal and eight times the gap goal.
func TestTimeoutsEndBeforeCallerTimeout(t *testing.T) {
	for name, c := range map[string]struct{ goal, gap, callerTimeout time.Duration }{
		"chat":                        {300 * time.Millisecond, 250 * time.Millisecond, 2 * time.Second},
		"prefill":                     {1500 * time.Millisecond, 600 * time.Millisecond, 6 * time.Second},
		"long prompt (referral file)": {3 * time.Second, time.Second, 12 * time.Second},
		"no goals":                    {0, 0, 2 * time.Second},
	} {
		p := StreamTimeouts(c.goal, c.gap)
		if p.FirstEvent <= 2*c.goal || p.FirstEvent > c.callerTimeout*3/4 {
			t.Errorf("%s: FirstEvent = %v, want more than %v and at most %v", name, p.FirstEvent, 2*c.goal, c.callerTimeout*3/4)
		}
		if p.BetweenEvents <= 4*c.gap || p.BetweenEvents > c.callerTimeout*9/10 {
			t.Errorf("%s: BetweenEvents = %v, want more than %v and at most %v", name, p.BetweenEvents, 4*c.gap, c.callerTimeout*9/10)
		}
	}
	if p := PlainTimeouts(300 * time.Millisecond); p.FirstEvent != 600*time.Millisecond || p.BetweenEvents != 0 {
		t.Errorf("PlainTimeouts(300ms) = %+v, want 600ms to the first event and no other bound", p)
	}
	if p := PlainTimeouts(0); p != (SilenceTimeouts{}) {
		t.Errorf("PlainTimeouts(0) = %+v, want no bounds", p)
	}
}

func TestAtMost(t *testing.T) {
	for _, c := range []struct{ in, want SilenceTimeouts }{
		{SilenceTimeouts{}, SilenceTimeouts{FirstEvent: 7, BetweenEvents: 7}},
		{SilenceTimeouts{FirstEvent: 3, BetweenEvents: 9}, SilenceTimeouts{FirstEvent: 3, BetweenEvents: 7}},
	} {
		if got := c.in.AtMost(7); got != c.want {
			t.Errorf("%+v.AtMost(7) = %+v, want %+v", c.in, got, c.want)
		}
	}
}

// TestMayRetryAfterUnknown checks that the method answers for a send that is still in progress, and does
// not record that send as ended.
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
			t.Errorf("%s: MayRetryAfterUnknown() = %v, want %v and an unchanged Progress", name, got, c.want)
		}
	}
}
