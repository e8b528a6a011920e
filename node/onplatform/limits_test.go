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

// limitHeader is the header in which a target declares its rate limit, in calls a second.
const limitHeader = "Server-Limit"

// loadGenerator is a number of callers that each send one call after the other until they are stopped.
type loadGenerator struct {
	stop chan struct{}
	done sync.WaitGroup
}

// callersPerDaemon is the number of callers at each daemon.
const callersPerDaemon = 2

// startLoad starts callers of a path at the daemons and calls got with each answer.
func (f *fleet) startLoad(daemons []*testDaemon, path string, got func(*testDaemon, standin.CallerResponse)) *loadGenerator {
	h := &loadGenerator{stop: make(chan struct{})}
	for _, d := range daemons {
		for caller := range callersPerDaemon {
			h.done.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-h.stop:
						return
					default:
					}
					a := &standin.CallerRequest{
						Daemon: d.boot.CallerAddress, Host: routeHost, Path: path + "x", ID: fmt.Sprintf("%s-%d-%d-%s", d.boot.Name, caller, n, path[1:2]),
						APIKey: apiKey, DeadlineMS: 4000, Body: soundBody, TokenCounts: "100,10",
					}
					got(d, f.do(a))
				}
			})
		}
	}
	return h
}

// stopAndWait stops the callers and waits for their last calls.
func (h *loadGenerator) stopAndWait() {
	close(h.stop)
	h.done.Wait()
}

// addEngines adds model engines and waits until all daemons know them.
func (f *fleet) addEngines(n int) {
	for i := range n {
		f.addTarget(fmt.Sprint("e", i+1), engineService, 16)
	}
	for _, d := range f.daemons {
		f.waitReady(d)
	}
}

// daemonSet is a set of daemons.
type daemonSet struct {
	mu    sync.Mutex
	names map[string]bool
}

func (l *daemonSet) add(d *testDaemon) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.names[d.boot.Name] = true
}

func (l *daemonSet) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.names)
}

// maxAllowedCalls returns the number of calls that a target with a limit of perSecond may get in a time d.
// The platform's rule is for 4 s; this applies it to any time.
func maxAllowedCalls(d time.Duration, perSecond float64) int {
	return int(1.5*perSecond*d.Seconds() + 5)
}

// TestTargetLimitHoldsForWholeFleet checks that a target gets no more calls than its declared limit
// allows from all daemons together, whichever of them is the coordinator.
func TestTargetLimitHoldsForWholeFleet(t *testing.T) {
	const perSecond, calls, window = 2.0, 600, time.Second
	for path, target := range map[string]string{safePath: "t1", promptPath: "e1"} {
		t.Run(path[1:len(path)-1], func(t *testing.T) {
			f := newFleet(t, 3, 3)
			f.addEngines(3)
			f.awaitMembership()
			answer := standin.Succeed("ok")
			if path == promptPath {
				answer = standin.AnswerStream(1, 3, false)
			}
			f.scriptAll(answer)
			f.targets[target].Script(withHeader(limitHeader, fmt.Sprint(perSecond), answer))
			relayed := daemonSet{names: map[string]bool{}}
			var answered atomic.Int64
			callers := f.startLoad(f.daemons, path, func(d *testDaemon, got standin.CallerResponse) {
				answered.Add(1)
				if got.Header.Get(limitHeader) != "" {
					relayed.add(d)
				}
			})
			defer callers.stopAndWait()
			f.eventually("each daemon to relay the limit", func() bool { return relayed.count() == len(f.daemons) })
			began, before, until := time.Now(), f.callCount(target), answered.Load()+calls
			f.eventually("more calls", func() bool { return answered.Load() >= until && time.Since(began) >= window })
			if got, allowed := f.callCount(target)-before, maxAllowedCalls(time.Since(began), perSecond); got > allowed {
				t.Errorf("%s got %d calls in %v, want %d at most", target, got, time.Since(began), allowed)
			}
		})
	}
}

// TestTargetIsUsedAgainAfterLimitIsLifted checks that when a target no longer declares a limit, all
// daemons send it calls again at once.
func TestTargetIsUsedAgainAfterLimitIsLifted(t *testing.T) {
	f := newFleet(t, 2, 2)
	f.awaitMembership()
	f.targets["t1"].Script(withHeader(limitHeader, "2", standin.Succeed("ok")))
	var answered atomic.Int64
	callers := f.startLoad(f.daemons, safePath, func(*testDaemon, standin.CallerResponse) { answered.Add(1) })
	defer callers.stopAndWait()
	limited := func(d *testDaemon) bool { return len(d.Board.Targets.Limits(plainService, time.Now())) > 0 }
	f.eventually("both daemons to know the limit", func() bool { return limited(f.daemons[0]) && limited(f.daemons[1]) })
	f.targets["t1"].Script(standin.Succeed("ok"))
	f.eventually("both daemons to know that the limit is lifted", func() bool { return !limited(f.daemons[0]) && !limited(f.daemons[1]) })
	const calls = 200
	before, until := f.callCount("t1"), answered.Load()+calls
	f.eventually("more calls", func() bool { return answered.Load() >= until })
	if got := f.callCount("t1") - before; got < calls/4 {
		t.Errorf("target without a limit got %d of %d calls, want %d at least", got, calls, calls/4)
	}
}

// TestCallsAreRefusedAtOnceWhenAllTargetsAreLimited checks that if all targets declare limits, calls
// that would have to wait too long are refused at once, with the time until they could be sent in
// Retry-After. Refused calls reach no target, and the targets get no more calls than their limits
// allow.
func TestCallsAreRefusedAtOnceWhenAllTargetsAreLimited(t *testing.T) {
	const perSecond = 2.0
	f := newFleet(t, 2, 2)
	f.awaitMembership()
	f.scriptAll(withHeader(limitHeader, fmt.Sprint(perSecond), standin.Succeed("ok")))
	f.eventually("a refusal by each daemon", func() bool {
		for _, d := range f.daemons {
			if f.do(f.newRequestTo(d, safePath, soundBody)).Status != 503 {
				return false
			}
		}
		return true
	})
	refused, late := 0, 0
	began, before := time.Now(), f.callCount("t1")+f.callCount("t2")
	for n := 0; time.Since(began) < time.Second; n++ {
		a := f.newRequestTo(f.daemons[n%2], safePath, soundBody)
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
		if got.Status != 503 || got.Signed() || err != nil || back <= 0 || back > 4/perSecond || len(f.callsWithID(a.ID)) > 0 {
			t.Fatalf("refused call = %+v, reached targets %d times; want an unsigned 503 with Retry-After in (0, %v] that reached none", got, len(f.callsWithID(a.ID)), 4/perSecond)
		}
	}
	if ran, allowed := f.callCount("t1")+f.callCount("t2")-before, 2*maxAllowedCalls(time.Since(began), perSecond); ran > allowed || ran == 0 {
		t.Errorf("targets got %d calls, want between 1 and %d", ran, allowed)
	}
	if refused == 0 || late > refused/10 {
		t.Errorf("%d calls refused, %d of them after more than 100 ms, want some and a tenth of them late at most", refused, late)
	}
}
