package onplatform

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"doorstack.dev/core/hostlist"
	"doorstack.dev/node/internal/testaddr"
	"doorstack.dev/node/internal/testlog"
	"doorstack.dev/platform"
	"doorstack.dev/platform/standin"
)

// TestStalePlacementIsCheckedAgainstOwnState: a coordinator that lags behind placed calls on
// a target that the asking daemon knew to leave, and the daemon followed.
func TestStalePlacementIsCheckedAgainstOwnState(t *testing.T) {
	for asker := range 2 { // One of the two coordinates the pool.
		f := newFleet(t, 2, 2)
		f.eventually("both daemons known", func() bool {
			for _, d := range f.daemons {
				if living, _ := d.Board.Members.AliveNames(); len(living) != 2 {
					return false
				}
			}
			return true
		})
		d := f.daemons[asker]
		leaving := hostlist.Host{
			ID: "t1", Role: hostlist.RoleTarget, Address: f.targets["t1"].Address(), Pool: plainService,
			DataCentre: "z1", Region: "r1", State: hostlist.Leaving, Slots: 6, Revision: hostlist.NewPosition(1, 1000),
		}
		d.Board.MergeUpdate(hostlist.Update{AsOf: hostlist.NewPosition(1, 1000), Hosts: []hostlist.Host{leaving}}, time.Now())
		for range 6 {
			a := f.newRequest(safePath)
			a.Daemon = d.boot.CallerAddress
			if got := f.do(a); got.Status != 200 || f.callsWithID(a.ID)[0].TargetID() != "t2" {
				t.Fatalf("%+v by %+v", got, f.callsWithID(a.ID))
			}
		}
	}
}

// TestChangeMissedByStalledWatchIsFound: the change that it missed is found by the next one.
func TestChangeMissedByStalledWatchIsFound(t *testing.T) {
	f := newFleet(t, 1, 1)
	d := f.daemons[0]
	f.eventually("it watches", func() bool { return f.store.WaitingWatches() == 1 })
	f.store.StallWatches(true)
	f.store.PutConfig(testConfig(5))
	f.store.DropHistory()
	f.store.StallWatches(false)
	f.eventually("version 5", func() bool { return f.settingsRevision(d) == 5 })
}

// TestAnyDaemonFindsMissedChangeInTime: all watches are cut without a word, and one daemon is
// cut off from the store while its peers reach it. Where that was the one daemon that
// looked often, the change came 3.6 s late; it has to come within the 3 s in which the
// store settles, whichever daemon it is, and half a second for a busy machine.
func TestAnyDaemonFindsMissedChangeInTime(t *testing.T) {
	const within = 3500 * time.Millisecond
	f := newFleet(t, 2, 1)
	for i, cutOff := range f.daemons {
		f.eventually("both watch", func() bool { return f.store.WaitingWatches() == len(f.daemons) })
		cutOff.storeEndpoint.Refuse(true)
		f.eventually("one watches", func() bool { return f.store.WaitingWatches() == 1 })
		version := 5 + i
		f.store.StallWatches(true)
		f.store.PutConfig(testConfig(version))
		f.store.DropHistory()
		f.store.StallWatches(false)
		began := time.Now()
		for _, d := range f.daemons {
			f.eventually("the version", func() bool { return f.settingsRevision(d) == int64(version) })
		}
		if took := time.Since(began); took > within {
			t.Errorf("%s cut off: the change is known after %v", cutOff.boot.Name, took)
		}
		cutOff.storeEndpoint.Refuse(false)
	}
}

// TestSettingsFileReload: SIGHUP used to end the process. A file that
// cannot be read changes nothing.
func TestSettingsFileReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.toml")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(standin.BootFile("127.0.0.1:1"))
	t.Setenv(platform.BootVariable, path)
	boot, err := Load()
	if err != nil {
		t.Fatal(err)
	}
	buffer := &testlog.Buffer{}
	log := slog.New(slog.NewJSONHandler(buffer, nil))
	boot.CallerAddress, boot.ReadyAddress, boot.PeerAddress = testaddr.Free(t), testaddr.Free(t), testaddr.Free(t)
	d, err := New(boot, "0", log)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := d.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	defer func() {
		cancel()
		<-ended
	}()
	signals := make(chan os.Signal)
	go Reload(ctx, d, boot, signals, log)
	f := &fleet{t: t}
	steps := []struct{ text, want string }{
		{standin.BootFile("127.0.0.1:2"), `"outcome":"adopted","seeds":["127.0.0.1:2"]`},
		{"node = [", `"outcome":"kept"`},
		{standin.BootFile("127.0.0.1:3"), `"outcome":"adopted","seeds":["127.0.0.1:3"]`},
	}
	for _, step := range steps {
		write(step.text)
		signals <- os.Interrupt
		f.eventually(step.want, func() bool { return strings.Contains(buffer.String(), step.want) })
	}
}

// coordinatorOf finds who places the calls of the plain service, by the log.
func (f *fleet) findCoordinator() int {
	f.t.Helper()
	for i, d := range f.daemons {
		a := f.newRequest(safePath)
		a.Daemon = d.boot.CallerAddress
		if got := f.do(a); got.Status != 200 {
			f.t.Fatalf("%+v", got)
		}
		for line := range strings.Lines(d.log.String()) {
			if !strings.Contains(line, a.ID) {
				continue
			}
			for k, other := range f.daemons {
				if k != i && strings.Contains(line, `"by":"`+other.boot.Name+`"`) {
					return k
				}
			}
		}
	}
	f.t.Fatal("no daemon placed a call for another one")
	return 0
}

func (f *fleet) awaitAllMembers() {
	f.t.Helper()
	f.eventually("all daemons known", func() bool {
		for _, d := range f.daemons {
			if living, _ := d.Board.Members.AliveNames(); len(living) != len(f.daemons) {
				return false
			}
		}
		return true
	})
}

// TestNewCoordinatorLearnsOfFinishedCalls: it was told of the calls in progress, but their ends
// were told to the one before, so their slots stayed taken until the callers' deadlines.
func TestNewCoordinatorLearnsOfFinishedCalls(t *testing.T) {
	f := newFleet(t, 3, 1)
	f.awaitAllMembers()
	first := f.findCoordinator() // The same in every fleet of these names.
	for asker := range 3 {
		if asker == first {
			continue
		}
		f := newFleet(t, 3, 0)
		f.addTarget("one", plainService, 1)
		for _, d := range f.daemons {
			f.waitReady(d)
		}
		f.awaitAllMembers()
		started, release := make(chan struct{}), make(chan struct{})
		f.scriptAll(func(w http.ResponseWriter, r *http.Request, c standin.Call) {
			if c.Body == "long" {
				close(started)
				<-release
			}
			standin.Succeed("ok")(w, r, c)
		})
		ask := func(body string) chan standin.CallerResponse {
			a := f.newRequest(unsafePath)
			a.Daemon, a.Body, a.DeadlineMS = f.daemons[asker].boot.CallerAddress, body, 0
			answer := make(chan standin.CallerResponse, 1)
			go func() { answer <- f.do(a) }()
			return answer
		}
		long := ask("long")
		<-started
		f.daemons[first].stop()
		<-f.daemons[first].exited
		second := ask("second")
		f.eventually("the second call waits", func() bool {
			waiting := 0
			for _, d := range f.daemons {
				waiting += d.Board.Queues.Len(plainService)
			}
			return waiting > 0
		})
		released := time.Now()
		close(release)
		for _, answer := range []chan standin.CallerResponse{long, second} {
			if got := <-answer; got.Status != 200 {
				t.Fatalf("%+v", got)
			}
		}
		if took := time.Since(released); took > time.Second {
			t.Errorf("the slot came free after %v", took)
		}
	}
}

// TestCoordinatorLearnsEngineSlowdown: an engine that turns slow answers its calls all the same and is
// in nobody's list. Its coordinator asks and learns of it, and of its recovery.
func TestCoordinatorLearnsEngineSlowdown(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.addTarget("slow", engineService, 16).SetSlowdown(4.5)
	f.addTarget("sound", engineService, 16)
	d := f.daemons[0]
	f.waitReady(d)
	pace := func(id string) float64 {
		for _, v := range d.Board.Targets.Views(engineService, time.Now()) {
			if v.ID == id {
				return v.Slowdown
			}
		}
		return 0
	}
	f.eventually("the slow engine's pace", func() bool { return pace("slow") == 4.5 })
	if got := pace("sound"); got != 1 {
		t.Errorf("the sound engine's pace is %v", got)
	}
	f.targets["slow"].SetSlowdown(1)
	f.eventually("the slow engine's recovery", func() bool { return pace("slow") == 1 })
}
