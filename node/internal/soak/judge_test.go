package soak

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

var recordStart = time.Unix(1_000_000, 0)

// timeAt returns the time so many seconds after the start of the record.
func timeAt(seconds float64) time.Time {
	return recordStart.Add(time.Duration(seconds * float64(time.Second)))
}

// successfulCall returns a call at daemon 0 with a complete answer, and its execution.
func successfulCall(path *Path) (Call, Execution) {
	c := Call{ID: "c", Path: path, Sent: timeAt(10), Done: timeAt(10.1), Timeout: path.Timeout, Status: 200, Complete: true, Body: path.Answer("c")}
	return c, Execution{ID: "c", Target: "t1", Service: path.Service, Account: accountName, Started: timeAt(10.01), Ended: timeAt(10.09)}
}

// TestJudgeReportsEachViolation checks that a record which violates one guarantee yields exactly
// that violation.
func TestJudgeReportsEachViolation(t *testing.T) {
	for name, c := range map[string]struct {
		path   *Path
		change func(*Record, *Call, *Execution) []Execution // returns the executions of the call
		rule   string
	}{
		"no violation":               {unsafePath, func(_ *Record, _ *Call, r *Execution) []Execution { return []Execution{*r} }, ""},
		"unsafe call executed twice": {unsafePath, func(_ *Record, _ *Call, r *Execution) []Execution { return []Execution{*r, *r} }, "TWICE"},
		"executed again for a repeat": {unsafePath, func(r *Record, c *Call, e *Execution) []Execution {
			c.RepeatedAt = e.Ended
			r.Disturbances = []Disturbance{{From: c.Sent, To: c.Done, Kind: FrontendReset, Daemon: c.Daemon}}
			return []Execution{*e, *e}
		}, "TWICE"},
		"executed again after two daemons ended": {unsafePath, func(r *Record, c *Call, e *Execution) []Execution {
			c.RepeatedAt = e.Ended
			r.Disturbances = []Disturbance{{From: c.Sent, To: c.Done, Kind: Kill, Daemon: c.Daemon}, {From: c.Sent, To: c.Done, Kind: Term, Daemon: c.Daemon + 1}}
			return []Execution{*e, *e}
		}, "TWICE"},
		"executed again after three daemons ended": {unsafePath, func(r *Record, c *Call, e *Execution) []Execution {
			c.RepeatedAt = e.Ended
			r.Disturbances = []Disturbance{{From: c.Sent, To: c.Done, Kind: Kill, Daemon: c.Daemon}, {From: c.Sent, To: c.Done, Kind: Term, Daemon: c.Daemon + 1}, {From: c.Sent, To: c.Done, Kind: Kill, Daemon: c.Daemon + 2}}
			return []Execution{*e, *e}
		}, ""},
		"executed again while three daemons are suspended": {unsafePath, func(r *Record, c *Call, e *Execution) []Execution {
			c.RepeatedAt = e.Ended
			for i := range sendWitnesses {
				r.Disturbances = append(r.Disturbances, Disturbance{From: c.Sent, To: c.Done, Kind: Suspend, Daemon: c.Daemon + i})
			}
			return []Execution{*e, *e}
		}, "TWICE"},
		"connection closed without a fault, then a failure for the repeat": {unsafePath, func(_ *Record, c *Call, e *Execution) []Execution {
			c.RepeatedAt, c.Status = e.Ended, 502
			return []Execution{*e}
		}, "LOST"},
		"executed twice by two processes without a repeat": {unsafePath, func(r *Record, c *Call, e *Execution) []Execution {
			r.ProcessStarts = map[int][]time.Time{c.Daemon: {c.Sent.Add(-time.Second), c.Sent.Add(time.Millisecond)}}
			return []Execution{*e, *e}
		}, "TWICE"},
		"connection closed without a fault, then executed for the repeat": {unsafePath, func(_ *Record, c *Call, e *Execution) []Execution {
			c.RepeatedAt = e.Started.Add(-time.Millisecond)
			return []Execution{*e}
		}, ""},
		"rejected, then executed": {unsafePath, func(_ *Record, _ *Call, r *Execution) []Execution {
			rejected := *r
			rejected.Rejected = true
			return []Execution{rejected, *r}
		}, ""},
		"refused but executed": {unsafePath, func(_ *Record, c *Call, r *Execution) []Execution {
			c.Status, c.HasRetryAfter = 503, true
			return []Execution{*r}
		}, "REFUSED"},
		"refused without Retry-After": {unsafePath, func(_ *Record, c *Call, _ *Execution) []Execution {
			c.Status = 503
			return nil
		}, "REFUSED"},
		"answer of another call": {safePath, func(_ *Record, c *Call, r *Execution) []Execution {
			c.Body = safePath.Answer("other")
			return []Execution{*r}
		}, "MIXED"},
		"missing event": {streamPath, func(_ *Record, c *Call, r *Execution) []Execution {
			_, c.Body, _ = strings.Cut(c.Body, "\n\n")
			return []Execution{*r}
		}, "MIXED"},
		"success that no target gave": {unsafePath, func(_ *Record, c *Call, _ *Execution) []Execution {
			c.Status, c.Body, c.Unsigned, c.Disconnected, c.HalfClosed = 204, "", true, true, true
			return nil
		}, "MIXED"},
		"failure that no target gave": {unsafePath, func(_ *Record, c *Call, r *Execution) []Execution {
			c.Status, c.Unsigned = 502, true
			return []Execution{*r}
		}, ""},
		"sent under another path": {safePath, func(_ *Record, c *Call, r *Execution) []Execution {
			c.URI, r.URI = "/safe/%2e%2e/x", "/x"
			return []Execution{*r}
		}, "UNASKED"},
		"executed by another service": {safePath, func(_ *Record, _ *Call, r *Execution) []Execution {
			r.Service = engineService
			return []Execution{*r}
		}, "ROUTE"},
		"executed for another account": {safePath, func(_ *Record, _ *Call, r *Execution) []Execution {
			r.Account = "b"
			return []Execution{*r}
		}, "UNASKED"},
		"API key forwarded to target": {safePath, func(_ *Record, _ *Call, r *Execution) []Execution {
			r.APIKey = apiKey
			return []Execution{*r}
		}, "UNASKED"},
		"three attempts, two allowed": {safePath, func(_ *Record, _ *Call, r *Execution) []Execution { return []Execution{*r, *r, *r} }, "BUDGET"},
		"connection closed after execution": {unsafePath, func(_ *Record, c *Call, r *Execution) []Execution {
			c.Status, c.Complete = 0, false
			return []Execution{*r}
		}, "LOST"},
		"connection closed during kill of the daemon": {unsafePath, func(rec *Record, c *Call, r *Execution) []Execution {
			c.Status, c.Complete = 0, false
			rec.Disturbances = []Disturbance{{From: timeAt(9), To: timeAt(12), Kind: Kill, Daemon: 0}}
			return []Execution{*r}
		}, ""},
		"connection closed during kill of another daemon": {unsafePath, func(rec *Record, c *Call, r *Execution) []Execution {
			c.Status, c.Complete = 0, false
			rec.Disturbances = []Disturbance{{From: timeAt(9), To: timeAt(12), Kind: Kill, Daemon: 1}}
			return []Execution{*r}
		}, "LOST"},
		"connection closed during planned restart": {unsafePath, func(rec *Record, c *Call, r *Execution) []Execution {
			c.Status, c.Complete = 0, false
			rec.Disturbances = []Disturbance{{From: timeAt(9), To: timeAt(12), Kind: Term, Daemon: 0}}
			return []Execution{*r}
		}, "LOST"},
		"answer after timeout": {safePath, func(_ *Record, c *Call, r *Execution) []Execution {
			c.Done = timeAt(10).Add(c.Timeout + 2*time.Second)
			return []Execution{*r}
		}, "CONFIG"},
		"execution started after disconnect": {safePath, func(_ *Record, c *Call, r *Execution) []Execution {
			c.Disconnected, c.Status, c.Complete = true, 0, false
			r.Started = timeAt(13)
			return []Execution{*r}
		}, "GONE"},
		"reservation not released": {safePath, func(rec *Record, _ *Call, r *Execution) []Execution {
			rec.UnreleasedReservations = []string{"x"}
			return []Execution{*r}
		}, "LEAK"},
	} {
		t.Run(name, func(t *testing.T) {
			call, execution := successfulCall(c.path)
			record := &Record{}
			record.Executions = map[string][]Execution{"c": c.change(record, &call, &execution)}
			record.Calls = []Call{call}
			expectRule(t, Judge(record), c.rule)
		})
	}
}

// expectRule checks that the violations are a single one, of a rule, or none if the rule is empty.
func expectRule(t *testing.T, got []Violation, rule string) {
	t.Helper()
	switch {
	case rule == "" && len(got) > 0:
		t.Errorf("Judge() = %v, want no violations", got)
	case rule != "" && (len(got) != 1 || got[0].Rule != rule):
		t.Errorf("Judge() = %v, want one violation of rule %s", got, rule)
	}
}

// TestJudgeChecksConfigurationOrder checks calls of temporary routes: route 1 is in force from 0 to
// 20 s, route 2 from 10 s on.
func TestJudgeChecksConfigurationOrder(t *testing.T) {
	published := []PublishedConfig{{timeAt(0), 1, 1}, {timeAt(10), 1, 2}, {timeAt(20), 2, 2}}
	call := func(route, status int, sent float64) Call {
		c, _ := successfulCall(safePath)
		c.TemporaryRoute, c.Status, c.Sent, c.Done = route, status, timeAt(sent), timeAt(sent+0.1)
		if status != 200 {
			c.Body = ""
		}
		return c
	}
	for name, c := range map[string]struct {
		calls []Call
		rule  string
	}{
		"served while in force":                   {[]Call{call(1, 200, 5)}, ""},
		"denied while in force":                   {[]Call{call(1, 404, 5)}, "DENIED"},
		"denied before published":                 {[]Call{call(2, 404, 5)}, ""},
		"denied within the apply time":            {[]Call{call(2, 404, 11)}, ""},
		"denied after the apply time":             {[]Call{call(2, 404, 13)}, "DENIED"},
		"removed, served within the apply time":   {[]Call{call(1, 200, 21)}, ""},
		"removed, served after the apply time":    {[]Call{call(1, 200, 23)}, "CONFIG"},
		"served, then denied by the same process": {[]Call{call(2, 200, 10.5), call(2, 404, 11)}, "CONFIG"},
		"denied after removal":                    {[]Call{call(1, 200, 19), call(1, 404, 21)}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			record := &Record{Calls: c.calls, Published: published, ProcessStarts: map[int][]time.Time{0: {timeAt(0)}}}
			expectRule(t, Judge(record), c.rule)
		})
	}
	record := &Record{
		Calls: []Call{call(2, 200, 10.5), call(2, 404, 11.5)}, Published: published,
		ProcessStarts: map[int][]time.Time{0: {timeAt(0), timeAt(11)}}, // A restarted process may use an older configuration for some time.
	}
	expectRule(t, Judge(record), "")
}

// TestPlanIsDeterminedBySeed checks that a seed always gives the same plan and another seed a
// different one, that all events end within the duration, and that the plans of 20 seeds have at
// least 19 kinds of events.
func TestPlanIsDeterminedBySeed(t *testing.T) {
	a, b, other := NewPlan(7, time.Minute), NewPlan(7, time.Minute), NewPlan(8, time.Minute)
	if len(a) < 60 || len(a) != len(b) {
		t.Fatalf("NewPlan(7) returned %d, then %d events, want equal numbers of at least 60", len(a), len(b))
	}
	seen := map[Kind]bool{}
	differs := false
	for i := range a {
		if a[i] != b[i] {
			t.Fatalf("event %d of NewPlan(7) is %v, then %v", i, a[i], b[i])
		}
		differs = differs || i < len(other) && a[i] != other[i]
		if a[i].Start+a[i].Duration > time.Minute {
			t.Errorf("event %v ends after the duration of %v", a[i], time.Minute)
		}
	}
	for seed := range uint64(20) {
		for _, e := range NewPlan(seed, time.Minute) {
			seen[e.Kind] = true
		}
	}
	if !differs || len(seen) < 19 {
		t.Errorf("plans of seeds 7 and 8 differ: %v, want true; plans of 20 seeds have %d kinds of events, want at least 19", differs, len(seen))
	}
}

// TestJudgeChecksTargetNotices checks the rules on backoff and draining notices of targets, and on
// calls that crash targets.
func TestJudgeChecksTargetNotices(t *testing.T) {
	at := func(d time.Duration) time.Time { return recordStart.Add(d) }
	s := time.Second
	call := func(id, body string, sent time.Duration) Call {
		return Call{ID: id, Path: safePath, Sent: at(sent), Done: at(sent + s/10), Status: 200, Complete: true, RequestBody: body, Body: safePath.Answer(id)}
	}
	execution := func(id string, begins time.Duration, change func(*Execution)) Execution {
		r := Execution{ID: id, Target: "t", Service: plainService, Account: accountName, Started: at(begins), Ended: at(begins + s/20)}
		change(&r)
		return r
	}
	noChange := func(*Execution) {}
	backsOff := func(r *Execution) { r.Backoff, r.Rejected = 3*s, true }
	drains := func(r *Execution) { r.Draining = true }
	crashes := func(r *Execution) { r.Crashed = true }
	// newRecord returns the record of a call at the start, whose execution is changed by first, and
	// of calls sent at sendTimes after the start, whose executions are changed by later.
	newRecord := func(body string, first func(*Execution), later func(*Execution), sendTimes ...time.Duration) *Record {
		r := &Record{Executions: map[string][]Execution{}, Calls: []Call{call("0", body, 0)}, ProcessStarts: map[int][]time.Time{}}
		r.Executions["0"] = []Execution{execution("0", 0, first)}
		for i, sentAfter := range sendTimes {
			id := fmt.Sprint(i + 1)
			r.Calls = append(r.Calls, call(id, body, sentAfter))
			r.Executions[id] = []Execution{execution(id, sentAfter, later)}
		}
		return r
	}
	kill := func(r *Record) *Record {
		r.Disturbances = []Disturbance{{From: at(s / 2), To: at(3 * s), Kind: Kill}}
		return r
	}
	for name, c := range map[string]struct {
		record *Record
		rule   string
	}{
		"three calls within the backoff":                {newRecord("b", backsOff, noChange, s, 2*s, 2*s+s/2), "BUDGET"},
		"two calls within the backoff":                  {newRecord("b", backsOff, noChange, s/4, s, 2*s, 4*s), ""},
		"backoff notice, then kill":                     {kill(newRecord("b", backsOff, noChange, s, 2*s, 2*s+s/2)), ""},
		"call after the drain time":                     {newRecord("b", drains, noChange, s, 3*s), "DRAIN"},
		"call within the drain time":                    {newRecord("b", drains, noChange, s, 2*s), ""},
		"draining notice, then kill":                    {kill(newRecord("b", drains, noChange, s, 3*s)), ""},
		"four more sends of a crashing call":            {newRecord(crashBodyPrefix, crashes, crashes, s, 2*s, 6*s, 7*s, 8*s, 9*s), "BUDGET"},
		"three more sends of a crashing call":           {newRecord(crashBodyPrefix, crashes, crashes, s, 2*s, 6*s, 7*s, 8*s), ""},
		"sends before all daemons can know the crashes": {newRecord(crashBodyPrefix, crashes, crashes, s, 2*s, 3*s, 4*s, 5*s, 5*s), ""},
	} {
		var rules []string
		for _, v := range Judge(c.record) {
			rules = append(rules, v.Rule)
		}
		if got := strings.Join(slices.Compact(rules), " "); got != c.rule {
			t.Errorf("%s: Judge() violations are of rules %q, want %q", name, got, c.rule)
		}
	}
}
