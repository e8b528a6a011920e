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
	crashing = "a body that ends its target"
	// beside is the body of a sound call.
	beside = "a sound body"
	// knownWithin is how long after the third end the fleet may take to know the call, and
	// sentAfter how often it may be sent after that: the users' bounds.
	knownWithin = 3 * time.Second
	sentAfter   = 3
)

// crash cuts each call with the crashing body off without an answer, as a target that ends does.
func crash(w http.ResponseWriter, r *http.Request, c standin.Call) {
	switch {
	case c.Body == crashing:
		standin.CloseConnection(w, r, c)
	case strings.HasPrefix(c.URI, stream):
		standin.AnswerStream(1, 3, false)(w, r, c)
	default:
		standin.Succeed("ok")(w, r, c)
	}
}

// ends counts the sends of the crashing call, each of which ends its target.
func (f *fleet) ends() int {
	n := 0
	for _, target := range f.targets {
		for _, c := range target.Calls() {
			if c.Body == crashing {
				n++
			}
		}
	}
	return n
}

// askOf is a call with a body by one of the daemons.
func (f *fleet) askOf(d *testDaemon, path, body string) *standin.CallerRequest {
	a := f.ask(path)
	a.Daemon, a.Body = d.boot.CallerAddress, body
	return a
}

// TestACallThatEndsItsTargetsIsKeptAway: it comes to all daemons in turn, again and again.
func TestACallThatEndsItsTargetsIsKeptAway(t *testing.T) {
	for name, path := range map[string]string{"repeatable": safe, "at most once": unsafe, "stream": stream} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 3, 8)
			f.eventuallyAcquainted()
			f.scriptAll(crash)
			for i := 0; f.ends() < 3; i++ {
				got := f.do(f.askOf(f.daemons[i%len(f.daemons)], path, crashing))
				if got.Status == 503 {
					t.Fatalf("the call ran and is answered %d, which says that it did not", got.Status)
				}
			}
			known := time.Now().Add(knownWithin)
			for !f.allRefuse(path, crashing) {
				if time.Now().After(known) {
					t.Fatalf("%d targets have ended and the call is still sent", f.ends())
				}
			}
			before := f.ends()
			for range 10 {
				f.allRefuse(path, crashing)
			}
			if after := f.ends() - before; after > sentAfter {
				t.Errorf("the call was sent %d times more, want %d at most", after, sentAfter)
			}
			t.Logf("%d targets ended until all daemons knew the call", before)
			for _, d := range f.daemons {
				if got := f.do(f.askOf(d, path, beside)); got.Status != 200 {
					t.Errorf("a sound call of the same account and path got %d by %s", got.Status, d.boot.Name)
				}
			}
		})
	}
}

// allRefuse sends a call by each daemon and tells whether all of them said that it did not run,
// and when to come back.
func (f *fleet) allRefuse(path, body string) bool {
	all := true
	for _, d := range f.daemons {
		a := f.askOf(d, path, body)
		got := f.do(a)
		all = all && got.Status == 503 && got.RetryAfter() != "" && len(f.calls(a.ID)) == 0
	}
	return all
}

// eventuallyAcquainted waits until each daemon knows all others.
func (f *fleet) eventuallyAcquainted() {
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

// TestAFreshDaemonLearnsWhichCallsEndTheirTargets: it started after the call had been found.
func TestAFreshDaemonLearnsWhichCallsEndTheirTargets(t *testing.T) {
	f := newFleet(t, 2, 8)
	f.eventuallyAcquainted()
	f.scriptAll(crash)
	known := time.Now().Add(knownWithin)
	for !f.allRefuse(safe, crashing) {
		if time.Now().After(known) {
			t.Fatalf("%d targets have ended and the call is still sent", f.ends())
		}
	}
	before := f.ends()
	fresh := f.addDaemon(2)
	f.waitReady(fresh)
	within := time.Now().Add(knownWithin)
	for got := f.do(f.askOf(fresh, safe, crashing)); got.Status != 503; got = f.do(f.askOf(fresh, safe, crashing)) {
		if time.Now().After(within) {
			t.Fatal("the fresh daemon still sends the call")
		}
	}
	if after := f.ends() - before; after > sentAfter {
		t.Errorf("the call was sent %d times more, want %d at most", after, sentAfter)
	}
}

// TestASoundCallWhoseTargetsEndByChanceIsServed: two targets end under a call that did nothing
// to them; a third one answers it, then and ever after.
func TestASoundCallWhoseTargetsEndByChanceIsServed(t *testing.T) {
	f := newFleet(t, 2, 4)
	f.eventuallyAcquainted()
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
	f.do(f.askOf(f.daemons[0], safe, beside)) // It ends with the second target.
	for range 3 {
		for _, d := range f.daemons {
			if got := f.do(f.askOf(d, safe, beside)); got.Status != 200 {
				t.Errorf("a sound call got %d by %s", got.Status, d.boot.Name)
			}
		}
	}
}

// TestCopiesOnTheirWayAreCalledBack: two targets have ended under a call, and six copies of it
// wait at others when the third one ends. The five that are left would end five targets more.
func TestCopiesOnTheirWayAreCalledBack(t *testing.T) {
	const copies = 6
	f := newFleet(t, 3, copies+2)
	f.eventuallyAcquainted()
	f.scriptAll(standin.CloseConnection)
	for range 2 {
		f.do(f.askOf(f.daemons[0], unsafe, crashing))
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
		a := f.askOf(f.daemons[i%len(f.daemons)], unsafe, crashing)
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
	within := time.After(knownWithin)
	for back := range copies - 1 {
		select {
		case <-calledBack:
		case <-within:
			t.Fatalf("%d of %d copies were called back", back, copies-1)
		}
	}
	callers.Wait()
}

// TestASoundCallThatManySendOutlivesItsTargets: all targets end one after the other, several
// times, under a call that every caller sends alike; then they live. Seen in a soak: the call
// was refused by all daemons for ten minutes.
func TestASoundCallThatManySendOutlivesItsTargets(t *testing.T) {
	const recovered = 12 * time.Second // The time that the users give a fleet whose hosts are back.
	f := newFleet(t, 3, 3)
	f.eventuallyAcquainted()
	for _, d := range f.daemons {
		if got := f.do(f.askOf(d, safe, beside)); got.Status != 200 {
			t.Fatalf("%+v", got)
		}
	}
	f.scriptAll(standin.CloseConnection)
	for range 5 {
		for _, d := range f.daemons {
			f.do(f.askOf(d, safe, beside))
		}
	}
	f.scriptAll(standin.Succeed("ok"))
	began := time.Now()
	for _, d := range f.daemons {
		f.eventually("the call served by "+d.boot.Name, func() bool { return f.do(f.askOf(d, safe, beside)).Status == 200 })
	}
	if took := time.Since(began); took > recovered {
		t.Errorf("served after %v", took)
	}
}

// TestACallThatIsTakenForACrashingOneComesBack: no target had answered it before, and three died by
// chance. One trial shows that it is sound, and all daemons serve it again.
func TestACallThatIsTakenForACrashingOneComesBack(t *testing.T) {
	f := newFleet(t, 3, 4)
	f.eventuallyAcquainted()
	f.scriptAll(standin.CloseConnection)
	f.eventually("the call is refused", func() bool { return f.allRefuse(safe, beside) })
	f.scriptAll(standin.Succeed("ok"))
	for _, d := range f.daemons {
		f.eventually("the call served by "+d.boot.Name, func() bool { return f.do(f.askOf(d, safe, beside)).Status == 200 })
	}
}
