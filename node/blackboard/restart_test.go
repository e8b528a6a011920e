package blackboard

import (
	"testing"
	"time"

	"doorstack.dev/core/forward"
	"doorstack.dev/core/hostlist"
	"doorstack.dev/core/routing"
	"doorstack.dev/core/settings"
)

// TestRestartResetsTargetState checks that the state of a target is reset when a new process
// starts under its id before its entry on the host list expires. Without that, the old process's
// open breaker, calls and slowdown kept calls from the new process or sent it too many.
func TestRestartResetsTargetState(t *testing.T) {
	tree, err := settings.Parse([]byte("engine_kinds: {rest: {protocol: service, max_concurrent: 2}}\npools: {svc: {kind: rest}}\ntree: {}\n"))
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		incarnation int64
		reset       bool
	}{
		"a later start":         {200, true},
		"the same start":        {100, false},
		"an earlier start":      {50, false},
		"no start in the entry": {0, false},
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
			if reset := view.Load.Requests == 0 && !view.BreakerOpen && view.Slowdown <= 1; reset != c.reset {
				t.Fatalf("state reset = %v, want %v: %+v", reset, c.reset, view)
			}
			// The end of a call of the old process does not count at the new one.
			table.Finish("x", CallFailed, now)
			if view := table.Views("svc", now)[0]; c.reset && (view.Load.Requests != 0 || view.RecentFailures != 0) {
				t.Errorf("a failed call of the old process counts at the new one: %+v, want no requests and no failures", view)
			}
			if table.Active("x") || !table.Active("y") {
				t.Errorf("Active: x %v, y %v; want only y, which has not ended", table.Active("x"), table.Active("y"))
			}
		})
	}
}

// TestRestartEndsEarlierCalls checks which calls a restart ends. A call sent before the new
// process started waits for an answer that cannot come; a later call belongs to the new process.
func TestRestartEndsEarlierCalls(t *testing.T) {
	tree, err := settings.Parse([]byte("engine_kinds: {rest: {protocol: service}}\npools: {svc: {kind: rest}}\ntree: {}\n"))
	if err != nil {
		t.Fatal(err)
	}
	const started = int64(500_000) // Unix milliseconds
	before, after := time.UnixMilli(started-100), time.UnixMilli(started+100)
	host := hostlist.Host{ID: "a", Role: hostlist.RoleTarget, Address: "10.0.0.1:80", Pool: "svc", State: hostlist.Live, Incarnation: 100}
	sources := map[string]func(*TargetTable){
		"from the host list": func(table *TargetTable) {
			later := host
			later.Incarnation = started
			table.Sync([]hostlist.Host{later}, tree, after)
		},
		"from its report": func(table *TargetTable) {
			if !table.RecordStart("a", started, after) {
				t.Error("RecordStart of a later start = false, want true")
			}
		},
	}
	for name, learn := range sources {
		t.Run(name, func(t *testing.T) {
			table := newTargetTable()
			table.Sync([]hostlist.Host{host}, tree, before)
			early := table.BeginPart("a", "early", routing.Load{Requests: 1}, before)
			late := table.BeginPart("a", "late", routing.Load{Requests: 1}, after)
			learn(table)
			select {
			case <-early:
			default:
				t.Error("the channel of a call sent before the restart is open, want it closed")
			}
			select {
			case <-late:
				t.Error("the channel of a call sent after the restart is closed, want it open")
			default:
			}
			if view := table.Views("svc", after)[0]; view.Load.Requests != 0 {
				t.Errorf("after the restart: %+v, want no requests", view)
			}
			table.Finish("early", CallFailed, after)
			table.BeginPart("a", "next", routing.Load{Requests: 1}, after)
			if view := table.Views("svc", after)[0]; view.Load.Requests != 1 || view.RecentFailures != 0 {
				t.Errorf("after a new call: %+v, want 1 request and no failures", view)
			}
			if table.RecordStart("a", 100, after) || table.RecordStart("a", 0, after) || table.RecordStart("unknown", started, after) {
				t.Error("RecordStart of an earlier start, of none or of an unknown target = true, want false")
			}
		})
	}
}

// TestRateLimitSurvivesRestart checks that a restart keeps the rate limit that a target declared: the
// new process most likely still needs it, and its first answer lifts the limit otherwise.
func TestRateLimitSurvivesRestart(t *testing.T) {
	tree, err := settings.Parse([]byte("engine_kinds: {rest: {protocol: service, max_concurrent: 2}}\npools: {svc: {kind: rest}}\ntree: {}\n"))
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1000, 0)
	host := hostlist.Host{ID: "a", Role: hostlist.RoleTarget, Address: "10.0.0.1:80", Pool: "svc", State: hostlist.Live, Incarnation: 100}
	for name, restart := range map[string]func(*TargetTable){
		"from its report": func(table *TargetTable) { table.RecordStart("a", 200, now) },
		"from the host list": func(table *TargetTable) {
			later := host
			later.Incarnation = 200
			table.Sync([]hostlist.Host{later}, tree, now)
		},
	} {
		table := newTargetTable()
		table.Sync([]hostlist.Host{host}, tree, now)
		declared := forward.TimedNotice{Notice: forward.Notice{Limit: forward.DeclaredLimit(2)}, Sent: now, Received: now.Add(time.Millisecond)}
		table.RecordNotice("a", declared)
		restart(table)
		if view := table.Views("svc", now)[0]; view.RateLimit == nil {
			t.Errorf("restart known %s: RateLimit = nil, want the declared limit", name)
		}
		lifted := forward.TimedNotice{Notice: forward.Notice{Limit: forward.Limit{Lifted: true}}, Sent: now.Add(time.Second), Received: now.Add(time.Second)}
		table.RecordNotice("a", lifted)
		if view := table.Views("svc", now.Add(time.Second))[0]; view.RateLimit != nil {
			t.Errorf("restart known %s: RateLimit = %+v after it was lifted, want nil", name, view.RateLimit)
		}
	}
}

// TestCallCountsAtOneTarget guards against a slot that is never given back: a call that is counted a second time, as by a
// daemon that decides alone after an answer of its coordinator has come late, no longer counts at the first target.
func TestCallCountsAtOneTarget(t *testing.T) {
	tree, err := settings.Parse([]byte("engine_kinds: {rest: {protocol: service, max_concurrent: 2}}\npools: {svc: {kind: rest}}\ntree: {}\n"))
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1000, 0)
	table := newTargetTable()
	var hosts []hostlist.Host
	for _, id := range []string{"a", "b"} {
		hosts = append(hosts, hostlist.Host{ID: id, Role: hostlist.RoleTarget, Address: "10.0.0.1:" + id, Pool: "svc", State: hostlist.Live})
	}
	table.Sync(hosts, tree, now)
	counted := func() (calls, requests int) {
		for _, s := range table.Status(now) {
			calls += s.OwnCalls
		}
		for _, v := range table.Views("svc", now) {
			requests += v.Load.Requests
		}
		return calls, requests
	}
	for _, id := range []string{"a", "b"} {
		table.BeginPart(id, "x", routing.Load{Requests: 1}, now)
		if calls, requests := counted(); calls != 1 || requests != 1 {
			t.Errorf("begun at %s: %d calls and %d requests are counted, want one", id, calls, requests)
		}
	}
	table.Finish("x", CallSucceeded, now)
	if calls, requests := counted(); calls != 0 || requests != 0 {
		t.Errorf("after the end: %d calls and %d requests are counted, want none", calls, requests)
	}
}
