package forward

import (
	"testing"
	"time"

	"doorstack.dev/core/fault"
)

// TestPatienceEndsBeforeTheCallers: callers leave after the longest of 2 s, four goals and
// eight pauses; a target is left earlier, and not as soon as it is late.
func TestPatienceEndsBeforeTheCallers(t *testing.T) {
	for name, c := range map[string]struct{ goal, gap, callers time.Duration }{
		"chat":     {300 * time.Millisecond, 250 * time.Millisecond, 2 * time.Second},
		"reading":  {1500 * time.Millisecond, 600 * time.Millisecond, 6 * time.Second},
		"referral": {3 * time.Second, time.Second, 12 * time.Second},
		"no goals": {0, 0, 2 * time.Second},
	} {
		p := StreamPatience(c.goal, c.gap)
		if p.First <= 2*c.goal || p.First > c.callers*3/4 {
			t.Errorf("%s: %v to the first event, callers wait %v", name, p.First, c.callers)
		}
		if p.Pause <= 4*c.gap || p.Pause > c.callers*9/10 {
			t.Errorf("%s: %v between events, callers wait %v", name, p.Pause, c.callers)
		}
	}
	if p := PlainPatience(300 * time.Millisecond); p.First != 600*time.Millisecond || p.Pause != 0 {
		t.Errorf("plain: %+v", p)
	}
	if p := PlainPatience(0); p != (Patience{}) {
		t.Errorf("without a goal there is no bound: %+v", p)
	}
}

func TestPatienceBefore(t *testing.T) {
	for _, c := range []struct{ in, want Patience }{
		{Patience{}, Patience{First: 7, Pause: 7}},
		{Patience{First: 3, Pause: 9}, Patience{First: 3, Pause: 7}},
	} {
		if got := c.in.Before(7); got != c.want {
			t.Errorf("%+v bounded by 7: %+v, want %+v", c.in, got, c.want)
		}
	}
}

// TestMayTryAfter: whether a call may go elsewhere is asked before its send has ended.
func TestMayTryAfter(t *testing.T) {
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
			p.Failed(fault.Unknown, true)
		}
		before := p
		if got := p.MayTryAfter(); got != c.want || p != before {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
