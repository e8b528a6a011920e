package onplatform

import (
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"doorstack.dev/platform/standin"
)

const limitHeader = "Server-Limit"

// herd is callers that send one call after the other, some by each daemon, until they are stopped.
type herd struct {
	stop chan struct{}
	done sync.WaitGroup
}

// callersOfEach is the number of callers at each daemon.
const callersOfEach = 2

// send starts callers of a path at the daemons; got is told of each answer.
func (f *fleet) send(daemons []*testDaemon, path string, got func(*testDaemon, standin.CallerResponse)) *herd {
	h := &herd{stop: make(chan struct{})}
	for _, d := range daemons {
		for caller := range callersOfEach {
			h.done.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-h.stop:
						return
					default:
					}
					a := &standin.CallerRequest{
						Daemon: d.boot.CallerAddress, Host: host, Path: path + "x", ID: fmt.Sprintf("%s-%d-%d-%s", d.boot.Name, caller, n, path[1:2]),
						APIKey: key, DeadlineMS: 4000, Body: beside, TokenCounts: "100,10",
					}
					got(d, f.do(a))
				}
			})
		}
	}
	return h
}

// end stops the callers and waits for their last calls.
func (h *herd) end() {
	close(h.stop)
	h.done.Wait()
}

// addEngines adds model engines and waits until all daemons know them.
func (f *fleet) addEngines(n int) {
	for i := range n {
		f.addTarget(fmt.Sprint("e", i+1), engines, 16)
	}
	for _, d := range f.daemons {
		f.waitReady(d)
	}
}

// told notes which daemons have passed on an answer of a target.
type told struct {
	mu   sync.Mutex
	seen map[string]bool
}

func (l *told) by(d *testDaemon) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen[d.boot.Name] = true
}

func (l *told) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.seen)
}

// allowedIn is the most calls that a target with a limit may get in some time: what the platform
// allows in 4 s, for any time.
func allowedIn(d time.Duration, perSecond float64) int { return int(1.5*perSecond*d.Seconds() + 5) }

// TestATargetGetsNoMoreThanTheLimitThatItNames: from all daemons together, whichever coordinates.
func TestATargetGetsNoMoreThanTheLimitThatItNames(t *testing.T) {
	const perSecond, calls, window = 2.0, 600, time.Second
	for path, target := range map[string]string{safe: "t1", prompt: "e1"} {
		t.Run(path[1:len(path)-1], func(t *testing.T) {
			f := newFleet(t, 3, 3)
			f.addEngines(3)
			f.eventuallyAcquainted()
			answer := standin.Succeed("ok")
			if path == prompt {
				answer = standin.AnswerStream(1, 3, false)
			}
			f.scriptAll(answer)
			f.targets[target].Script(words(limitHeader, fmt.Sprint(perSecond), answer))
			heard := told{seen: map[string]bool{}}
			var answered atomic.Int64
			callers := f.send(f.daemons, path, func(d *testDaemon, got standin.CallerResponse) {
				answered.Add(1)
				if got.Header.Get(limitHeader) != "" {
					heard.by(d)
				}
			})
			defer callers.end()
			f.eventually("each daemon has been told", func() bool { return heard.count() == len(f.daemons) })
			began, before, until := time.Now(), f.callsAt(target), answered.Load()+calls
			f.eventually("more calls", func() bool { return answered.Load() >= until && time.Since(began) >= window })
			if got, allowed := f.callsAt(target)-before, allowedIn(time.Since(began), perSecond); got > allowed {
				t.Errorf("%d calls in %v, allowed %d", got, time.Since(began), allowed)
			}
		})
	}
}

// TestATargetThatNamesNoLimitAnyMoreIsUsedAgain: by all daemons, at once.
func TestATargetThatNamesNoLimitAnyMoreIsUsedAgain(t *testing.T) {
	f := newFleet(t, 2, 2)
	f.eventuallyAcquainted()
	f.targets["t1"].Script(words(limitHeader, "2", standin.Succeed("ok")))
	var answered atomic.Int64
	callers := f.send(f.daemons, safe, func(*testDaemon, standin.CallerResponse) { answered.Add(1) })
	defer callers.end()
	limited := func(d *testDaemon) bool { return len(d.Board.Targets.Limits(plain, time.Now())) > 0 }
	f.eventually("all know the limit", func() bool { return limited(f.daemons[0]) && limited(f.daemons[1]) })
	f.targets["t1"].Script(standin.Succeed("ok"))
	f.eventually("all know that it is lifted", func() bool { return !limited(f.daemons[0]) && !limited(f.daemons[1]) })
	const calls = 200
	before, until := f.callsAt("t1"), answered.Load()+calls
	f.eventually("more calls", func() bool { return answered.Load() >= until })
	if got := f.callsAt("t1") - before; got < calls/4 {
		t.Errorf("it gets %d of %d calls", got, calls)
	}
}

// TestWhereAllTargetsNameLimitsCallsAreRefusedAtOnce: those whose turn comes too late, with the time of
// their turn; none of them runs, and each target gets what it names.
func TestWhereAllTargetsNameLimitsCallsAreRefusedAtOnce(t *testing.T) {
	const perSecond = 2.0
	f := newFleet(t, 2, 2)
	f.eventuallyAcquainted()
	f.scriptAll(words(limitHeader, fmt.Sprint(perSecond), standin.Succeed("ok")))
	f.eventually("a refusal by each daemon", func() bool {
		for _, d := range f.daemons {
			if f.do(f.askOf(d, safe, beside)).Status != 503 {
				return false
			}
		}
		return true
	})
	refused, late := 0, 0
	began, before := time.Now(), f.callsAt("t1")+f.callsAt("t2")
	for n := 0; time.Since(began) < time.Second; n++ {
		a := f.askOf(f.daemons[n%2], safe, beside)
		sent := time.Now()
		got := f.do(a)
		if got.Status == 200 {
			continue
		}
		refused++
		if time.Since(sent) > 100*time.Millisecond {
			late++
		}
		back, err := strconv.ParseFloat(got.RetryAfter(), 64)
		if got.Status != 503 || got.Signed() || err != nil || back <= 0 || back > 4/perSecond || len(f.calls(a.ID)) > 0 {
			t.Fatalf("%+v, at targets %d times", got, len(f.calls(a.ID)))
		}
	}
	if ran, allowed := f.callsAt("t1")+f.callsAt("t2")-before, 2*allowedIn(time.Since(began), perSecond); ran > allowed || ran == 0 {
		t.Errorf("%d calls ran, allowed %d", ran, allowed)
	}
	if refused == 0 || late > refused/10 {
		t.Errorf("%d refused, %d of them late", refused, late)
	}
}
