package onplatform

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"doorstack.dev/platform/standin"
)

func (f *fleet) settingsRevision(d *testDaemon) int64 {
	if view := d.Board.Settings.Current(); view != nil {
		return view.Revision
	}
	return 0
}

func TestConfigurationIsNeverReplacedByOlderOne(t *testing.T) {
	f := newFleet(t, 2, 1)
	next := testConfig(7)
	next.Routes = next.Routes[1:]
	next.Tenants[0].APIKeys = []string{"new-key"}
	f.store.PutConfig(next)
	for _, d := range f.daemons {
		f.eventually("version 7 at "+d.boot.Name, func() bool { return f.settingsRevision(d) == 7 })
	}
	if got := f.do(f.newRequest(unsafePath)); got.Status != 401 {
		t.Errorf("a key that was taken away: %+v", got)
	}
	a := f.newRequest(safePath)
	a.APIKey = "new-key"
	if got := f.do(a); got.Status != 404 {
		t.Errorf("a route that was taken away: %+v", got)
	}
	f.store.PutConfig(testConfig(5))
	f.store.PutRaw("op/config", []byte(`{"version":9,"routes":[{"name":"x","host":"h","prefix":"no-slash"}]}`))
	f.store.PutRaw("op/config", []byte(`nonsense`))
	last := testConfig(11)
	f.store.PutConfig(last)
	for _, d := range f.daemons {
		f.eventually("version 11 at "+d.boot.Name, func() bool { return f.settingsRevision(d) == 11 })
		if log := d.log.String(); strings.Contains(log, `"outcome":"adopted","reason":"from configuration service, 1 parts, 1 accounts","revision":5`) {
			t.Error("an older version was adopted")
		}
	}
	if got := f.do(f.newRequest(safePath)); got.Status != 200 {
		t.Errorf("%+v", got)
	}
}

// TestUpdatesArriveThroughPeers: a daemon that the store turns away learns of versions and
// of targets that leave from those that it serves.
func TestUpdatesArriveThroughPeers(t *testing.T) {
	f := newFleet(t, 3, 2)
	cut := f.daemons[0]
	cut.storeEndpoint.Refuse(true)
	next := testConfig(3)
	next.Tenants[0].APIKeys = nil
	f.store.PutConfig(next)
	f.store.PutTarget(f.targets["t1"], plainService, "draining", 6)
	f.eventually("version 3 through peers", func() bool { return f.settingsRevision(cut) == 3 })
	f.eventually("the leaving target through peers", func() bool {
		hosts, _ := cut.Board.Members.Hosts()
		for _, h := range hosts.Hosts {
			if h.ID == "t1" {
				return h.State == "leaving"
			}
		}
		return false
	})
	for range 6 {
		a := f.newRequest(noAuthPath)
		if got := f.do(a); got.Status != 200 || f.callsWithID(a.ID)[0].TargetID() != "t2" {
			t.Fatalf("%+v by %+v", got, f.callsWithID(a.ID))
		}
	}
	if got := f.do(f.newRequest(safePath)); got.Status != 401 {
		t.Errorf("a key that was taken away: %+v", got)
	}
}

// TestCallerLimitsFromConfiguration: the settings bound bodies and idle connections.
func TestCallerLimitsFromConfiguration(t *testing.T) {
	f := newFleet(t, 1, 1)
	next := testConfig(2)
	next.Limits = standin.Limits{IdleTimeoutMS: 50, MaxBodyBytes: 10}
	f.store.PutConfig(next)
	f.eventually("version 2", func() bool { return f.settingsRevision(f.daemons[0]) == 2 })
	a := f.newRequest(safePath)
	a.Body = "eleven byte"
	if got := f.do(a); got.Status != 413 {
		t.Errorf("%+v", got)
	}
	conn, err := net.Dial("tcp", f.daemons[0].boot.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := f.newRequest(safePath).HTTPRequest(context.Background()).Write(conn); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, conn); err != nil {
		t.Fatalf("the idle connection is not closed: %v", err)
	}
}

func TestDrainingAndRemovedTargetsGetNoCalls(t *testing.T) {
	f := newFleet(t, 1, 3)
	f.store.PutTarget(f.targets["t1"], plainService, "draining", 6)
	f.store.RemoveTarget(f.targets["t2"])
	d := f.daemons[0]
	f.eventually("two targets gone or leaving", func() bool {
		hosts, _ := d.Board.Members.Hosts()
		return len(hosts.Hosts) == 2
	})
	for range 8 {
		a := f.newRequest(safePath)
		if got := f.do(a); got.Status != 200 || f.callsWithID(a.ID)[0].TargetID() != "t3" {
			t.Fatalf("%+v by %+v", got, f.callsWithID(a.ID))
		}
	}
}

// TestFullReadAfterStoreDropsHistory: the whole is read anew, and what left meanwhile is gone.
func TestFullReadAfterStoreDropsHistory(t *testing.T) {
	f := newFleet(t, 1, 3)
	d := f.daemons[0]
	d.storeEndpoint.Refuse(true)
	f.eventually("the loss in the log", func() bool { return strings.Contains(d.log.String(), "dependency is lost") })
	f.store.RemoveTarget(f.targets["t2"])
	f.store.PutConfig(testConfig(4))
	f.store.DropHistory()
	d.storeEndpoint.Refuse(false)
	f.eventually("version 4", func() bool { return f.settingsRevision(d) == 4 })
	f.eventually("t2 gone", func() bool { return len(d.Board.Targets.Addresses()) == 2 })
	if !strings.Contains(d.log.String(), "dependency is back") {
		t.Error("the store's return is not in the log")
	}
}

// TestNewDaemonTakesSettingsFromPeers: one that the store turns away serves with
// what its peers know, and never with less.
func TestNewDaemonTakesSettingsFromPeers(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.store.PutConfig(testConfig(6))
	for _, d := range f.daemons {
		f.eventually("version 6", func() bool { return f.settingsRevision(d) == 6 })
	}
	fresh := f.addDaemon(2)
	fresh.storeEndpoint.Refuse(true)
	f.waitReady(fresh)
	if got := f.settingsRevision(fresh); got != 6 {
		t.Fatalf("serves with version %d", got)
	}
}

// TestMembershipConverges: from one seed each, and again after a daemon restarted.
func TestMembershipConverges(t *testing.T) {
	f := newFleet(t, 4, 1)
	all := func() bool {
		for _, d := range f.daemons {
			if living, _ := d.Board.Members.AliveNames(); len(living) != len(f.daemons) {
				return false
			}
		}
		return true
	}
	f.eventually("four daemons that know each other", all)
	gone := f.daemons[3]
	gone.stop()
	<-gone.exited
	f.daemons = f.daemons[:3]
	f.eventually("three daemons that know of the loss", all)
	f.waitReady(f.addDaemon(3))
	f.eventually("four daemons again", all)
}

// coordinatorSkipTime is somewhat longer than a coordinator that did not answer is passed over.
const coordinatorSkipTime = 1200 * time.Millisecond

// TestDaemonsShareOneViewOfTargets: with one slot at each of four targets, four calls through
// three daemons find a target each, in every round in which no daemon lost its
// coordinator; without a common view some would meet.
func TestDaemonsShareOneViewOfTargets(t *testing.T) {
	f := newFleet(t, 3, 0)
	for i := range 4 {
		f.addTarget(fmt.Sprint("s", i+1), plainService, 1)
	}
	for _, d := range f.daemons {
		f.waitReady(d)
	}
	f.eventually("all daemons known", func() bool {
		for _, d := range f.daemons {
			if living, _ := d.Board.Members.AliveNames(); len(living) != 3 {
				return false
			}
		}
		return true
	})
	lost := func() (n int) {
		for _, d := range f.daemons {
			n += strings.Count(d.log.String(), `"dependency":"coordinator"`)
		}
		return n
	}
	lastLoss := time.Time{}
	for agreed, round := 0, 0; agreed < 5; round++ {
		if round == 100 {
			t.Fatal("in a hundred rounds the coordinator did not answer five times in time")
		}
		f.eventually("all ask the same coordinator again", func() bool { return time.Since(lastLoss) > coordinatorSkipTime })
		before := lost()
		release := make(chan struct{})
		var working sync.WaitGroup
		working.Add(4)
		f.scriptAll(func(w http.ResponseWriter, r *http.Request, c standin.Call) {
			working.Done()
			<-release
			standin.Succeed("ok")(w, r, c)
		})
		ids := map[string]bool{}
		var answers sync.WaitGroup
		for i := range 4 {
			a := f.newRequest(safePath)
			a.Daemon = f.daemons[i%3].boot.CallerAddress
			ids[a.ID] = true
			answers.Go(func() {
				if got := f.do(a); got.Status != 200 {
					t.Errorf("%+v", got)
				}
			})
		}
		working.Wait()
		used := map[string]int{}
		for id := range ids {
			for _, c := range f.callsWithID(id) {
				used[c.TargetID()]++
			}
		}
		close(release)
		answers.Wait()
		switch {
		case lost() > before:
			// On a busy machine an answer may take longer than a daemon waits for it. Then
			// it decides alone, says so, and passes the coordinator over for a second; such
			// a round proves nothing either way.
			lastLoss = time.Now()
		case len(used) != 4:
			t.Fatalf("round %d: no coordinator was lost, and the calls went to %v", round, used)
		default:
			agreed++
		}
	}
}

// TestCallsSurviveDaemonShutdowns: while daemons come and go, calls are placed by
// whoever is left.
func TestCallsSurviveDaemonShutdowns(t *testing.T) {
	f := newFleet(t, 3, 2)
	for i := range 3 {
		if i > 0 {
			last := f.daemons[len(f.daemons)-1]
			last.stop()
			<-last.exited
			f.daemons = f.daemons[:len(f.daemons)-1]
		}
		for range 6 {
			if got := f.do(f.newRequest(safePath)); got.Status != 200 {
				t.Fatalf("after %d ends: %+v", i, got)
			}
		}
	}
}

// TestDrainCompletesCallsInProgress: from the request to end on, the daemon is not ready, still
// serves, tells callers to close, then refuses; what runs ends whole.
func TestDrainCompletesCallsInProgress(t *testing.T) {
	f := newFleet(t, 1, 1)
	d := f.daemons[0]
	started, release := make(chan struct{}), make(chan struct{})
	f.scriptAll(func(w http.ResponseWriter, r *http.Request, c standin.Call) {
		if c.Body == "slow" {
			close(started)
			<-release
		}
		standin.Succeed("whole")(w, r, c)
	})
	slow := f.newRequest(unsafePath)
	slow.Body, slow.DeadlineMS = "slow", 10_000
	answer := make(chan standin.CallerResponse, 1)
	go func() { answer <- f.do(slow) }()
	<-started
	d.Drain()
	if f.ready(d) {
		t.Error("ready while it leaves")
	}
	first := f.do(f.newRequest(safePath))
	if first.Status != 200 || !first.ClosesConnection {
		t.Errorf("just after: %+v", first)
	}
	f.eventually("refusals", func() bool {
		got := f.do(f.newRequest(safePath))
		return got.Status == 503 && got.Header.Get("Retry-After") != ""
	})
	select {
	case <-d.exited:
		t.Fatal("it ended before its last answer")
	default:
	}
	close(release)
	if got := <-answer; got.Status != 200 || got.Body != "whole" || !got.ClosesConnection {
		t.Errorf("the call under way: %+v", got)
	}
	select {
	case <-d.exited:
	case <-time.After(waitTimeout):
		t.Fatal("it does not end")
	}
}

// TestLogLinesOfFailedCallCarryItsID: what happened to a failed call can be read from the
// lines with its id.
func TestLogLinesOfFailedCallCarryItsID(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.scriptAll(standin.Reject)
	a := f.newRequest(unsafePath)
	f.do(a)
	kinds := map[string]int{}
	for line := range strings.Lines(f.daemons[0].log.String()) {
		if !strings.Contains(line, a.ID) {
			continue
		}
		for _, kind := range []string{"route", "attempt", "answer"} {
			if strings.Contains(line, `"kind":"`+kind+`"`) {
				kinds[kind]++
			}
		}
	}
	if kinds["route"] < 2 || kinds["attempt"] < 2 || kinds["answer"] != 1 {
		t.Fatalf("%v", kinds)
	}
	if strings.Contains(f.daemons[0].log.String(), apiKey) {
		t.Error("the API key is in the log")
	}
}

// TestIdleDaemonMakesFewStoreCalls: a quiet second costs no call but the watches.
func TestIdleDaemonMakesFewStoreCalls(t *testing.T) {
	f := newFleet(t, 1, 1)
	before := f.store.Calls()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	<-ctx.Done()
	if made := f.store.Calls() - before; made > 2 {
		t.Fatalf("%d calls in a quiet second", made)
	}
}
