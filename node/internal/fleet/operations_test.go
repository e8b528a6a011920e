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

// revisions lists the settings revision in force at each daemon.
func (f *Fleet) settingsRevisions() []int64 {
	var list []int64
	for _, d := range f.Daemons {
		list = append(list, d.Board.Settings.Current().Revision)
	}
	return list
}

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

// TestSettingsReachAllDaemonsAndNeverGoBack: through a stale, a broken and a dead
// configuration service, and with a revision that does not pass the check.
func TestSettingsReachAllDaemonsAndNeverGoBack(t *testing.T) {
	t.Parallel()
	f := startFleet(t, claraOptions(6, 1))
	put := func(old, with string) int64 {
		return f.Platform.Put(map[string]string{"doorstack/settings": strings.Replace(string(examples.Clara), old, with, 1)})
	}
	second := put("deadline: 30s", "deadline: 31s")
	eventually(t, "all have the second revision", allAtRevision(f, second))
	broken := put("deadline: 30s", "deadlime: 31s")
	eventually(t, "the broken revision is seen", func() bool {
		return f.Daemons[0].Board.Settings.Rejected().Revision == broken || f.Daemons[1].Board.Settings.Rejected().Revision == broken
	})
	f.Platform.SetFaults(standin.PlatformFaults{Stale: true})
	third := put("deadline: 30s", "deadline: 32s")
	f.Platform.SetFaults(standin.PlatformFaults{InvalidJSON: true})
	if !allAtRevision(f, second)() {
		t.Fatalf("revisions are %v, want all %d: broken, stale and garbled answers change nothing", f.settingsRevisions(), second)
	}
	f.Platform.SetFaults(standin.PlatformFaults{Down: true})
	r := chatWithRetry(t, f.Daemons[0], deskKey, "the service is down", 5)
	checkAnswer(t, r, "the service is down", 5)
	if r.err != nil {
		t.Errorf("a dead configuration service stops callers: %s", r.err.Message)
	}
	f.Platform.SetFaults(standin.PlatformFaults{})
	eventually(t, "all have the third revision", allAtRevision(f, third))
}

// TestNewDaemonComparesSettingsBeforeServing: the configuration service gives it a
// stale copy, its peers know better.
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
	eventually(t, "all have the second revision", allAtRevision(f, second))
	// The fresh daemon reads its settings from a service that stands still at the
	// first revision, and its hosts from the fleet's platform.
	// It cannot reach its peers until it has read.
	fresh, err := f.Join(stale.PlatformServer.Address, func(n *Daemon) {
		for _, d := range f.Daemons[:3] {
			n.Hub().Block(d.Config.Name, true)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "it has read the stale copy", func() bool { return fresh.Board.Settings.Current() != nil })
	for _, d := range f.Daemons[:3] {
		fresh.Hub().Block(d.Config.Name, false)
	}
	if err := fresh.WaitReady(); err != nil {
		t.Fatal(err)
	}
	if got := fresh.Board.Settings.Current().Revision; got != second {
		t.Fatalf("a fresh daemon serves with revision %d, want %d", got, second)
	}
}

// TestDrainingTargetsGetNoNewRequests: by the host list's word or by their own.
func TestDrainingTargetsGetNoNewRequests(t *testing.T) {
	t.Parallel()
	f := startFleet(t, claraOptions(2, 3))
	f.Engines[0].Host.State = hostlist.Leaving
	f.PublishHosts()
	f.Engines[1].SetFaults(standin.Faults{Draining: true})
	for _, d := range f.Daemons {
		eventually(t, "both are seen to leave", func() bool {
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
			t.Fatal(r.err.Message)
		}
	}
	after := [2]int{len(f.Engines[0].Executed()), len(f.Engines[1].Executed())}
	if after != before {
		t.Fatalf("leaving engines got work: %v, then %v", before, after)
	}
}

// TestDrainFinishesRequestsInFlight: what is in flight ends whole, what is new is turned away
// honestly, and then the daemon leaves by itself.
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
	eventually(t, "all run", func() bool { return d.Board.InFlight() == int64(len(replies)) })
	d.Drain()
	late, err := tryCall(d, call{path: "/v1/chat/completions", apiKey: appKey, body: chatBody("late", 5, false)})
	if err == nil && (late.status != http.StatusServiceUnavailable || late.err.Execution != "not_run" || !late.err.Retry) {
		t.Errorf("a new request got %s", describe(late))
	}
	wg.Wait()
	for _, r := range replies {
		checkAnswer(t, r, "going on", tokens)
		if r.err != nil {
			t.Errorf("cut: %s", r.err.Message)
		}
	}
	<-d.Done()
	if r := chat(t, f.Daemons[1], appKey, "the other host", 5); r.err != nil {
		t.Errorf("the other host: %s", r.err.Message)
	}
}

func getExplanation(t *testing.T, n *Daemon, id string) (admin.Explanation, int) {
	t.Helper()
	r, err := http.Get("http://" + n.Config.Admin + "/v1/explain/" + id + "?replay=1")
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

// TestExplainWorksFromEveryDaemon: and each decision replays to the same outcome.
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
			t.Fatalf("%s knows %d records (%d) of %s: %s", d.Config.Name, len(e.Records), status, r.requestID, e.Note)
		}
		for i, replay := range e.Replays {
			if replay.Possible && !replay.Same {
				t.Errorf("%s does not replay: %+v", e.Records[i].Kind, replay)
			}
		}
	}
	if e, status := getExplanation(t, f.Daemons[1], "unknown-id"); status != http.StatusNotFound || e.Note == "" {
		t.Errorf("an unknown id: %d %+v", status, e)
	}
	if got := strings.Count(logs.String(), r.requestID); got < 3 {
		t.Errorf("%d log lines for the request, want one for each decision", got)
	}
	if strings.Contains(logs.String(), deskKey) {
		t.Error("an API key is in the log")
	}
	f.Daemons[0].Stop()
	if e, _ := getExplanation(t, f.Daemons[1], r.requestID); !strings.Contains(e.Note, "did not answer") {
		t.Errorf("of a dead daemon's request: %q", e.Note)
	}
}

// TestConcurrencyLimitHoldsAcrossFleet: however requests are spread, no more of an account
// run at one time than its limit allows.
func TestConcurrencyLimitHoldsAcrossFleet(t *testing.T) {
	t.Parallel()
	const limit = 12
	o := claraOptions(3, 2)
	o.Settings = []byte(strings.Replace(string(o.Settings), "concurrent: 100", "concurrent: 12", 1))
	o.Cost.FixedStepTime *= 4
	f := startFleet(t, o)
	var wg sync.WaitGroup
	var mu sync.Mutex
	admitted, refused, most := 0, 0, 0
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
	eventually(t, "all have ended", func() bool {
		running := 0
		for _, d := range f.Daemons {
			for _, a := range d.Board.Accounts.Status() {
				if a.Account == "/desks/santa-maria" {
					running += a.Running
				}
			}
		}
		most = max(most, running)
		select {
		case <-ended:
			return true
		default:
			return false
		}
	})
	if most > limit || admitted == 0 || refused == 0 {
		t.Fatalf("%d ran at one time, limit %d; %d admitted, %d refused", most, limit, admitted, refused)
	}
}
