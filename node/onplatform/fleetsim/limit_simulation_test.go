package fleetsim

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"doorstack.dev/core/admission"
	"doorstack.dev/core/forward"
	"doorstack.dev/core/hostlist"
	"doorstack.dev/core/routing"
	"doorstack.dev/core/settings"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/requestcontrol"
	"doorstack.dev/node/telemetry"
	"doorstack.dev/node/worker"
	"doorstack.dev/platform"
	"github.com/go-faster/errors"
)

// The platform's rule for declared rate limits: within any limitWindow, a target may get at most limitFactor
// times the calls that its limit allows, plus limitSlack. The rule applies once limitLearnTime has passed
// since any daemon first relayed the limit to a caller. It counts the calls of each daemon from
// relayLeadTime after that daemon first relayed the limit.
const (
	limitLearnTime = 3 * time.Second
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitSlack     = 5
	relayLeadTime  = 500 * time.Millisecond
)

// limitedTarget is a simulated target that declares a rate limit and records the calls that reach it.
type limitedTarget struct {
	perSecond    float64
	mu           sync.Mutex
	firstRelayed map[string]time.Time // by daemon: when it first relayed the limit to a caller
	arrivals     []arrival
}

// arrival is a call that reached a limitedTarget, and the daemon that sent it.
type arrival struct {
	at     time.Time
	daemon string
}

// recordCall records a call of a daemon.
func (l *limitedTarget) recordCall(by string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, arrival{time.Now(), by})
}

// recordRelay records that a daemon has relayed the limit to a caller.
func (l *limitedTarget) recordRelay(by string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.firstRelayed[by]; !known {
		l.firstRelayed[by] = time.Now()
	}
}

// maxCallsInWindow returns the largest number of calls in a limitWindow, of those that count by the rule.
func (l *limitedTarget) maxCallsInWindow() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	var counted []arrival
	first := time.Time{}
	for _, at := range l.firstRelayed {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	for _, a := range l.arrivals {
		if at, relayed := l.firstRelayed[a.daemon]; relayed && a.at.Sub(at) >= relayLeadTime && a.at.Sub(first) >= limitLearnTime {
			counted = append(counted, a)
		}
	}
	most := 0
	for from, to := 0, 0; to < len(counted); to++ {
		for counted[to].at.Sub(counted[from].at) > limitWindow {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// limitFleet is a simFleet whose daemons place calls at simulated targets.
type limitFleet struct {
	*simFleet
	targets map[string]*limitedTarget // those that declare a limit, or whose calls are recorded
	// config is the configuration, and entryRevision the revision of the last change of a target.
	config        []byte
	entryRevision hostlist.Position
	calls         sync.WaitGroup
	workers       sync.WaitGroup
	mu            sync.Mutex
	shutdowns     map[string]func() // by daemon name: stops the daemon
	served        int
	refusalTimes  []time.Duration // for each refused call, the time until the refusal
}

// callGoal is the latency goal of the calls, and callTimeout is when their callers give up.
const (
	callGoal    = 300 * time.Millisecond
	callTimeout = 3 * time.Second
)

// minRefusalsPerLateOne says how rare late refusals must be: at most one in this number may come more than
// a third of callGoal after the call. Late refusals are expected only for requests to a coordinator that
// stopped.
const minRefusalsPerLateOne = 50

// startLoad delivers the settings and the targets to all daemons and starts their workers and callers; each
// daemon gets one call per pause. After ctx has ended, end waits for the last calls and stops the workers.
func (f *limitFleet) startLoad(ctx context.Context, targets int, pause time.Duration) (end func()) {
	working, stopWork := context.WithCancel(context.Background())
	if f.config == nil {
		f.config = configText(1, 10)
	}
	changes, err := platform.ConfigChanges(f.config)
	if err != nil {
		f.t.Fatal(err)
	}
	f.entryRevision = 1
	targetList := hostlist.Update{Full: true, AsOf: f.entryRevision}
	for i := range targets {
		targetList.Hosts = append(targetList.Hosts, f.targetEntry(i, f.entryRevision))
	}
	for _, d := range f.daemons {
		if err := d.settings.Apply(changes, "store"); err != nil && !errors.Is(err, settings.ErrNotNewer) {
			f.t.Fatal(err)
		}
		d.board.MergeUpdate(targetList, time.Now())
		daemonCtx, stopDaemon := context.WithCancel(ctx)
		workers := worker.Pool{Board: d.board, Size: 1}
		f.workers.Go(func() { workers.Run(working) })
		f.shutdowns[d.name] = func() { stopDaemon(); f.stop(d) }
		f.calls.Go(func() {
			passTime(5 * time.Second) // By then all daemons know each other.
			for n := 0; daemonCtx.Err() == nil; n++ {
				f.calls.Go(func() { f.placeCall(daemonCtx, d, fmt.Sprintf("%s-%d", d.name, n)) })
				passTime(pause)
			}
		})
	}
	return func() {
		f.calls.Wait()
		passTime(callTimeout) // By then requests to stopped coordinators have timed out.
		stopWork()
		f.workers.Wait()
	}
}

// targetEntry returns the entry of target i at a revision.
func (f *limitFleet) targetEntry(i int, revision hostlist.Position) hostlist.Host {
	return hostlist.Host{
		ID: fmt.Sprint("t", i), Role: hostlist.RoleTarget, Address: fmt.Sprintf("10.1.0.%d:1", i), Pool: "svc", State: hostlist.Live, Revision: revision, Slots: 64,
	}
}

// placeCall places a call as a daemon does, and lets its target answer it.
func (f *limitFleet) placeCall(ctx context.Context, d *simDaemon, id string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := time.Now()
	ticket := &blackboard.Ticket{
		Attempt: id, Pool: d.board.Settings.Current().Tree.Pool("svc"), Deadline: began.Add(callTimeout),
		Request: routing.Request{ID: id, DataCentre: d.dataCentre, Goal: callGoal.Seconds()},
		Item:    &admission.Item{ID: id, Account: "/t1", Tokens: 1, Arrived: began},
	}
	placement, ok := d.cluster.Placer.Place(ctx, ticket)
	if !ok {
		ticket.Request.Uncoordinated = !d.cluster.Placer.Coordinates("svc")
		ticket.Request.DaemonCount = d.board.Members.DaemonCount()
		d.board.Queues.Push(ticket)
		select {
		case placement = <-ticket.Placed():
		case <-ctx.Done():
			return
		}
	}
	if placement.Decision.Verdict != routing.Place {
		f.mu.Lock()
		f.refusalTimes = append(f.refusalTimes, time.Since(began))
		f.mu.Unlock()
		return
	}
	f.answerCall(d, placement.Decision.Chosen, id)
}

// answerCall lets a target answer a call 21 ms after it was placed, and reports the answer and the limit in it
// as a daemon does.
func (f *limitFleet) answerCall(d *simDaemon, id, attempt string) {
	sent, target := time.Now(), f.targets[id]
	passTime(time.Millisecond)
	limit := forward.Limit{Lifted: true}
	if target != nil {
		target.recordCall(d.name)
		limit = forward.DeclaredLimit(target.perSecond)
	}
	passTime(20 * time.Millisecond)
	if target != nil {
		target.recordRelay(d.name)
	}
	record := telemetry.Recorder{Board: d.board, Log: slog.New(slog.DiscardHandler), Metrics: d.metrics}
	if changed := record.RecordNotice("svc", id, forward.Notice{Limit: limit}, sent); limit.Declared || changed {
		d.cluster.Placer.ReportLimit("svc", id, forward.Notice{Limit: limit}, sent)
	}
	d.board.Targets.Finish(attempt, blackboard.CallSucceeded, time.Now())
	d.cluster.Placer.ReportFinished(requestcontrol.CallEnd{Attempt: attempt, Result: blackboard.CallSucceeded})
	d.board.Queues.Wake("svc")
	f.mu.Lock()
	f.served++
	f.mu.Unlock()
}

// coordinatorGap bounds the time in which no daemon takes itself for the coordinator, as daemons learn at different times of a
// change of their members.
const coordinatorGap = time.Second

// stopCoordinator stops the daemon that places the pool's calls.
func (f *limitFleet) stopCoordinator() {
	for began := time.Now(); time.Since(began) <= coordinatorGap; passTime(10 * time.Millisecond) {
		for _, d := range f.daemons {
			if end := f.shutdowns[d.name]; end != nil && d.cluster.Placer.Coordinates("svc") {
				delete(f.shutdowns, d.name)
				end()
				return
			}
		}
	}
	f.t.Errorf("no running daemon has coordinated the pool for %v, want one", coordinatorGap)
}

// TestTargetLimitHoldsAcrossCoordinatorChanges checks that targets get no more calls than their
// declared limits allow, in fleets of two sizes whose coordinators stop one after the other, with some
// or all of the targets declaring a limit.
func TestTargetLimitHoldsAcrossCoordinatorChanges(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		strong, weak, targets, limited int
		perSecond                      float64
		pause                          time.Duration // between two calls at a daemon
	}{
		{6, 0, 4, 1, 1.4, 100 * time.Millisecond},
		{6, 0, 4, 2, 6, 60 * time.Millisecond},
		{6, 0, 3, 3, 2, 150 * time.Millisecond},
		{6, 0, 3, 1, 0, 150 * time.Millisecond},
		{4, 20, 4, 1, 1, 500 * time.Millisecond},
		{4, 20, 4, 4, 3, 500 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%d hosts, %d of %d targets declare %v", c.strong+c.weak, c.limited, c.targets, c.perSecond), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &limitFleet{simFleet: startSimFleet(t, c.strong, c.weak, 0), targets: map[string]*limitedTarget{}, shutdowns: map[string]func(){}}
				defer f.close()
				for i := range c.limited {
					f.targets[fmt.Sprint("t", i)] = &limitedTarget{perSecond: c.perSecond, firstRelayed: map[string]time.Time{}}
				}
				ctx, cancel := context.WithCancel(t.Context())
				end := f.startLoad(ctx, c.targets, c.pause)
				passTime(12 * time.Second)
				f.stopCoordinator()
				passTime(4 * time.Second)
				f.stopCoordinator()
				passTime(6 * time.Second)
				cancel()
				end()
				allowed := int(limitFactor*c.perSecond*limitWindow.Seconds() + limitSlack)
				for id, target := range f.targets {
					if most := target.maxCallsInWindow(); most > allowed {
						t.Errorf("%s got %d calls in %v, want %d at most", id, most, limitWindow, allowed)
					}
					t.Logf("%s got %d calls, %d in a window, allowed %d", id, len(target.arrivals), target.maxCallsInWindow(), allowed)
				}
				late := len(slices.DeleteFunc(slices.Clone(f.refusalTimes), func(after time.Duration) bool { return after <= callGoal/3 }))
				if late*minRefusalsPerLateOne > len(f.refusalTimes) {
					t.Errorf("%d of %d refusals came more than %v after the call, want one in %d at most", late, len(f.refusalTimes), callGoal/3, minRefusalsPerLateOne)
				}
				t.Logf("%d calls served, %d refused, %d of them late", f.served, len(f.refusalTimes), late)
			})
		})
	}
}
