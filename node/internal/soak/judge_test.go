package soak

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

// at is a moment of a made-up run.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// good is a call at daemon 0 that was answered whole, and the run that answered it.
func good(path *Path) (Call, Run) {
	c := Call{ID: "c", Path: path, Sent: at(10), Done: at(10.1), Allowed: path.Allowed, Status: 200, Whole: true, Body: path.Answer("c")}
	return c, Run{ID: "c", Target: "t1", Service: path.Service, Account: account, At: at(10.01), Ended: at(10.09)}
}

// TestJudgeSeesEachRule: a record that breaks one promise shows just that one.
func TestJudgeSeesEachRule(t *testing.T) {
	for name, c := range map[string]struct {
		path   *Path
		change func(*Record, *Call, *Run) []Run // the runs
		rule   string
	}{
		"nothing wrong": {unsafePath, func(_ *Record, _ *Call, r *Run) []Run { return []Run{*r} }, ""},
		"unsafe twice":  {unsafePath, func(_ *Record, _ *Call, r *Run) []Run { return []Run{*r, *r} }, "TWICE"},
		"turned away, then run": {unsafePath, func(_ *Record, _ *Call, r *Run) []Run {
			away := *r
			away.TurnedAway = true
			return []Run{away, *r}
		}, ""},
		"refused and run": {unsafePath, func(_ *Record, c *Call, r *Run) []Run {
			c.Status, c.Again = 503, true
			return []Run{*r}
		}, "REFUSED"},
		"refused without a time": {unsafePath, func(_ *Record, c *Call, _ *Run) []Run {
			c.Status = 503
			return nil
		}, "REFUSED"},
		"another's answer": {safePath, func(_ *Record, c *Call, r *Run) []Run {
			c.Body = safePath.Answer("other")
			return []Run{*r}
		}, "MIXED"},
		"an event missing": {streamPath, func(_ *Record, c *Call, r *Run) []Run {
			_, c.Body, _ = strings.Cut(c.Body, "\n\n")
			return []Run{*r}
		}, "MIXED"},
		"another service": {safePath, func(_ *Record, _ *Call, r *Run) []Run {
			r.Service = engines
			return []Run{*r}
		}, "ROUTE"},
		"another account": {safePath, func(_ *Record, _ *Call, r *Run) []Run {
			r.Account = "b"
			return []Run{*r}
		}, "UNASKED"},
		"the key went on": {safePath, func(_ *Record, _ *Call, r *Run) []Run {
			r.Key = key
			return []Run{*r}
		}, "UNASKED"},
		"three attempts of two": {safePath, func(_ *Record, _ *Call, r *Run) []Run { return []Run{*r, *r, *r} }, "BUDGET"},
		"cut after it was passed on": {unsafePath, func(_ *Record, c *Call, r *Run) []Run {
			c.Status, c.Whole = 0, false
			return []Run{*r}
		}, "LOST"},
		"cut at a kill": {unsafePath, func(rec *Record, c *Call, r *Run) []Run {
			c.Status, c.Whole = 0, false
			rec.Disturbances = []Disturbance{{From: at(9), To: at(12), Kind: Kill, Daemon: 0}}
			return []Run{*r}
		}, ""},
		"cut at another daemon's kill": {unsafePath, func(rec *Record, c *Call, r *Run) []Run {
			c.Status, c.Whole = 0, false
			rec.Disturbances = []Disturbance{{From: at(9), To: at(12), Kind: Kill, Daemon: 1}}
			return []Run{*r}
		}, "LOST"},
		"cut at a restart": {unsafePath, func(rec *Record, c *Call, r *Run) []Run {
			c.Status, c.Whole = 0, false
			rec.Disturbances = []Disturbance{{From: at(9), To: at(12), Kind: Term, Daemon: 0}}
			return []Run{*r}
		}, "LOST"},
		"too late": {safePath, func(_ *Record, c *Call, r *Run) []Run {
			c.Done = at(10).Add(c.Allowed + 2*time.Second)
			return []Run{*r}
		}, "CONFIG"},
		"begun for one who left": {safePath, func(_ *Record, c *Call, r *Run) []Run {
			c.Left, c.Status, c.Whole = true, 0, false
			r.At = at(13)
			return []Run{*r}
		}, "GONE"},
		"memory held": {safePath, func(rec *Record, _ *Call, r *Run) []Run {
			rec.Held = []string{"x"}
			return []Run{*r}
		}, "LEAK"},
	} {
		t.Run(name, func(t *testing.T) {
			call, run := good(c.path)
			record := &Record{}
			record.Runs = map[string][]Run{"c": c.change(record, &call, &run)}
			record.Calls = []Call{call}
			expect(t, Judge(record), c.rule)
		})
	}
}

func expect(t *testing.T, got []Violation, rule string) {
	t.Helper()
	switch {
	case rule == "" && len(got) > 0:
		t.Errorf("found %v", got)
	case rule != "" && (len(got) != 1 || got[0].Rule != rule):
		t.Errorf("found %v, want %s", got, rule)
	}
}

// TestJudgeOfConfigurations: route 1 is in force from 0 to 20 s, route 2 from 10 s on.
func TestJudgeOfConfigurations(t *testing.T) {
	published := []Published{{at(0), 1, 1}, {at(10), 1, 2}, {at(20), 2, 2}}
	call := func(route, status int, sent float64) Call {
		c, _ := good(safePath)
		c.Route, c.Status, c.Sent, c.Done = route, status, at(sent), at(sent+0.1)
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
			record := &Record{Calls: c.calls, Published: published, Lives: map[int][]time.Time{0: {at(0)}}}
			expect(t, Judge(record), c.rule)
		})
	}
	record := &Record{
		Calls: []Call{call(2, 200, 10.5), call(2, 404, 11.5)}, Published: published,
		Lives: map[int][]time.Time{0: {at(0), at(11)}}, // Another life may know less, for a while.
	}
	expect(t, Judge(record), "")
}

func TestPlansRepeat(t *testing.T) {
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
		if a[i].At+a[i].For > time.Minute {
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

// TestJudgeOfWords: what targets say of themselves, and calls that end them.
func TestJudgeOfWords(t *testing.T) {
	at := func(d time.Duration) time.Time { return start.Add(d) }
	s := time.Second
	call := func(id, body string, sent time.Duration) Call {
		return Call{ID: id, Path: safePath, Sent: at(sent), Done: at(sent + s/10), Status: 200, Whole: true, Asked: body, Body: safePath.Answer(id)}
	}
	run := func(id string, begins time.Duration, change func(*Run)) Run {
		r := Run{ID: id, Target: "t", Service: plain, Account: account, At: at(begins), Ended: at(begins + s/20)}
		change(&r)
		return r
	}
	nothing := func(*Run) {}
	rests := func(r *Run) { r.Rest, r.TurnedAway = 3*s, true }
	leaves := func(r *Run) { r.Leaves = true }
	crashes := func(r *Run) { r.Crashed = true }
	play := func(body string, first func(*Run), later func(*Run), gaps ...time.Duration) *Record {
		r := &Record{Runs: map[string][]Run{}, Calls: []Call{call("0", body, 0)}, Lives: map[int][]time.Time{}}
		r.Runs["0"] = []Run{run("0", 0, first)}
		for i, gap := range gaps {
			id := fmt.Sprint(i + 1)
			r.Calls = append(r.Calls, call(id, body, gap))
			r.Runs[id] = []Run{run(id, gap, later)}
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
		"four sends too many":       {play(crashBody, crashes, crashes, s, 2*s, 6*s, 7*s, 8*s, 9*s), "BUDGET"},
		"three sends more":          {play(crashBody, crashes, crashes, s, 2*s, 6*s, 7*s, 8*s), ""},
		"before all can know":       {play(crashBody, crashes, crashes, s, 2*s, 3*s, 4*s, 5*s, 5*s), ""},
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
