package soak

import (
	"testing"
	"time"
)

// TestJudgeChecksHeldCalls checks the rule on calls that a starting daemon refuses: it guards against holds beyond
// their bound and against refusals of calls that were executed.
func TestJudgeChecksHeldCalls(t *testing.T) {
	for name, c := range map[string]struct {
		path     *Path
		held     time.Duration
		body     string
		executed bool
		rule     string
	}{
		"refused at the bound":                        {safePath, 1500 * time.Millisecond, notReadyKind, false, ""},
		"held beyond half of its timeout":             {safePath, 2600 * time.Millisecond, notReadyKind, false, "HELD"},
		"held beyond the longest hold":                {largePath, 3100 * time.Millisecond, notReadyKind, false, "HELD"},
		"refused for another reason":                  {safePath, 2600 * time.Millisecond, "overloaded", false, ""},
		"repeatable call refused, but executed":       {safePath, time.Second, notReadyKind, true, "HELD"},
		"repeatable call refused later, but executed": {safePath, time.Second, "overloaded", true, ""},
	} {
		t.Run(name, func(t *testing.T) {
			call, execution := successfulCall(c.path)
			call.Status, call.HasRetryAfter, call.Body, call.Done = 503, true, c.body, call.Sent.Add(c.held)
			record := &Record{Calls: []Call{call}}
			if c.executed {
				record.Executions = map[string][]Execution{"c": {execution}}
			}
			expectRule(t, Judge(record), c.rule)
		})
	}
}

// TestJudgeChecksServedHolds checks that a call which is served after a hold beyond its bound is a violation, and that
// the rule concerns calls at a start only.
func TestJudgeChecksServedHolds(t *testing.T) {
	for name, c := range map[string]struct {
		kind   Kind
		waited float64
		rule   string
	}{
		"held for the bound, then served":    {FleetStart, 1.5, ""},
		"held beyond the bound, then served": {FleetStart, 2.6, "HELD"},
		"waited at another time":             {TargetFailures, 2.6, ""},
	} {
		t.Run(name, func(t *testing.T) {
			call, execution := successfulCall(safePath)
			execution.Started, call.Done = timeAt(10+c.waited), timeAt(10.1+c.waited)
			expectRule(t, Judge(&Record{
				Calls: []Call{call}, Executions: map[string][]Execution{"c": {execution}},
				Disturbances: []Disturbance{{From: timeAt(9), To: timeAt(14), Kind: c.kind, Daemon: allDaemons}},
			}), c.rule)
		})
	}
}

// TestJudgeChecksMemory checks that memory which a daemon still holds for calls, or does not tell, is a violation.
func TestJudgeChecksMemory(t *testing.T) {
	expectRule(t, Judge(&Record{UnreleasedMemory: map[int]float64{0: 0, 1: 0}}), "")
	expectRule(t, Judge(&Record{UnreleasedMemory: map[int]float64{0: 0, 1: 4096}}), "MEMORY")
	expectRule(t, Judge(&Record{UnreleasedMemory: map[int]float64{0: 0, 1: -1}}), "MEMORY")
}

// TestJudgeChecksCoordinators checks that two coordinators, calls placed alone and redirects in every round are
// violations, and that one round without them is enough.
func TestJudgeChecksCoordinators(t *testing.T) {
	round := func(coordinate, alone, redirect []float64) Round {
		return Round{Steps: map[string]map[string][]float64{
			plainService:  {"coordinate": {0, 3, 0}, "ask": {3, 0, 3}},
			engineService: {"coordinate": coordinate, "alone": alone, "redirect": redirect},
		}}
	}
	one, none := []float64{3, 0, 0}, []float64{0, 0, 0}
	good, two := round(one, none, none), round([]float64{3, 0, 3}, none, none)
	for name, c := range map[string]struct {
		rounds []Round
		rule   string
	}{
		"one coordinator":              {[]Round{good}, ""},
		"two coordinators":             {[]Round{two, two}, "COORDINATOR"},
		"two coordinators, then one":   {[]Round{two, good}, ""},
		"nobody coordinates":           {[]Round{round(none, none, none)}, "COORDINATOR"},
		"a daemon decides alone":       {[]Round{round(one, []float64{0, 3, 0}, none)}, "COORDINATOR"},
		"a daemon is redirected":       {[]Round{round(one, none, []float64{0, 0, 1})}, "COORDINATOR"},
		"no calls of the pool counted": {[]Round{{Steps: map[string]map[string][]float64{plainService: good.Steps[plainService]}}}, "COORDINATOR"},
	} {
		t.Run(name, func(t *testing.T) { expectRule(t, Judge(&Record{Rounds: c.rounds}), c.rule) })
	}
}

// TestJudgeChecksFloods checks that an account without any answer during another account's flood is a violation.
func TestJudgeChecksFloods(t *testing.T) {
	call := func(account string, status int, sent float64) Call {
		c, _ := successfulCall(safePath)
		c.ID, c.Account, c.Status, c.HasRetryAfter, c.Sent, c.Done = "call of "+account, account, status, true, timeAt(sent), timeAt(sent+0.1)
		c.Body = safePath.Answer(c.ID)
		return c
	}
	flood := []Flood{{timeAt(10), timeAt(16), []string{accountName, "c"}}}
	for name, c := range map[string]struct {
		calls []Call
		rule  string
	}{
		"each account is served":           {[]Call{call("", 200, 11), call("c", 200, 12), call(floodAccount, 200, 11)}, ""},
		"one account is only refused":      {[]Call{call("", 200, 11), call("c", 429, 12), call(floodAccount, 200, 11)}, "STARVED"},
		"one account is served afterwards": {[]Call{call("", 200, 11), call("c", 200, 17)}, "STARVED"},
		"one account is served before":     {[]Call{call("", 200, 9), call("c", 200, 12)}, "STARVED"},
	} {
		t.Run(name, func(t *testing.T) { expectRule(t, Judge(&Record{Calls: c.calls, Floods: flood}), c.rule) })
	}
}

// TestJudgeChecksDrains checks that a call which gets no answer from one daemon while a coordinator drains is a
// violation, although no target executed it.
func TestJudgeChecksDrains(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Record, *Call)
		rule   string
	}{
		"connection closed at another daemon": {func(*Record, *Call) {}, "DRAINED"},
		"answer truncated":                    {func(_ *Record, c *Call) { c.Status = 200 }, "DRAINED"},
		"refused":                             {func(_ *Record, c *Call) { c.Status, c.Complete, c.HasRetryAfter = 503, true, true }, ""},
		"at the draining daemon":              {func(_ *Record, c *Call) { c.Daemon = 1 }, ""},
		"the caller disconnected":             {func(_ *Record, c *Call) { c.Disconnected = true }, ""},
		"after the drain":                     {func(r *Record, _ *Call) { r.Drains[0].From, r.Drains[0].To = timeAt(5), timeAt(9) }, ""},
		"a fault at the daemon": {func(r *Record, _ *Call) {
			r.Disturbances = []Disturbance{{From: timeAt(9), To: timeAt(12), Kind: Kill, Daemon: 0}}
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			call, _ := successfulCall(safePath)
			call.Status, call.Complete, call.Body = 0, false, ""
			record := &Record{Drains: []Drain{{timeAt(9.5), timeAt(11), 1}}}
			c.change(record, &call)
			record.Calls = []Call{call}
			expectRule(t, Judge(record), c.rule)
		})
	}
}

// TestPlanSlowsPeerLinks checks that a plan has slow links and single late links between daemons, all of which end
// within the duration: without them redirects and two coordinators at a time do not occur.
func TestPlanSlowsPeerLinks(t *testing.T) {
	kinds := map[Kind]int{}
	for _, e := range addPeerLinkEvents(nil, 2, ciDuration) {
		kinds[e.Kind]++
		if e.Start+e.Duration > ciDuration {
			t.Errorf("event %v ends after the duration of %v", e, ciDuration)
		}
	}
	if kinds[SlowPeers] != 1 || kinds[LatePeer] == 0 {
		t.Errorf("plan has events %v, want one time of slow links and at least one late link", kinds)
	}
}
