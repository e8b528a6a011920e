package fleet

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"

	"doorstack.dev/core/hostlist"
	"doorstack.dev/examples"
	"doorstack.dev/node/admin"
	"doorstack.dev/node/internal/standin"
	"doorstack.dev/node/internal/testlog"
)

// settingsRevisions returns the settings revision in force at each daemon.
func (f *Fleet) settingsRevisions() []int64 {
	var list []int64
	for _, d := range f.Daemons {
		list = append(list, d.Board.Settings.Current().Revision)
	}
	return list
}

// allAtRevision returns a condition that holds when all daemons use a revision.
func allAtRevision(f *Fleet, revision int64) func() bool {
	return func() bool {
		for _, r := range f.settingsRevisions() {
			if r != revision {
				return false
			}
		}
		return true
	}
}

// TestSettingsReachAllDaemonsAndNeverGoBack checks that daemons keep their settings when a
// revision is invalid and when the configuration service answers with old settings, with
// invalid JSON or not at all, and that they adopt the next valid revision.
func TestSettingsReachAllDaemonsAndNeverGoBack(t *testing.T) {
	t.Parallel()
	f := startFleet(t, claraOptions(6, 1))
	put := func(old, with string) int64 {
		return f.Platform.Put(map[string]string{"doorstack/settings": strings.Replace(string(examples.Clara), old, with, 1)})
	}
	second := put("deadline: 30s", "deadline: 31s")
	eventually(t, "all daemons use the second revision", allAtRevision(f, second))
	invalid := put("deadline: 30s", "deadlime: 31s")
	// An invalid revision may not reach every daemon: only a few daemons of each data centre
	// watch the configuration service.
	eventually(t, "one of the first two daemons has rejected the invalid revision", func() bool {
		return f.Daemons[0].Board.Settings.Rejected().Revision == invalid || f.Daemons[1].Board.Settings.Rejected().Revision == invalid
	})
	f.Platform.SetFaults(standin.PlatformFaults{Stale: true})
	third := put("deadline: 30s", "deadline: 32s")
	f.Platform.SetFaults(standin.PlatformFaults{InvalidJSON: true})
	if !allAtRevision(f, second)() {
		t.Fatalf("revisions after an invalid revision and faults of the configuration service are %v, want all %d", f.settingsRevisions(), second)
	}
	f.Platform.SetFaults(standin.PlatformFaults{Down: true})
	r := chatWithRetry(t, f.Daemons[0], deskKey, "the service is down", 5)
	checkAnswer(t, r, "the service is down", 5)
	if r.err != nil {
		t.Errorf("chat while the configuration service is down: %s", r.err.Message)
	}
	f.Platform.SetFaults(standin.PlatformFaults{})
	eventually(t, "all daemons use the third revision", allAtRevision(f, third))
}

// TestNewDaemonComparesSettingsBeforeServing checks that a new daemon compares its settings
// with its peers before it is ready, so that it does not serve with an old revision that the
// configuration service gave it.
func TestNewDaemonComparesSettingsBeforeServing(t *testing.T) {
	t.Parallel()
	f := startFleet(t, claraOptions(3, 1))
	f.Platform.SetFaults(standin.PlatformFaults{Stale: true})
	stale, err := Start(Options{Settings: examples.Clara})
	if err != nil {
		t.Fatal(err)
	}
	defer stale.Close()
	f.Platform.SetFaults(standin.PlatformFaults{})
	second := f.Platform.Put(map[string]string{"doorstack/settings": strings.Replace(string(examples.Clara), "30s", "33s", 1)})
	eventually(t, "all daemons use the second revision", allAtRevision(f, second))
	// The new daemon reads its settings from a service that stays at the first
	// revision, and the host list from the fleet's platform. It cannot reach its
	// peers until it has read the settings.
	fresh, err := f.Join(stale.PlatformServer.Address, func(joining *Daemon) {
		for _, d := range f.Daemons[:3] {
			joining.Hub().Block(d.Config.Name, true)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "the new daemon has read the old settings", func() bool { return fresh.Board.Settings.Current() != nil })
	for _, d := range f.Daemons[:3] {
		fresh.Hub().Block(d.Config.Name, false)
	}
	if err := fresh.WaitReady(); err != nil {
		t.Fatal(err)
	}
	if got := fresh.Board.Settings.Current().Revision; got != second {
		t.Fatalf("the new daemon is ready with revision %d, want %d", got, second)
	}
}

// TestDrainingTargetsGetNoNewRequests checks that engines get no new requests when the host
// list says that they are leaving, or their load report that they are draining.
func TestDrainingTargetsGetNoNewRequests(t *testing.T) {
	t.Parallel()
	f := startFleet(t, claraOptions(2, 3))
	f.Engines[0].Host.State = hostlist.Leaving
	f.PublishHosts()
	f.Engines[1].SetFaults(standin.Faults{Draining: true})
	for _, d := range f.Daemons {
		eventually(t, "only one engine is available", func() bool {
			live := 0
			for _, s := range d.Board.Targets.Status(currentTime(d)) {
				if s.Pool == "llm" && s.View.State == 0 {
					live++
				}
			}
			return live == 1
		})
	}
	before := [2]int{len(f.Engines[0].Executed()), len(f.Engines[1].Executed())}
	for i := range 20 {
		if r := chat(t, f.Daemons[i%2], appKey, "where to", 3); r.err != nil {
			t.Fatal("chat: ", r.err.Message)
		}
	}
	after := [2]int{len(f.Engines[0].Executed()), len(f.Engines[1].Executed())}
	if after != before {
		t.Fatalf("the draining engines started %v attempts before the requests and %v after them, want no more", before, after)
	}
}

// TestDrainFinishesRequestsInFlight checks that a draining daemon completes the requests in
// flight, refuses a new one with not_run and as retryable, and then ends by itself.
func TestDrainFinishesRequestsInFlight(t *testing.T) {
	t.Parallel()
	o := claraOptions(2, 2)
	o.Cost.FixedStepTime *= 10
	f := startFleet(t, o)
	d := f.Daemons[0]
	const tokens = 300
	replies := make([]reply, 6)
	var wg sync.WaitGroup
	for i := range replies {
		wg.Go(func() { replies[i] = chat(t, d, appKey, "going on", tokens) })
	}
	eventually(t, "all requests are in flight", func() bool { return d.Board.InFlight() == int64(len(replies)) })
	d.Drain()
	late, err := tryCall(d, call{path: "/v1/chat/completions", apiKey: appKey, body: chatBody("late", 5, false)})
	if err == nil && (late.status != http.StatusServiceUnavailable || late.err.Execution != "not_run" || !late.err.Retry) {
		t.Errorf("new request during the drain: got %s, want 503, not_run and retryable", describe(late))
	}
	wg.Wait()
	for _, r := range replies {
		checkAnswer(t, r, "going on", tokens)
		if r.err != nil {
			t.Errorf("request in flight: error %q, want a complete answer", r.err.Message)
		}
	}
	<-d.Done()
	if r := chat(t, f.Daemons[1], appKey, "the other host", 5); r.err != nil {
		t.Errorf("chat with the other daemon: %s", r.err.Message)
	}
}

// getExplanation requests the explanation of a request from a daemon, with replays. It returns
// the explanation and the HTTP status.
func getExplanation(t *testing.T, d *Daemon, id string) (admin.Explanation, int) {
	t.Helper()
	r, err := http.Get("http://" + d.Config.Admin + "/v1/explain/" + id + "?replay=1")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Body.Close() }()
	var e admin.Explanation
	if err := json.NewDecoder(r.Body).Decode(&e); err != nil {
		t.Fatal(err)
	}
	return e, r.StatusCode
}

// TestExplainWorksFromEveryDaemon checks that every daemon explains a request that one of them
// served, that each decision replays to the same outcome, and that the log has its decisions.
func TestExplainWorksFromEveryDaemon(t *testing.T) {
	t.Parallel()
	var logs testlog.Buffer
	o := claraOptions(3, 2)
	o.LogOutput = &logs
	f := startFleet(t, o)
	r := chat(t, f.Daemons[0], deskKey, "why", 5)
	for _, d := range f.Daemons {
		e, status := getExplanation(t, d, r.requestID)
		if status != http.StatusOK || len(e.Records) < 3 || e.Daemon != f.Daemons[0].Config.Name {
			t.Fatalf("explanation by %s: %d records, status %d, request %s, note %q; want at least 3 records of the daemon that served it", d.Config.Name, len(e.Records), status, r.requestID, e.Note)
		}
		for i, replay := range e.Replays {
			if replay.Possible && !replay.Same {
				t.Errorf("replay of decision %s: %+v, want the same outcome", e.Records[i].Kind, replay)
			}
		}
	}
	if e, status := getExplanation(t, f.Daemons[1], "unknown-id"); status != http.StatusNotFound || e.Note == "" {
		t.Errorf("explanation of an unknown ID: status %d, %+v; want 404 and a note", status, e)
	}
	if got := strings.Count(logs.String(), r.requestID); got < 3 {
		t.Errorf("the log names the request %d times, want one line for each of at least 3 decisions", got)
	}
	if strings.Contains(logs.String(), deskKey) {
		t.Error("the log contains an API key")
	}
	f.Daemons[0].Stop()
	if e, _ := getExplanation(t, f.Daemons[1], r.requestID); !strings.Contains(e.Note, "did not answer") {
		t.Errorf("note on a request of a stopped daemon is %q, want one that contains \"did not answer\"", e.Note)
	}
}

// TestConcurrencyLimitHoldsAcrossFleet checks that the requests of an account that run at the
// same time on all daemons together stay within the account's limit.
func TestConcurrencyLimitHoldsAcrossFleet(t *testing.T) {
	t.Parallel()
	const limit = 12
	o := claraOptions(3, 2)
	o.Settings = []byte(strings.Replace(string(o.Settings), "concurrent: 100", "concurrent: 12", 1))
	o.Cost.FixedStepTime *= 4
	f := startFleet(t, o)
	var wg sync.WaitGroup
	var mu sync.Mutex
	admitted, refused, peak := 0, 0, 0
	for i := range 90 {
		wg.Go(func() {
			r := chat(t, f.Daemons[i%3], deskKey, "many", 100)
			mu.Lock()
			defer mu.Unlock()
			if r.err != nil {
				refused++
				return
			}
			admitted++
		})
	}
	ended := make(chan struct{})
	go func() { wg.Wait(); close(ended) }()
	eventually(t, "all requests have ended", func() bool {
		running := 0
		for _, d := range f.Daemons {
			for _, a := range d.Board.Accounts.Status() {
				if a.Account == "/desks/santa-maria" {
					running += a.Running
				}
			}
		}
		peak = max(peak, running)
		select {
		case <-ended:
			return true
		default:
			return false
		}
	})
	if peak > limit || admitted == 0 || refused == 0 {
		t.Fatalf("%d requests ran at the same time with a limit of %d, %d admitted, %d refused; want at most the limit, and both admitted and refused requests", peak, limit, admitted, refused)
	}
}
