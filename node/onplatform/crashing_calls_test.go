package onplatform

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"doorstack.dev/platform/standin"
)

// The tests in this file guard against a call that crashes every target that executes it. Callers saw
// waves of truncated streams and of 502 while engine after engine crashed. The daemon sent the call to a
// second engine at once, which crashed too, and the caller repeated it under a new request id at other
// daemons. A daemon recorded a failure for the request id or the target, never for the content of the
// call, so that each attempt was placed as if it were the first: 44 engines crashed under one call, and
// all the failed attempts in the daemons' logs had the same digest of method, path, account and body.

const (
	// crashingBody is the body of a call that crashes each target that executes it.
	crashingBody = "a body that ends its target"
	// soundBody is the body of a call that crashes no target.
	soundBody = "a sound body"
	// quarantineTimeLimit is how long after the third crash the fleet may take to quarantine the call,
	// and maxLateSends how often the call may be sent after that. Both are the users' requirements.
	quarantineTimeLimit = 3 * time.Second
	maxLateSends        = 3
)

// crashScript closes the connection of a call with crashingBody, as a crashing target does, and answers
// other calls.
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

// crashCount counts the calls with crashingBody that reached a target, each of which stands for a crash.
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

// newRequestTo returns a request to a daemon with a body.
func (f *fleet) newRequestTo(d *testDaemon, path, body string) *standin.CallerRequest {
	a := f.newRequest(path)
	a.Daemon, a.Body = d.boot.CallerAddress, body
	return a
}

// TestCrashingCallIsQuarantined checks that a crashing call that callers send to all daemons in turn,
// again and again, is refused by all of them soon after the third crash; other calls of the same
// account and path are served.
func TestCrashingCallIsQuarantined(t *testing.T) {
	for name, path := range map[string]string{"repeatable": safePath, "at most once": unsafePath, "stream": streamPath} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 3, 8)
			f.awaitMembership()
			f.scriptAll(crashScript)
			for i := 0; f.crashCount() < 3; i++ {
				got := f.do(f.newRequestTo(f.daemons[i%len(f.daemons)], path, crashingBody))
				if got.Status == 503 {
					t.Fatalf("crashing call that was executed = %d, want a status that does not mean not executed", got.Status)
				}
			}
			deadline := time.Now().Add(quarantineTimeLimit)
			for !f.refusedByAll(path, crashingBody) {
				if time.Now().After(deadline) {
					t.Fatalf("call is still sent after %d crashes, want it refused by all daemons", f.crashCount())
				}
			}
			before := f.crashCount()
			for range 10 {
				f.refusedByAll(path, crashingBody)
			}
			if after := f.crashCount() - before; after > maxLateSends {
				t.Errorf("call was sent %d more times, want %d at most", after, maxLateSends)
			}
			t.Logf("%d crashes until all daemons refused the call", before)
			for _, d := range f.daemons {
				if got := f.do(f.newRequestTo(d, path, soundBody)); got.Status != 200 {
					t.Errorf("sound call of the same account and path at %s = %d, want 200", d.boot.Name, got.Status)
				}
			}
		})
	}
}

// refusedByAll sends a call through each daemon and reports whether all of them refused it with 503 and
// Retry-After without sending it to a target.
func (f *fleet) refusedByAll(path, body string) bool {
	all := true
	for _, d := range f.daemons {
		a := f.newRequestTo(d, path, body)
		got := f.do(a)
		all = all && got.Status == 503 && got.RetryAfter() != "" && len(f.callsWithID(a.ID)) == 0
	}
	return all
}

// awaitMembership waits until each daemon knows all others.
func (f *fleet) awaitMembership() {
	f.t.Helper()
	f.eventually("all daemons to know each other", func() bool {
		for _, d := range f.daemons {
			if alive, _ := d.Board.Members.AliveNames(); len(alive) != len(f.daemons) {
				return false
			}
		}
		return true
	})
}

// TestNewDaemonLearnsQuarantinedCalls checks that a daemon that starts after the call was quarantined
// learns of the quarantine from its peers.
func TestNewDaemonLearnsQuarantinedCalls(t *testing.T) {
	f := newFleet(t, 2, 8)
	f.awaitMembership()
	f.scriptAll(crashScript)
	deadline := time.Now().Add(quarantineTimeLimit)
	for !f.refusedByAll(safePath, crashingBody) {
		if time.Now().After(deadline) {
			t.Fatalf("call is still sent after %d crashes, want it refused by all daemons", f.crashCount())
		}
	}
	before := f.crashCount()
	fresh := f.addDaemon(2)
	f.waitReady(fresh)
	newDaemonDeadline := time.Now().Add(quarantineTimeLimit)
	for got := f.do(f.newRequestTo(fresh, safePath, crashingBody)); got.Status != 503; got = f.do(f.newRequestTo(fresh, safePath, crashingBody)) {
		if time.Now().After(newDaemonDeadline) {
			t.Fatalf("new daemon still sends the crashing call %v after it was ready, want 503", quarantineTimeLimit)
		}
	}
	if after := f.crashCount() - before; after > maxLateSends {
		t.Errorf("call was sent %d more times, want %d at most", after, maxLateSends)
	}
}

// TestSoundCallIsServedAfterTwoCrashes checks that a call under which two targets crash by chance is
// answered by a third target, and served from then on.
func TestSoundCallIsServedAfterTwoCrashes(t *testing.T) {
	f := newFleet(t, 2, 4)
	f.awaitMembership()
	var mu sync.Mutex
	crashes := 2
	f.scriptAll(func(w http.ResponseWriter, r *http.Request, c standin.Call) {
		mu.Lock()
		crash := crashes > 0
		crashes--
		mu.Unlock()
		if crash {
			standin.CloseConnection(w, r, c)
			return
		}
		standin.Succeed("ok")(w, r, c)
	})
	f.do(f.newRequestTo(f.daemons[0], safePath, soundBody)) // Both attempts fail.
	for range 3 {
		for _, d := range f.daemons {
			if got := f.do(f.newRequestTo(d, safePath, soundBody)); got.Status != 200 {
				t.Errorf("sound call at %s = %d, want 200", d.boot.Name, got.Status)
			}
		}
	}
}

// TestSentCopiesOfCrashingCallAreCancelled covers a call under which two targets have crashed and of
// which six copies are at other targets when the third crash comes. The daemons cancel the other five
// copies, which would crash five more targets.
func TestSentCopiesOfCrashingCallAreCancelled(t *testing.T) {
	const copies = 6
	f := newFleet(t, 3, copies+2)
	f.awaitMembership()
	f.scriptAll(standin.CloseConnection)
	for range 2 {
		f.do(f.newRequestTo(f.daemons[0], unsafePath, crashingBody))
	}
	arrived, mayCrash, cancelled := make(chan struct{}, copies), make(chan struct{}), make(chan struct{}, copies)
	f.scriptAll(func(w http.ResponseWriter, r *http.Request, c standin.Call) {
		arrived <- struct{}{}
		select {
		case <-mayCrash:
			standin.CloseConnection(w, r, c)
		case <-r.Context().Done():
			cancelled <- struct{}{}
		}
	})
	var callers sync.WaitGroup
	for i := range copies {
		a := f.newRequestTo(f.daemons[i%len(f.daemons)], unsafePath, crashingBody)
		callers.Go(func() {
			if got := f.do(a); got.Status != 502 {
				t.Errorf("call that may have been executed = %d %q, want 502", got.Status, got.Body)
			}
		})
	}
	for range copies {
		<-arrived
	}
	mayCrash <- struct{}{}
	within := time.After(quarantineTimeLimit)
	for done := range copies - 1 {
		select {
		case <-cancelled:
		case <-within:
			t.Fatalf("%d of %d copies were cancelled within %v, want all", done, copies-1, quarantineTimeLimit)
		}
	}
	callers.Wait()
}

// TestCommonSoundCallIsServedAfterTargetsRecover covers targets that all crash one after the other,
// several times, while callers send the same sound call. Once they recover, the call must be served
// again. In a soak test all daemons refused such a call for ten minutes.
func TestCommonSoundCallIsServedAfterTargetsRecover(t *testing.T) {
	const recoveryLimit = 12 * time.Second // The users' requirement for a fleet whose hosts are back.
	f := newFleet(t, 3, 3)
	f.awaitMembership()
	for _, d := range f.daemons {
		if got := f.do(f.newRequestTo(d, safePath, soundBody)); got.Status != 200 {
			t.Fatalf("sound call at %s = %+v, want 200", d.boot.Name, got)
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
		f.eventually("the call to be served by "+d.boot.Name, func() bool { return f.do(f.newRequestTo(d, safePath, soundBody)).Status == 200 })
	}
	if took := time.Since(began); took > recoveryLimit {
		t.Errorf("call is served %v after the targets recovered, want %v at most", took, recoveryLimit)
	}
}

// TestTrialEndsWrongQuarantine covers a sound call that no target had answered before and that is
// quarantined after three crashes by chance. After a delay, a daemon sends the call once more as a
// trial. The trial succeeds, and all daemons serve the call again.
func TestTrialEndsWrongQuarantine(t *testing.T) {
	f := newFleet(t, 3, 4)
	f.awaitMembership()
	f.scriptAll(standin.CloseConnection)
	f.eventually("all daemons to refuse the call", func() bool { return f.refusedByAll(safePath, soundBody) })
	f.scriptAll(standin.Succeed("ok"))
	for _, d := range f.daemons {
		f.eventually("the call to be served by "+d.boot.Name, func() bool { return f.do(f.newRequestTo(d, safePath, soundBody)).Status == 200 })
	}
}
