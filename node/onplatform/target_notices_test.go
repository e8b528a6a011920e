package onplatform

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"doorstack.dev/platform/standin"
)

// The tests in this file guard against ignored notices in targets' answers. A target announced in an
// answer that it was draining while the store was down, and the daemon that had relayed the answer sent
// it calls 2.3 s later. Another target rejected a call and asked the daemon to wait for three seconds;
// four more calls came within that time. No code read the headers of these notices: a target that
// rejected a call was avoided for a tenth of a second, whatever it asked for. The log had no line about
// the draining target until the store listed it as draining, 11 s later.

// withHeader returns a script that adds a header to the answers of another script.
func withHeader(name, value string, answer func(http.ResponseWriter, *http.Request, standin.Call)) func(http.ResponseWriter, *http.Request, standin.Call) {
	return func(w http.ResponseWriter, r *http.Request, c standin.Call) {
		w.Header().Set(name, value)
		answer(w, r, c)
	}
}

// The headers of a target's notices: drainingHeader announces that it is draining, retryAfterHeader asks the
// daemon to send no calls for a number of seconds.
const (
	drainingHeader   = "Server-Leaving"
	retryAfterHeader = "Retry-After"
)

// callCount returns the number of calls that reached a target.
func (f *fleet) callCount(id string) int { return len(f.targets[id].Calls()) }

// callUntilReached sends calls through a daemon until one of them reaches the target with the given id.
func (f *fleet) callUntilReached(d *testDaemon, path, id string) {
	f.t.Helper()
	before := f.callCount(id)
	f.eventually("a call to reach "+id, func() bool {
		f.do(f.newRequestTo(d, path, soundBody))
		return f.callCount(id) > before
	})
}

// TestTargetThatAnnouncesDrainingGetsNoMoreCalls checks that a target that announces that it is
// draining gets no more calls from the daemon that got the answer, whichever daemon coordinates the
// pool, and although the store still lists the target as ready.
func TestTargetThatAnnouncesDrainingGetsNoMoreCalls(t *testing.T) {
	answers := map[string]func(http.ResponseWriter, *http.Request, standin.Call){
		"success":   standin.Succeed("ok"),
		"error":     standin.Answer(500, "no"),
		"rejection": standin.Reject,
		"stream":    standin.AnswerStream(1, 3, false),
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			path := safePath
			if name == "stream" {
				path = streamPath
			}
			for asker := range 2 { // Once the coordinator itself, once the other daemon.
				f := newFleet(t, 2, 2)
				f.awaitMembership()
				if path == streamPath {
					f.scriptAll(answer)
				}
				f.targets["t1"].Script(withHeader(drainingHeader, "1", answer))
				d := f.daemons[asker]
				f.callUntilReached(d, path, "t1")
				f.store.PutTarget(f.targets["t1"], plainService, "ready", 7)
				f.eventually("the store's later entry", func() bool { return f.targetSlots(d, "t1") == 7 })
				before := f.callCount("t1")
				for range 20 {
					if got := f.do(f.newRequestTo(d, path, soundBody)); got.Status != 200 {
						t.Fatalf("call = %+v, want 200", got)
					}
				}
				if after := f.callCount("t1") - before; after > 0 {
					t.Errorf("draining target got %d calls after its notice, want 0", after)
				}
			}
		})
	}
}

// targetSlots returns the number of concurrent calls of a target as a daemon knows it, and 0 for an unknown
// target.
func (f *fleet) targetSlots(d *testDaemon, id string) int {
	for _, view := range d.Board.Targets.Views(plainService, time.Now()) {
		if view.ID == id {
			return view.MaxConcurrent
		}
	}
	return 0
}

// TestRestartedTargetIsUsedAgain checks that the draining notice of a target does not apply to a later
// process with the same id.
func TestRestartedTargetIsUsedAgain(t *testing.T) {
	f := newFleet(t, 1, 2)
	d, target := f.daemons[0], f.targets["t1"]
	f.store.PutTargetWithStart(target, target.Address(), plainService, 7)
	f.eventually("the entry of the target's first process", func() bool { return f.targetSlots(d, "t1") == 7 })
	target.Script(withHeader(drainingHeader, "1", standin.Succeed("ok")))
	f.callUntilReached(d, safePath, "t1")
	target.Script(standin.Succeed("ok"))
	target.Restart(time.Now().Add(time.Second))
	f.store.PutTargetWithStart(target, target.Address(), plainService, 6)
	f.eventually("the entry of the target's second process", func() bool { return f.targetSlots(d, "t1") == 6 })
	f.callUntilReached(d, safePath, "t1")
}

// TestTargetRetryAfterIsRespected checks that a daemon sends no calls to a target for as long as the
// target asked it to wait, whichever daemon coordinates the pool.
func TestTargetRetryAfterIsRespected(t *testing.T) {
	const wait = 1500 * time.Millisecond
	for asker := range 2 {
		f := newFleet(t, 2, 3)
		f.awaitMembership()
		d := f.daemons[asker]
		f.targets["t1"].Script(withHeader(retryAfterHeader, strconv.FormatFloat(wait.Seconds(), 'f', 1, 64), standin.Reject))
		f.callUntilReached(d, safePath, "t1")
		began, before := time.Now(), f.callCount("t1")
		f.targets["t1"].Script(standin.Succeed("ok"))
		for time.Since(began) < wait/2 {
			if got := f.do(f.newRequestTo(d, safePath, soundBody)); got.Status != 200 {
				t.Fatalf("call = %+v, want 200", got)
			}
		}
		if after := f.callCount("t1") - before; after > 0 {
			t.Errorf("target got %d calls within its Retry-After time, want 0", after)
		}
		f.callUntilReached(d, safePath, "t1") // The target is used again.
	}
}

// TestCallIsRefusedAtOnceWhenAllTargetsAskToWait checks that if all targets asked to wait, a call is
// refused at once, with the time until the first target may get calls again in Retry-After.
func TestCallIsRefusedAtOnceWhenAllTargetsAskToWait(t *testing.T) {
	const wait = 3 * time.Second
	f := newFleet(t, 1, 2)
	f.scriptAll(withHeader(retryAfterHeader, "3", standin.Reject))
	d := f.daemons[0]
	f.eventually("both targets to ask to wait", func() bool {
		f.do(f.newRequestTo(d, safePath, soundBody))
		return f.callCount("t1") > 0 && f.callCount("t2") > 0
	})
	began, before := time.Now(), f.callCount("t1")+f.callCount("t2")
	got := f.do(f.newRequestTo(d, safePath, soundBody))
	took := time.Since(began)
	back, err := strconv.ParseFloat(got.RetryAfter(), 64)
	if got.Status != 503 || err != nil || back < 0.5 || back > wait.Seconds() || took > 250*time.Millisecond {
		t.Errorf("call = %d after %v with Retry-After %q, want 503 within 250 ms with 0.5 to %v s", got.Status, took, got.RetryAfter(), wait.Seconds())
	}
	if after := f.callCount("t1") + f.callCount("t2") - before; after > 0 {
		t.Errorf("targets got %d calls within their Retry-After time, want 0", after)
	}
}
