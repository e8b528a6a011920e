package routing

import (
	"math"
	"testing"
)

// limited names a limit at a target that is exhausted for some time.
func limited(t *Target, perSecond, wait float64) {
	t.Limit = &RateLimit{PerSecond: perSecond, Wait: wait}
}

// TestAnExhaustedTargetGetsNoCall: plain services, engines, and the engine that answers a long prompt.
func TestAnExhaustedTargetGetsNoCall(t *testing.T) {
	plain := []Target{{ID: "a", DataCentre: "a"}, {ID: "b", DataCentre: "b"}}
	limited(&plain[0], 1, 0.3)
	r, p := Request{ID: "r", DataCentre: "a"}, testParams()
	var s Scratch
	if d := s.Decide(&r, &p, plain); d.Chosen != "b" || d.Rejections.Limit != 1 {
		t.Errorf("a call goes to %q, %+v", d.Chosen, d.Rejections)
	}
	limited(&plain[1], 1, 0.1)
	if d := s.Decide(&r, &p, plain); d.Verdict != Wait {
		t.Errorf("with both exhausted: %s", d.Verdict)
	}
	list := engines(3)
	limited(&list[0], 1, 0.3)
	if d := decide(chat(), list); d.Verdict != Place || d.Chosen == "e00" {
		t.Errorf("a chat goes to %q", d.Chosen)
	}
	d := decide(referral(60_000, 0), list)
	if d.Verdict != Place || d.Chosen == "e00" || len(d.Helpers) != 2 {
		t.Errorf("a long prompt goes to %q, helped by %v", d.Chosen, d.Helpers)
	}
	for i := range list {
		limited(&list[i], 1, 0.3)
	}
	if d := decide(referral(60_000, 0), list); d.Verdict != Wait {
		t.Errorf("a long prompt with all exhausted: %s", d.Verdict)
	}
}

// TestATicketMayBeAtAnExhaustedTarget: it takes memory and no call.
func TestATicketMayBeAtAnExhaustedTarget(t *testing.T) {
	list := engines(4)
	list[1].Load.MemoryTokens = 1000
	limited(&list[0], 1, 0.3)
	d := decide(referral(500_000, 0), list)
	if d.Verdict != Place || d.Chosen == "e00" || len(d.Tickets) == 0 {
		t.Errorf("%s %q, tickets %v", d.Verdict, d.Chosen, d.Tickets)
	}
}

// TestADaemonThatDecidesAloneTakesItsPart: it does not know of the others' calls.
func TestADaemonThatDecidesAloneTakesItsPart(t *testing.T) {
	target := Target{ID: "a", Limit: &RateLimit{PerSecond: 2, Idle: 2.4}}
	r := Request{Blind: true, Sharers: 5}
	if wait := target.Limit.wait(&r); math.Abs(wait-0.1) > 1e-9 {
		t.Errorf("its next call is in %v s, want 0.1 s", wait)
	}
	target.Limit.Idle = 2.6
	if target.exhausted(&r) {
		t.Error("its part is not used")
	}
}

// TestWhatComesTooLateUnderLimitsIsRefusedAtOnce: with the time at which its turn would have come.
func TestWhatComesTooLateUnderLimitsIsRefusedAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		request  Request
		before   int
		change   func([]Target)
		refused  bool
		comeBack float64
	}{
		"in time":                       {Request{Goal: 0.3, Left: 3}, 0, nil, false, 0},
		"after its goal":                {Request{Goal: 0.3, Left: 3}, 2, nil, true, 0.6},
		"no goal":                       {Request{Left: 3}, 8, nil, false, 0},
		"after its deadline":            {Request{Left: 3}, 12, nil, true, 3.1},
		"let wait":                      {Request{Goal: 0.3, Waited: 0.2, Left: 3, LetWait: true}, 2, nil, false, 0},
		"let wait, after its deadline":  {Request{Goal: 0.3, Left: 0.5, LetWait: true}, 2, nil, true, 0.6},
		"placed before":                 {Request{Goal: 0.3, Left: 3, Retry: true}, 2, nil, false, 0},
		"its answer has begun":          {Request{Goal: 0.3, Left: 0.1, Begun: true}, 9, nil, false, 0},
		"a target names none":           {Request{Goal: 0.3, Left: 3}, 9, func(l []Target) { l[1].Limit = nil }, false, 0},
		"it has been to that":           {Request{Goal: 0.3, Left: 3, Exclude: []string{"b"}}, 0, func(l []Target) { l[1].Limit = nil }, false, 0},
		"that has gone":                 {Request{Goal: 0.3, Left: 3}, 1, func(l []Target) { l[1].Limit, l[1].State = nil, Gone }, true, 1.1},
		"a daemon that decides alone":   {Request{Goal: 0.3, Left: 3, Blind: true, Sharers: 2}, 0, func(l []Target) { l[0].Limit.Idle, l[1].Limit.Idle = 9, 9 }, false, 0},
		"that has sent one just before": {Request{Goal: 0.3, Left: 3, Blind: true, Sharers: 2}, 0, nil, true, 1},
	} {
		list := []Target{{ID: "a"}, {ID: "b"}}
		limited(&list[0], 1, 0.1)
		limited(&list[1], 3, 0.2)
		if name == "that has sent one just before" {
			list[1].Limit.PerSecond = 2
		}
		if c.change != nil {
			c.change(list)
		}
		d, refused := RefuseExhausted(&c.request, c.before, list)
		if refused != c.refused || refused && (d.Verdict != Refuse || math.Abs(d.ComeBack-c.comeBack) > 1e-9) {
			t.Errorf("%s: refused %v, back after %v s", name, refused, d.ComeBack)
		}
	}
}
