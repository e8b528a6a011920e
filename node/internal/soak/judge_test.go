package soak

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

var recordStart = time.Unix(1_000_000, 0)

// timeAt is a moment of a made-up run.
func timeAt(seconds float64) time.Time {
	return recordStart.Add(time.Duration(seconds * float64(time.Second)))
}

// successfulCall is a call at daemon 0 that was answered whole, and the run that answered it.
func successfulCall(path *Path) (Call, Execution) {
	c := Call{ID: "c", Path: path, Sent: timeAt(10), Done: timeAt(10.1), Timeout: path.Timeout, Status: 200, Complete: true, Body: path.Answer("c")}
	return c, Execution{ID: "c", Target: "t1", Service: path.Service, Account: accountName, Started: timeAt(10.01), Ended: timeAt(10.09)}
}

// TestJudgeReportsEachViolation: a record that breaks one promise shows just that one.
func TestJudgeReportsEachViolation(t *testing.T) {
	for name, c := range map[string]struct {
		path   *Path
		change func(*Record, *Call, *Execution) []Execution // the runs
		rule   string
	}{
		"nothing wrong": {unsafePath, func(_ *Record, _ *Call, r *Execution) []Execution { return []Execution{*r} }, ""},
		"unsafe twice":  {unsafePath, func(_ *Record, _ *Call, r *Execution) []Execution { return []Execution{*r, *r} }, "TWICE"},
		"turned away, then run": {unsafePath, func(_ *Record, _ *Call, r *Execution) []Execution {
			away := *r
			away.Rejected = true
			return []Execution{away, *r}
		}, ""},
		"refused and run": {unsafePath, func(_ *Record, c *Call, r *Execution) []Execution {
			c.Status, c.HasRetryAfter = 503, true
			return []Execution{*r}
		}, "REFUSED"},
		"refused without a time": {unsafePath, func(_ *Record, c *Call, _ *Execution) []Execution {
			c.Status = 503
			return nil
		}, "REFUSED"},
		"another's answer": {safePath, func(_ *Record, c *Call, r *Execution) []Execution {
			c.Body = safePath.Answer("other")
			return []Execution{*r}
		}, "MIXED"},
		"an event missing": {streamPath, func(_ *Record, c *Call, r *Execution) []Execution {
			_, c.Body, _ = strings.Cut(c.Body, "\n\n")
			return []Execution{*r}
		}, "MIXED"},
		"another service": {safePath, func(_ *Record, _ *Call, r *Execution) []Execution {
			r.Service = engineService
			return []Execution{*r}
		}, "ROUTE"},
		"another account": {safePath, func(_ *Record, _ *Call, r *Execution) []Execution {
			r.Account = "b"
			return []Execution{*r}
		}, "UNASKED"},
		"the key went on": {safePath, func(_ *Record, _ *Call, r *Execution) []Execution {
			r.APIKey = apiKey
			return []Execution{*r}
		}, "UNASKED"},
		"three attempts of two": {safePath, func(_ *Record, _ *Call, r *Execution) []Execution { return []Execution{*r, *r, *r} }, "BUDGET"},
		"cut after it was passed on": {unsafePath, func(_ *Record, c *Call, r *Execution) []Execution {
			c.Status, c.Complete = 0, false
			return []Execution{*r}
		}, "LOST"},
		"cut at a kill": {unsafePath, func(rec *Record, c *Call, r *Execution) []Execution {
			c.Status, c.Complete = 0, false
			rec.Disturbances = []Disturbance{{From: timeAt(9), To: timeAt(12), Kind: Kill, Daemon: 0}}
			return []Execution{*r}
		}, ""},
		"cut at another daemon's kill": {unsafePath, func(rec *Record, c *Call, r *Execution) []Execution {
			c.Status, c.Complete = 0, false
			rec.Disturbances = []Disturbance{{From: timeAt(9), To: timeAt(12), Kind: Kill, Daemon: 1}}
			return []Execution{*r}
		}, "LOST"},
		"cut at a restart": {unsafePath, func(rec *Record, c *Call, r *Execution) []Execution {
			c.Status, c.Complete = 0, false
			rec.Disturbances = []Disturbance{{From: timeAt(9), To: timeAt(12), Kind: Term, Daemon: 0}}
			return []Execution{*r}
		}, "LOST"},
		"too late": {safePath, func(_ *Record, c *Call, r *Execution) []Execution {
			c.Done = timeAt(10).Add(c.Timeout + 2*time.Second)
			return []Execution{*r}
		}, "CONFIG"},
		"begun for one who left": {safePath, func(_ *Record, c *Call, r *Execution) []Execution {
			c.Disconnected, c.Status, c.Complete = true, 0, false
			r.Started = timeAt(13)
			return []Execution{*r}
		}, "GONE"},
		"memory held": {safePath, func(rec *Record, _ *Call, r *Execution) []Execution {
			rec.UnreleasedReservations = []string{"x"}
			return []Execution{*r}
		}, "LEAK"},
	} {
		t.Run(name, func(t *testing.T) {
			call, run := successfulCall(c.path)
			record := &Record{}
			record.Executions = map[string][]Execution{"c": c.change(record, &call, &run)}
			record.Calls = []Call{call}
			expectRule(t, Judge(record), c.rule)
		})
	}
}

func expectRule(t *testing.T, got []Violation, rule string) {
	t.Helper()
	switch {
	case rule == "" && len(got) > 0:
		t.Errorf("found %v", got)
	case rule != "" && (len(got) != 1 || got[0].Rule != rule):
		t.Errorf("found %v, want %s", got, rule)
	}
}

// TestJudgeChecksConfigurationOrder: route 1 is in force from 0 to 20 s, route 2 from 10 s on.
func TestJudgeChecksConfigurationOrder(t *testing.T) {
	published := []PublishedConfig{{timeAt(0), 1, 1}, {timeAt(10), 1, 2}, {timeAt(20), 2, 2}}
	call := func(route, status int, sent float64) Call {
		c, _ := successfulCall(safePath)
		c.Route, c.Status, c.Sent, c.Done = route, status, timeAt(sent), timeAt(sent+0.1)
		if status != 200 {
			c.Body = ""
		}
		return c
	}
	for name, c := range map[string]struct {
		calls []Call
		rule  string
	}{
		"in force":              {[]Call{call(1, 200, 5)}, ""},
		"denied though allowed": {[]Call{call(1, 404, 5)}, "DENIED"},
		"not yet":               {[]Call{call(2, 404, 5)}, ""},
		"new, within the time":  {[]Call{call(2, 404, 11)}, ""},
		"new, after it":         {[]Call{call(2, 404, 13)}, "DENIED"},
		"gone, within the time": {[]Call{call(1, 200, 21)}, ""},
		"gone, after it":        {[]Call{call(1, 200, 23)}, "CONFIG"},
		"back":                  {[]Call{call(2, 200, 10.5), call(2, 404, 11)}, "CONFIG"},
		"no longer":             {[]Call{call(1, 200, 19), call(1, 404, 21)}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			record := &Record{Calls: c.calls, Published: published, ProcessStarts: map[int][]time.Time{0: {timeAt(0)}}}
			expectRule(t, Judge(record), c.rule)
		})
	}
	record := &Record{
		Calls: []Call{call(2, 200, 10.5), call(2, 404, 11.5)}, Published: published,
		ProcessStarts: map[int][]time.Time{0: {timeAt(0), timeAt(11)}}, // Another life may know less, for a while.
	}
	expectRule(t, Judge(record), "")
}

func TestPlanIsDeterminedBySeed(t *testing.T) {
	a, b, other := NewPlan(7, time.Minute), NewPlan(7, time.Minute), NewPlan(8, time.Minute)
	if len(a) < 60 || len(a) != len(b) {
		t.Fatalf("%d and %d events", len(a), len(b))
	}
	seen := map[Kind]bool{}
	differs := false
	for i := range a {
		if a[i] != b[i] {
			t.Fatalf("event %d differs: %v, %v", i, a[i], b[i])
		}
		differs = differs || i < len(other) && a[i] != other[i]
		if a[i].Start+a[i].Duration > time.Minute {
			t.Errorf("%v goes on after the end", a[i])
		}
	}
	for seed := range uint64(20) {
		for _, e := range NewPlan(seed, time.Minute) {
			seen[e.Kind] = true
		}
	}
	if !differs || len(seen) < 19 {
		t.Errorf("other seed differs: %v, %d kinds", differs, len(seen))
	}
}

// TestJudgeChecksTargetNotices: what targets say of themselves, and calls that end them.
func TestJudgeChecksTargetNotices(t *testing.T) {
	at := func(d time.Duration) time.Time { return recordStart.Add(d) }
	s := time.Second
	call := func(id, body string, sent time.Duration) Call {
		return Call{ID: id, Path: safePath, Sent: at(sent), Done: at(sent + s/10), Status: 200, Complete: true, RequestBody: body, Body: safePath.Answer(id)}
	}
	run := func(id string, begins time.Duration, change func(*Execution)) Execution {
		r := Execution{ID: id, Target: "t", Service: plainService, Account: accountName, Started: at(begins), Ended: at(begins + s/20)}
		change(&r)
		return r
	}
	nothing := func(*Execution) {}
	rests := func(r *Execution) { r.Backoff, r.Rejected = 3*s, true }
	leaves := func(r *Execution) { r.Draining = true }
	crashes := func(r *Execution) { r.Crashed = true }
	play := func(body string, first func(*Execution), later func(*Execution), gaps ...time.Duration) *Record {
		r := &Record{Executions: map[string][]Execution{}, Calls: []Call{call("0", body, 0)}, ProcessStarts: map[int][]time.Time{}}
		r.Executions["0"] = []Execution{run("0", 0, first)}
		for i, gap := range gaps {
			id := fmt.Sprint(i + 1)
			r.Calls = append(r.Calls, call(id, body, gap))
			r.Executions[id] = []Execution{run(id, gap, later)}
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
		"three in the time of rest": {play("b", rests, nothing, s, 2*s, 2*s+s/2), "BUDGET"},
		"two in the time of rest":   {play("b", rests, nothing, s/4, s, 2*s, 4*s), ""},
		"rest, and a kill":          {kill(play("b", rests, nothing, s, 2*s, 2*s+s/2)), ""},
		"sent to one that leaves":   {play("b", leaves, nothing, s, 3*s), "DRAIN"},
		"sent in the drain time":    {play("b", leaves, nothing, s, 2*s), ""},
		"leaves, and a kill":        {kill(play("b", leaves, nothing, s, 3*s)), ""},
		"four sends too many":       {play(crashBodyPrefix, crashes, crashes, s, 2*s, 6*s, 7*s, 8*s, 9*s), "BUDGET"},
		"three sends more":          {play(crashBodyPrefix, crashes, crashes, s, 2*s, 6*s, 7*s, 8*s), ""},
		"before all can know":       {play(crashBodyPrefix, crashes, crashes, s, 2*s, 3*s, 4*s, 5*s, 5*s), ""},
	} {
		var rules []string
		for _, v := range Judge(c.record) {
			rules = append(rules, v.Rule)
		}
		if got := strings.Join(slices.Compact(rules), " "); got != c.rule {
			t.Errorf("%s: found %q, want %q", name, got, c.rule)
		}
	}
}
