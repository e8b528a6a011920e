package onplatform

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"doorstack.dev/platform/standin"
)

// What callers saw: waves of streams cut short and of 502, while engine after engine ended.
// Order of events: one call ended each engine that began to run it; the daemon sent it to a
// second engine at once, which ended too; the caller sent it again, under a new request id and
// by other daemons, and no daemon knew that engines had ended under it. 44 ended under one call.
// Cause: what a daemon remembered of a failure belonged to a request id or to a target, never
// to the call. Evidence: the lines of failed attempts of all daemons bear one digest of method,
// path, account and body, and each of them was placed as if it were the first.

const (
	// crashing is the body of a call under which each target that runs it ends.
	crashingBody = "a body that ends its target"
	// beside is the body of a sound call.
	soundBody = "a sound body"
	// quarantineTimeLimit is how long after the third end the fleet may take to know the call, and
	// maxLateSends how often it may be sent after that: the users' bounds.
	quarantineTimeLimit = 3 * time.Second
	maxLateSends        = 3
)

// crashScript cuts each call with the crashing body off without an answer, as a target that ends does.
func crashScript(w http.ResponseWriter, r *http.Request, c standin.Call) {
	switch {
	case c.Body == crashingBody:
		standin.CloseConnection(w, r, c)
	case strings.HasPrefix(c.URI, streamPath):
		standin.AnswerStream(1, 3, false)(w, r, c)
	default:
		standin.Succeed("ok")(w, r, c)
	}
}

// ends counts the sends of the crashing call, each of which ends its target.
func (f *fleet) crashCount() int {
	n := 0
	for _, target := range f.targets {
		for _, c := range target.Calls() {
			if c.Body == crashingBody {
				n++
			}
		}
	}
	return n
}

// askOf is a call with a body by one of the daemons.
func (f *fleet) newRequestTo(d *testDaemon, path, body string) *standin.CallerRequest {
	a := f.newRequest(path)
	a.Daemon, a.Body = d.boot.CallerAddress, body
	return a
}

// TestCrashingCallIsQuarantined: it comes to all daemons in turn, again and again.
func TestCrashingCallIsQuarantined(t *testing.T) {
	for name, path := range map[string]string{"repeatable": safePath, "at most once": unsafePath, "stream": streamPath} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 3, 8)
			f.awaitMembership()
			f.scriptAll(crashScript)
			for i := 0; f.crashCount() < 3; i++ {
				got := f.do(f.newRequestTo(f.daemons[i%len(f.daemons)], path, crashingBody))
				if got.Status == 503 {
					t.Fatalf("the call ran and is answered %d, which says that it did not", got.Status)
				}
			}
			known := time.Now().Add(quarantineTimeLimit)
			for !f.refusedByAll(path, crashingBody) {
				if time.Now().After(known) {
					t.Fatalf("%d targets have ended and the call is still sent", f.crashCount())
				}
			}
			before := f.crashCount()
			for range 10 {
				f.refusedByAll(path, crashingBody)
			}
			if after := f.crashCount() - before; after > maxLateSends {
				t.Errorf("the call was sent %d times more, want %d at most", after, maxLateSends)
			}
			t.Logf("%d targets ended until all daemons knew the call", before)
			for _, d := range f.daemons {
				if got := f.do(f.newRequestTo(d, path, soundBody)); got.Status != 200 {
					t.Errorf("a sound call of the same account and path got %d by %s", got.Status, d.boot.Name)
				}
			}
		})
	}
}

// allRefuse sends a call by each daemon and tells whether all of them said that it did not run,
// and when to come back.
func (f *fleet) refusedByAll(path, body string) bool {
	all := true
	for _, d := range f.daemons {
		a := f.newRequestTo(d, path, body)
		got := f.do(a)
		all = all && got.Status == 503 && got.RetryAfter() != "" && len(f.callsWithID(a.ID)) == 0
	}
	return all
}

// eventuallyAcquainted waits until each daemon knows all others.
func (f *fleet) awaitMembership() {
	f.t.Helper()
	f.eventually("all daemons known to all", func() bool {
		for _, d := range f.daemons {
			if living, _ := d.Board.Members.AliveNames(); len(living) != len(f.daemons) {
				return false
			}
		}
		return true
	})
}

// TestNewDaemonLearnsQuarantinedCalls: it started after the call had been found.
func TestNewDaemonLearnsQuarantinedCalls(t *testing.T) {
	f := newFleet(t, 2, 8)
	f.awaitMembership()
	f.scriptAll(crashScript)
	known := time.Now().Add(quarantineTimeLimit)
	for !f.refusedByAll(safePath, crashingBody) {
		if time.Now().After(known) {
			t.Fatalf("%d targets have ended and the call is still sent", f.crashCount())
		}
	}
	before := f.crashCount()
	fresh := f.addDaemon(2)
	f.waitReady(fresh)
	within := time.Now().Add(quarantineTimeLimit)
	for got := f.do(f.newRequestTo(fresh, safePath, crashingBody)); got.Status != 503; got = f.do(f.newRequestTo(fresh, safePath, crashingBody)) {
		if time.Now().After(within) {
			t.Fatal("the fresh daemon still sends the call")
		}
	}
	if after := f.crashCount() - before; after > maxLateSends {
		t.Errorf("the call was sent %d times more, want %d at most", after, maxLateSends)
	}
}

// TestSoundCallIsServedAfterTwoCrashes: two targets end under a call that did nothing
// to them; a third one answers it, then and ever after.
func TestSoundCallIsServedAfterTwoCrashes(t *testing.T) {
	f := newFleet(t, 2, 4)
	f.awaitMembership()
	var mu sync.Mutex
	cuts := 2
	f.scriptAll(func(w http.ResponseWriter, r *http.Request, c standin.Call) {
		mu.Lock()
		unlucky := cuts > 0
		cuts--
		mu.Unlock()
		if unlucky {
			standin.CloseConnection(w, r, c)
			return
		}
		standin.Succeed("ok")(w, r, c)
	})
	f.do(f.newRequestTo(f.daemons[0], safePath, soundBody)) // It ends with the second target.
	for range 3 {
		for _, d := range f.daemons {
			if got := f.do(f.newRequestTo(d, safePath, soundBody)); got.Status != 200 {
				t.Errorf("a sound call got %d by %s", got.Status, d.boot.Name)
			}
		}
	}
}

// TestSentCopiesOfCrashingCallAreCancelled: two targets have ended under a call, and six copies of it
// wait at others when the third one ends. The five that are left would end five targets more.
func TestSentCopiesOfCrashingCallAreCancelled(t *testing.T) {
	const copies = 6
	f := newFleet(t, 3, copies+2)
	f.awaitMembership()
	f.scriptAll(standin.CloseConnection)
	for range 2 {
		f.do(f.newRequestTo(f.daemons[0], unsafePath, crashingBody))
	}
	arrived, mayCrash, calledBack := make(chan struct{}, copies), make(chan struct{}), make(chan struct{}, copies)
	f.scriptAll(func(w http.ResponseWriter, r *http.Request, c standin.Call) {
		arrived <- struct{}{}
		select {
		case <-mayCrash:
			standin.CloseConnection(w, r, c)
		case <-r.Context().Done():
			calledBack <- struct{}{}
		}
	})
	var callers sync.WaitGroup
	for i := range copies {
		a := f.newRequestTo(f.daemons[i%len(f.daemons)], unsafePath, crashingBody)
		callers.Go(func() {
			if got := f.do(a); got.Status != 502 {
				t.Errorf("the call may have run and got %d: %s", got.Status, got.Body)
			}
		})
	}
	for range copies {
		<-arrived
	}
	mayCrash <- struct{}{}
	within := time.After(quarantineTimeLimit)
	for back := range copies - 1 {
		select {
		case <-calledBack:
		case <-within:
			t.Fatalf("%d of %d copies were called back", back, copies-1)
		}
	}
	callers.Wait()
}

// TestCommonSoundCallIsServedAfterTargetsRecover: all targets end one after the other, several
// times, under a call that every caller sends alike; then they live. Seen in a soak: the call
// was refused by all daemons for ten minutes.
func TestCommonSoundCallIsServedAfterTargetsRecover(t *testing.T) {
	const recovered = 12 * time.Second // The time that the users give a fleet whose hosts are back.
	f := newFleet(t, 3, 3)
	f.awaitMembership()
	for _, d := range f.daemons {
		if got := f.do(f.newRequestTo(d, safePath, soundBody)); got.Status != 200 {
			t.Fatalf("%+v", got)
		}
	}
	f.scriptAll(standin.CloseConnection)
	for range 5 {
		for _, d := range f.daemons {
			f.do(f.newRequestTo(d, safePath, soundBody))
		}
	}
	f.scriptAll(standin.Succeed("ok"))
	began := time.Now()
	for _, d := range f.daemons {
		f.eventually("the call served by "+d.boot.Name, func() bool { return f.do(f.newRequestTo(d, safePath, soundBody)).Status == 200 })
	}
	if took := time.Since(began); took > recovered {
		t.Errorf("served after %v", took)
	}
}

// TestTrialEndsWrongQuarantine: no target had answered it before, and three died by
// chance. One trial shows that it is sound, and all daemons serve it again.
func TestTrialEndsWrongQuarantine(t *testing.T) {
	f := newFleet(t, 3, 4)
	f.awaitMembership()
	f.scriptAll(standin.CloseConnection)
	f.eventually("the call is refused", func() bool { return f.refusedByAll(safePath, soundBody) })
	f.scriptAll(standin.Succeed("ok"))
	for _, d := range f.daemons {
		f.eventually("the call served by "+d.boot.Name, func() bool { return f.do(f.newRequestTo(d, safePath, soundBody)).Status == 200 })
	}
}
