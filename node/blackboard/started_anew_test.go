package blackboard

import (
	"testing"
	"time"

	"doorstack.dev/core/forward"
	"doorstack.dev/core/hostlist"
	"doorstack.dev/core/routing"
	"doorstack.dev/core/settings"
)

// TestRestartResetsTargetState: a target's process crashed and another started under
// its id before its entry ran out. What was believed of the first, a breaker that is open,
// calls that fill it, a slow pace, kept calls from the second or sent it too many.
func TestRestartResetsTargetState(t *testing.T) {
	tree, err := settings.Parse([]byte("engine_kinds: {rest: {protocol: service, max_concurrent: 2}}\npools: {svc: {kind: rest}}\ntree: {}\n"))
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		incarnation int64
		anew        bool
	}{
		"a later start":           {200, true},
		"the same":                {100, false},
		"an earlier one":          {50, false},
		"one that tells no start": {0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			table := newTargetTable()
			host := hostlist.Host{ID: "a", Role: hostlist.RoleTarget, Address: "10.0.0.1:80", Pool: "svc", State: hostlist.Live, Incarnation: 100}
			table.Sync([]hostlist.Host{host}, tree, now)
			for _, attempt := range []string{"x", "y"} {
				table.BeginPart("a", attempt, routing.Load{Requests: 1}, now)
			}
			table.SetSlowdown("a", 4, now.Add(time.Minute), now)
			table.Suspect("a", now.Add(time.Minute), now)
			host.Incarnation = c.incarnation
			table.Sync([]hostlist.Host{host}, tree, now)
			view := table.Views("svc", now)[0]
			if anew := view.Load.Requests == 0 && !view.BreakerOpen && view.Slowdown <= 1; anew != c.anew {
				t.Fatalf("%+v", view)
			}
			// The calls of the earlier process end without a trace at the later one.
			table.Finish("x", CallFailed, now)
			if view := table.Views("svc", now)[0]; c.anew && (view.Load.Requests != 0 || view.RecentFailures != 0) {
				t.Errorf("the end of an earlier call counts: %+v", view)
			}
			if table.Active("x") || !table.Active("y") {
				t.Error("the calls are not known any more")
			}
		})
	}
}

// TestRestartEndsEarlierCalls: a call that was sent before the process started waits for
// an answer that cannot come; one that was sent after it is the new process's.
func TestRestartEndsEarlierCalls(t *testing.T) {
	tree, err := settings.Parse([]byte("engine_kinds: {rest: {protocol: service}}\npools: {svc: {kind: rest}}\ntree: {}\n"))
	if err != nil {
		t.Fatal(err)
	}
	const started = int64(500_000) // Unix milliseconds
	before, after := time.UnixMilli(started-100), time.UnixMilli(started+100)
	host := hostlist.Host{ID: "a", Role: hostlist.RoleTarget, Address: "10.0.0.1:80", Pool: "svc", State: hostlist.Live, Incarnation: 100}
	learn := map[string]func(*TargetTable){
		"from its entry": func(table *TargetTable) {
			later := host
			later.Incarnation = started
			table.Sync([]hostlist.Host{later}, tree, after)
		},
		"from its report": func(table *TargetTable) {
			if !table.RecordStart("a", started, after) {
				t.Error("it is not believed")
			}
		},
	}
	for name, learned := range learn {
		t.Run(name, func(t *testing.T) {
			table := newTargetTable()
			table.Sync([]hostlist.Host{host}, tree, before)
			early := table.BeginPart("a", "early", routing.Load{Requests: 1}, before)
			late := table.BeginPart("a", "late", routing.Load{Requests: 1}, after)
			learned(table)
			select {
			case <-early:
			default:
				t.Error("the call that was sent to the earlier process is not told")
			}
			select {
			case <-late:
				t.Error("the call that was sent to the new process is told")
			default:
			}
			if view := table.Views("svc", after)[0]; view.Load.Requests != 0 {
				t.Errorf("%+v", view)
			}
			table.Finish("early", CallFailed, after)
			table.BeginPart("a", "next", routing.Load{Requests: 1}, after)
			if view := table.Views("svc", after)[0]; view.Load.Requests != 1 || view.RecentFailures != 0 {
				t.Errorf("%+v", view)
			}
			if table.RecordStart("a", 100, after) || table.RecordStart("a", 0, after) || table.RecordStart("nobody", started, after) {
				t.Error("an earlier start, none, or an unknown target's is believed")
			}
		})
	}
}

// TestRateLimitSurvivesRestart: a process that crashes and starts again is most likely still in need;
// its first answer lifts the limit if not.
func TestRateLimitSurvivesRestart(t *testing.T) {
	tree, err := settings.Parse([]byte("engine_kinds: {rest: {protocol: service, max_concurrent: 2}}\npools: {svc: {kind: rest}}\ntree: {}\n"))
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1000, 0)
	host := hostlist.Host{ID: "a", Role: hostlist.RoleTarget, Address: "10.0.0.1:80", Pool: "svc", State: hostlist.Live, Incarnation: 100}
	for name, startAnew := range map[string]func(*TargetTable){
		"by its report": func(table *TargetTable) { table.RecordStart("a", 200, now) },
		"by its entry": func(table *TargetTable) {
			later := host
			later.Incarnation = 200
			table.Sync([]hostlist.Host{later}, tree, now)
		},
	} {
		table := newTargetTable()
		table.Sync([]hostlist.Host{host}, tree, now)
		named := forward.TimedNotice{Notice: forward.Notice{Limit: forward.DeclaredLimit(2)}, Sent: now, Received: now.Add(time.Millisecond)}
		table.RecordNotice("a", named)
		startAnew(table)
		if view := table.Views("svc", now)[0]; view.RateLimit == nil {
			t.Errorf("%s: the limit is forgotten", name)
		}
		lifted := forward.TimedNotice{Notice: forward.Notice{Limit: forward.Limit{Lifted: true}}, Sent: now.Add(time.Second), Received: now.Add(time.Second)}
		table.RecordNotice("a", lifted)
		if view := table.Views("svc", now.Add(time.Second))[0]; view.RateLimit != nil {
			t.Errorf("%s: the limit is not lifted", name)
		}
	}
}
