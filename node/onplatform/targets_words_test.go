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

// words lets a target add a header to every answer.
func words(name, value string, answer func(http.ResponseWriter, *http.Request, standin.Call)) func(http.ResponseWriter, *http.Request, standin.Call) {
	return func(w http.ResponseWriter, r *http.Request, c standin.Call) {
		w.Header().Set(name, value)
		answer(w, r, c)
	}
}

const (
	leavingHeader = "Server-Leaving"
	restHeader    = "Retry-After"
)

// callsAt counts the calls that reached a target.
func (f *fleet) callsAt(id string) int { return len(f.targets[id].Calls()) }

// until sends calls by a daemon until one of them has reached a target.
func (f *fleet) until(d *testDaemon, path, id string) {
	f.t.Helper()
	before := f.callsAt(id)
	f.eventually("a call at "+id, func() bool {
		f.do(f.askOf(d, path, beside))
		return f.callsAt(id) > before
	})
}

// TestATargetThatSaysThatItLeavesGetsNoMoreCalls: whichever daemon coordinates the pool, and
// though the store goes on listing the target as ready.
func TestATargetThatSaysThatItLeavesGetsNoMoreCalls(t *testing.T) {
	answers := map[string]func(http.ResponseWriter, *http.Request, standin.Call){
		"an answer":      standin.Succeed("ok"),
		"its own error":  standin.Answer(500, "no"),
		"turned away":    standin.Reject,
		"a whole stream": standin.AnswerStream(1, 3, false),
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			path := safe
			if name == "a whole stream" {
				path = stream
			}
			for asker := range 2 { // One of the two coordinates the pool.
				f := newFleet(t, 2, 2)
				f.eventuallyAcquainted()
				if path == stream {
					f.scriptAll(answer)
				}
				f.targets["t1"].Script(words(leavingHeader, "1", answer))
				d := f.daemons[asker]
				f.until(d, path, "t1")
				f.store.PutTarget(f.targets["t1"], plain, "ready", 7)
				f.eventually("the store's later word", func() bool { return f.slotsOf(d, "t1") == 7 })
				before := f.callsAt("t1")
				for range 20 {
					if got := f.do(f.askOf(d, path, beside)); got.Status != 200 {
						t.Fatalf("%+v", got)
					}
				}
				if after := f.callsAt("t1") - before; after > 0 {
					t.Errorf("%d calls reached the target after it had said that it leaves", after)
				}
			}
		})
	}
}

// slotsOf is how many calls a target takes at once, as a daemon believes.
func (f *fleet) slotsOf(d *testDaemon, id string) int {
	for _, view := range d.Board.Targets.Views(plain, time.Now()) {
		if view.ID == id {
			return view.MaxConcurrent
		}
	}
	return 0
}

// TestATargetThatLeftAndStartedAnewIsUsed: a later process under its id does not leave.
func TestATargetThatLeftAndStartedAnewIsUsed(t *testing.T) {
	f := newFleet(t, 1, 2)
	d, target := f.daemons[0], f.targets["t1"]
	f.store.PutTargetWithStart(target, target.Address(), plain, 7)
	f.eventually("its start", func() bool { return f.slotsOf(d, "t1") == 7 })
	target.Script(words(leavingHeader, "1", standin.Succeed("ok")))
	f.until(d, safe, "t1")
	target.Script(standin.Succeed("ok"))
	target.Restart(time.Now().Add(time.Second))
	f.store.PutTargetWithStart(target, target.Address(), plain, 6)
	f.eventually("its second start", func() bool { return f.slotsOf(d, "t1") == 6 })
	f.until(d, safe, "t1")
}

// TestATargetIsLeftInPeaceForAsLongAsItAsks: by the daemon that it asked, whichever coordinates.
func TestATargetIsLeftInPeaceForAsLongAsItAsks(t *testing.T) {
	const rest = 1500 * time.Millisecond
	for asker := range 2 {
		f := newFleet(t, 2, 3)
		f.eventuallyAcquainted()
		d := f.daemons[asker]
		f.targets["t1"].Script(words(restHeader, strconv.FormatFloat(rest.Seconds(), 'f', 1, 64), standin.Reject))
		f.until(d, safe, "t1")
		began, before := time.Now(), f.callsAt("t1")
		f.targets["t1"].Script(standin.Succeed("ok"))
		for time.Since(began) < rest/2 {
			if got := f.do(f.askOf(d, safe, beside)); got.Status != 200 {
				t.Fatalf("%+v", got)
			}
		}
		if after := f.callsAt("t1") - before; after > 0 {
			t.Errorf("%d calls reached the target in the time of rest", after)
		}
		f.until(d, safe, "t1") // It is used again.
	}
}

// TestWhereAllTargetsRestACallIsRefusedAtOnce: with the time at which the first of them may be
// asked again.
func TestWhereAllTargetsRestACallIsRefusedAtOnce(t *testing.T) {
	const rest = 3 * time.Second
	f := newFleet(t, 1, 2)
	f.scriptAll(words(restHeader, "3", standin.Reject))
	d := f.daemons[0]
	f.eventually("both asked for rest", func() bool {
		f.do(f.askOf(d, safe, beside))
		return f.callsAt("t1") > 0 && f.callsAt("t2") > 0
	})
	began, before := time.Now(), f.callsAt("t1")+f.callsAt("t2")
	got := f.do(f.askOf(d, safe, beside))
	took := time.Since(began)
	back, err := strconv.ParseFloat(got.RetryAfter(), 64)
	if got.Status != 503 || err != nil || back < 0.5 || back > rest.Seconds() || took > 250*time.Millisecond {
		t.Errorf("%d after %v, back after %q s", got.Status, took, got.RetryAfter())
	}
	if after := f.callsAt("t1") + f.callsAt("t2") - before; after > 0 {
		t.Errorf("%d calls reached targets in the time of rest", after)
	}
}
