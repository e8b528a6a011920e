package onplatform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"doorstack.dev/platform/standin"
)

// settingsRevision returns the version of the configuration that a daemon uses, or 0 if it has none.
func (f *fleet) settingsRevision(d *testDaemon) int64 {
	if view := d.Board.Settings.Current(); view != nil {
		return view.Revision
	}
	return 0
}

// TestConfigurationIsNeverReplacedByOlderOne checks that a new configuration applies at all daemons.
// Later writes of an older version, of an invalid one and of text that is no JSON do not replace it.
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
		t.Errorf("call with a removed API key = %+v, want 401", got)
	}
	a := f.newRequest(safePath)
	a.APIKey = "new-key"
	if got := f.do(a); got.Status != 404 {
		t.Errorf("call of a removed route = %+v, want 404", got)
	}
	f.store.PutConfig(testConfig(5))
	f.store.PutRaw("op/config", []byte(`{"version":9,"routes":[{"name":"x","host":"h","prefix":"no-slash"}]}`))
	f.store.PutRaw("op/config", []byte(`nonsense`))
	last := testConfig(11)
	f.store.PutConfig(last)
	for _, d := range f.daemons {
		var adopted []int64
		f.eventually("version 11 at "+d.boot.Name+", and its line", func() bool {
			adopted = adoptedRevisions(t, d.log.String()) // The line follows the adoption.
			return f.settingsRevision(d) == 11 && slices.Contains(adopted, 11)
		})
		if want := []int64{1, 7, 11}; !slices.Equal(adopted, want) {
			t.Errorf("%s adopted versions %v, want %v", d.boot.Name, adopted, want)
		}
	}
	if got := f.do(f.newRequest(safePath)); got.Status != 200 {
		t.Errorf("call after version 11 = %+v, want 200", got)
	}
}

// adoptedRevisions returns the revisions of the settings that a daemon has adopted by its log, in that order.
func adoptedRevisions(t *testing.T, log string) []int64 {
	t.Helper()
	var revisions []int64
	for line := range strings.Lines(log) {
		if !strings.Contains(line, `"kind":"settings"`) {
			continue
		}
		var record struct {
			Outcome  string `json:"outcome"`
			Revision int64  `json:"revision"`
		}
		if err := json.Unmarshal([]byte(line), &record); err != nil {
			t.Fatalf("log line %s: %v", line, err)
		}
		if record.Outcome == "adopted" {
			revisions = append(revisions, record.Revision)
		}
	}
	return revisions
}

// TestUpdatesArriveThroughPeers checks that a daemon that the store refuses gets new configuration
// versions and the draining of targets from its peers.
func TestUpdatesArriveThroughPeers(t *testing.T) {
	f := newFleet(t, 3, 2)
	cut := f.daemons[0]
	cut.storeEndpoint.Refuse(true)
	next := testConfig(3)
	next.Tenants[0].APIKeys = nil
	f.store.PutConfig(next)
	f.store.PutTarget(f.targets["t1"], plainService, "draining", 6)
	f.eventually("version 3 through peers", func() bool { return f.settingsRevision(cut) == 3 })
	f.eventually("the draining target through peers", func() bool {
		for _, h := range cut.Board.ListedHosts() {
			if h.ID == "t1" {
				return h.State == "leaving"
			}
		}
		return false
	})
	for range 6 {
		a := f.newRequest(noAuthPath)
		if got := f.do(a); got.Status != 200 || f.callsWithID(a.ID)[0].TargetID() != "t2" {
			t.Fatalf("call = %+v, calls at targets %+v, want 200 by t2", got, f.callsWithID(a.ID))
		}
	}
	if got := f.do(f.newRequest(safePath)); got.Status != 401 {
		t.Errorf("call with a removed API key = %+v, want 401", got)
	}
}

// TestCallerLimitsFromConfiguration checks that the configuration limits the size of bodies and the
// time that a connection may be idle.
func TestCallerLimitsFromConfiguration(t *testing.T) {
	f := newFleet(t, 1, 1)
	next := testConfig(2)
	next.Limits = standin.Limits{IdleTimeoutMS: 50, MaxBodyBytes: 10}
	f.store.PutConfig(next)
	f.eventually("version 2", func() bool { return f.settingsRevision(f.daemons[0]) == 2 })
	a := f.newRequest(safePath)
	a.Body = "eleven byte"
	if got := f.do(a); got.Status != 413 {
		t.Errorf("call with a body of 11 bytes, limit 10 = %+v, want 413", got)
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
		t.Fatalf("idle connection: read error %v, want it closed by the daemon", err)
	}
}

func TestDrainingAndRemovedTargetsGetNoCalls(t *testing.T) {
	f := newFleet(t, 1, 3)
	f.store.PutTarget(f.targets["t1"], plainService, "draining", 6)
	f.store.RemoveTarget(f.targets["t2"])
	d := f.daemons[0]
	f.eventually("one target removed and one draining", func() bool {
		return len(d.Board.ListedHosts()) == 2
	})
	for range 8 {
		a := f.newRequest(safePath)
		if got := f.do(a); got.Status != 200 || f.callsWithID(a.ID)[0].TargetID() != "t3" {
			t.Fatalf("call = %+v, calls at targets %+v, want 200 by t3", got, f.callsWithID(a.ID))
		}
	}
}

// TestFullReadAfterStoreDropsHistory checks that if the store no longer has the changes since a
// daemon's last read, the daemon reads everything again and removes the targets that were removed
// meanwhile.
func TestFullReadAfterStoreDropsHistory(t *testing.T) {
	f := newFleet(t, 1, 3)
	d := f.daemons[0]
	d.storeEndpoint.Refuse(true)
	f.eventually("a log line about the lost store", func() bool { return strings.Contains(d.log.String(), "dependency is lost") })
	f.store.RemoveTarget(f.targets["t2"])
	f.store.PutConfig(testConfig(4))
	f.store.DropHistory()
	d.storeEndpoint.Refuse(false)
	f.eventually("version 4", func() bool { return f.settingsRevision(d) == 4 })
	f.eventually("t2 removed", func() bool { return len(d.Board.Targets.Addresses()) == 2 })
	if !strings.Contains(d.log.String(), "dependency is back") {
		t.Error("log has no line \"dependency is back\" after the store answers again")
	}
}

// TestNewDaemonTakesSettingsFromPeers checks that a new daemon that the store refuses serves with the
// newest configuration that its peers have, and is not ready with an older one.
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
		t.Fatalf("the new daemon serves with version %d, want 6", got)
	}
}

// TestMembershipConverges checks that all daemons learn of each other from their seeds, of a daemon
// that stops, and of its replacement.
func TestMembershipConverges(t *testing.T) {
	f := newFleet(t, 4, 1)
	all := func() bool {
		for _, d := range f.daemons {
			if alive, _ := d.Board.Members.AliveNames(); len(alive) != len(f.daemons) {
				return false
			}
		}
		return true
	}
	f.eventually("all four daemons to know each other", all)
	stopped := f.daemons[3]
	stopped.stop()
	<-stopped.exited
	f.daemons = f.daemons[:3]
	f.eventually("three daemons to know that the fourth has stopped", all)
	f.waitReady(f.addDaemon(3))
	f.eventually("all four daemons to know each other again", all)
}

// coordinatorSkipTime is somewhat longer than the time for which a daemon skips a coordinator that did
// not answer in time.
const coordinatorSkipTime = 1200 * time.Millisecond

// TestDaemonsShareOneViewOfTargets checks that four concurrent calls through three daemons reach four
// different targets with one slot each. If the daemons did not share one view of the slots, some calls
// would go to the same target. A round in which a daemon loses its coordinator does not count.
func TestDaemonsShareOneViewOfTargets(t *testing.T) {
	f := newFleet(t, 3, 0)
	for i := range 4 {
		f.addTarget(fmt.Sprint("s", i+1), plainService, 1)
	}
	for _, d := range f.daemons {
		f.waitReady(d)
	}
	f.eventually("all daemons to know each other", func() bool {
		for _, d := range f.daemons {
			if alive, _ := d.Board.Members.AliveNames(); len(alive) != 3 {
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
			t.Fatalf("coordinator answered in time in %d of 100 rounds, want 5", agreed)
		}
		f.eventually("all daemons to ask the same coordinator again", func() bool { return time.Since(lastLoss) > coordinatorSkipTime })
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
					t.Errorf("call = %+v, want 200", got)
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
			// On a busy machine the coordinator's answer may take longer than a daemon waits.
			// The daemon then decides alone, logs that, and skips the coordinator for a second.
			// Such a round shows nothing.
			lastLoss = time.Now()
		case len(used) != 4:
			t.Fatalf("round %d: calls by target = %v without a lost coordinator, want one at each of four targets", round, used)
		default:
			agreed++
		}
	}
}

// TestCallsSurviveDaemonShutdowns checks that when daemons stop, the coordinator among them, the
// remaining ones place the calls.
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
				t.Fatalf("call after %d of 3 daemons stopped = %+v, want 200", i, got)
			}
		}
	}
}

// TestDrainCompletesCallsInProgress checks that a draining daemon is not ready. It first still serves
// calls and asks callers to close their connections, then refuses calls. Calls in progress are
// completed before it exits.
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
		t.Error("draining daemon: ready = true, want false")
	}
	first := f.do(f.newRequest(safePath))
	if first.Status != 200 || !first.ClosesConnection {
		t.Errorf("call just after Drain = %+v, want 200 with Connection: close", first)
	}
	f.eventually("the draining daemon to refuse calls", func() bool {
		got := f.do(f.newRequest(safePath))
		return got.Status == 503 && got.Header.Get("Retry-After") != ""
	})
	select {
	case <-d.exited:
		t.Fatal("daemon exited before its last answer")
	default:
	}
	close(release)
	if got := <-answer; got.Status != 200 || got.Body != "whole" || !got.ClosesConnection {
		t.Errorf("call in progress = %+v, want a complete 200 with Connection: close", got)
	}
	select {
	case <-d.exited:
	case <-time.After(waitTimeout):
		t.Fatal("daemon did not exit after its last answer")
	}
}

// TestLogLinesOfFailedCallCarryItsID checks that the log lines with the id of a failed call show its
// routing, its attempts and its answer.
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
		t.Fatalf("log lines of the call by kind = %v, want at least 2 of route and attempt, and 1 of answer", kinds)
	}
	if strings.Contains(f.daemons[0].log.String(), apiKey) {
		t.Error("log contains the API key")
	}
}

// TestIdleDaemonMakesFewStoreCalls checks that while nothing changes, a daemon makes no store calls
// but its watches.
func TestIdleDaemonMakesFewStoreCalls(t *testing.T) {
	f := newFleet(t, 1, 1)
	before := f.store.Calls()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	<-ctx.Done()
	if made := f.store.Calls() - before; made > 2 {
		t.Fatalf("idle daemon made %d store calls in a second, want 2 at most", made)
	}
}
