package onplatform

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"doorstack.dev/platform/standin"
)

// What callers and targets saw: a target that leaves said so in an answer, the store was away
// and could not tell, and the daemon that had passed the answer on sent calls to it 2.3 s later.
// On another day a target turned a call away and asked the daemon for three seconds of rest; four
// more calls came in them. Cause: both words stand in headers of answers that nothing read; a
// target that turns a call away was avoided for a tenth of a second, whatever it asked for.
// Evidence: no line about the leaving target until the store's word, 11 s later, and "the target
// turned the call away" again and again within the time of rest.

// withHeader lets a target add a header to every answer.
func withHeader(name, value string, answer func(http.ResponseWriter, *http.Request, standin.Call)) func(http.ResponseWriter, *http.Request, standin.Call) {
	return func(w http.ResponseWriter, r *http.Request, c standin.Call) {
		w.Header().Set(name, value)
		answer(w, r, c)
	}
}

const (
	drainingHeader   = "Server-Leaving"
	retryAfterHeader = "Retry-After"
)

// callsAt counts the calls that reached a target.
func (f *fleet) callCount(id string) int { return len(f.targets[id].Calls()) }

// until sends calls by a daemon until one of them has reached a target.
func (f *fleet) callUntilReached(d *testDaemon, path, id string) {
	f.t.Helper()
	before := f.callCount(id)
	f.eventually("a call at "+id, func() bool {
		f.do(f.newRequestTo(d, path, soundBody))
		return f.callCount(id) > before
	})
}

// TestTargetThatAnnouncesDrainingGetsNoMoreCalls: whichever daemon coordinates the pool, and
// though the store goes on listing the target as ready.
func TestTargetThatAnnouncesDrainingGetsNoMoreCalls(t *testing.T) {
	answers := map[string]func(http.ResponseWriter, *http.Request, standin.Call){
		"an answer":      standin.Succeed("ok"),
		"its own error":  standin.Answer(500, "no"),
		"turned away":    standin.Reject,
		"a whole stream": standin.AnswerStream(1, 3, false),
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			path := safePath
			if name == "a whole stream" {
				path = streamPath
			}
			for asker := range 2 { // One of the two coordinates the pool.
				f := newFleet(t, 2, 2)
				f.awaitMembership()
				if path == streamPath {
					f.scriptAll(answer)
				}
				f.targets["t1"].Script(withHeader(drainingHeader, "1", answer))
				d := f.daemons[asker]
				f.callUntilReached(d, path, "t1")
				f.store.PutTarget(f.targets["t1"], plainService, "ready", 7)
				f.eventually("the store's later word", func() bool { return f.targetSlots(d, "t1") == 7 })
				before := f.callCount("t1")
				for range 20 {
					if got := f.do(f.newRequestTo(d, path, soundBody)); got.Status != 200 {
						t.Fatalf("%+v", got)
					}
				}
				if after := f.callCount("t1") - before; after > 0 {
					t.Errorf("%d calls reached the target after it had said that it leaves", after)
				}
			}
		})
	}
}

// slotsOf is how many calls a target takes at once, as a daemon believes.
func (f *fleet) targetSlots(d *testDaemon, id string) int {
	for _, view := range d.Board.Targets.Views(plainService, time.Now()) {
		if view.ID == id {
			return view.MaxConcurrent
		}
	}
	return 0
}

// TestRestartedTargetIsUsedAgain: a later process under its id does not leave.
func TestRestartedTargetIsUsedAgain(t *testing.T) {
	f := newFleet(t, 1, 2)
	d, target := f.daemons[0], f.targets["t1"]
	f.store.PutTargetWithStart(target, target.Address(), plainService, 7)
	f.eventually("its start", func() bool { return f.targetSlots(d, "t1") == 7 })
	target.Script(withHeader(drainingHeader, "1", standin.Succeed("ok")))
	f.callUntilReached(d, safePath, "t1")
	target.Script(standin.Succeed("ok"))
	target.Restart(time.Now().Add(time.Second))
	f.store.PutTargetWithStart(target, target.Address(), plainService, 6)
	f.eventually("its second start", func() bool { return f.targetSlots(d, "t1") == 6 })
	f.callUntilReached(d, safePath, "t1")
}

// TestTargetRetryAfterIsRespected: by the daemon that it asked, whichever coordinates.
func TestTargetRetryAfterIsRespected(t *testing.T) {
	const rest = 1500 * time.Millisecond
	for asker := range 2 {
		f := newFleet(t, 2, 3)
		f.awaitMembership()
		d := f.daemons[asker]
		f.targets["t1"].Script(withHeader(retryAfterHeader, strconv.FormatFloat(rest.Seconds(), 'f', 1, 64), standin.Reject))
		f.callUntilReached(d, safePath, "t1")
		began, before := time.Now(), f.callCount("t1")
		f.targets["t1"].Script(standin.Succeed("ok"))
		for time.Since(began) < rest/2 {
			if got := f.do(f.newRequestTo(d, safePath, soundBody)); got.Status != 200 {
				t.Fatalf("%+v", got)
			}
		}
		if after := f.callCount("t1") - before; after > 0 {
			t.Errorf("%d calls reached the target in the time of rest", after)
		}
		f.callUntilReached(d, safePath, "t1") // It is used again.
	}
}

// TestCallIsRefusedAtOnceWhenAllTargetsAskToWait: with the time at which the first of them may be
// asked again.
func TestCallIsRefusedAtOnceWhenAllTargetsAskToWait(t *testing.T) {
	const rest = 3 * time.Second
	f := newFleet(t, 1, 2)
	f.scriptAll(withHeader(retryAfterHeader, "3", standin.Reject))
	d := f.daemons[0]
	f.eventually("both asked for rest", func() bool {
		f.do(f.newRequestTo(d, safePath, soundBody))
		return f.callCount("t1") > 0 && f.callCount("t2") > 0
	})
	began, before := time.Now(), f.callCount("t1")+f.callCount("t2")
	got := f.do(f.newRequestTo(d, safePath, soundBody))
	took := time.Since(began)
	back, err := strconv.ParseFloat(got.RetryAfter(), 64)
	if got.Status != 503 || err != nil || back < 0.5 || back > rest.Seconds() || took > 250*time.Millisecond {
		t.Errorf("%d after %v, back after %q s", got.Status, took, got.RetryAfter())
	}
	if after := f.callCount("t1") + f.callCount("t2") - before; after > 0 {
		t.Errorf("%d calls reached targets in the time of rest", after)
	}
}
