package onplatform

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
	"doorstack.dev/node/telemetry"
	"doorstack.dev/node/worker"
	"doorstack.dev/platform"
	"github.com/go-faster/errors"
)

// The platform's rule on limits: from limitLearnTime after a limit was first named, its target gets in any
// limitWindow at most limitShare of what the limit allows and limitSlack more calls, by daemons that had
// passed the word on relayLeadTime earlier.
const (
	limitLearnTime = 3 * time.Second
	limitWindow    = 4 * time.Second
	limitShare     = 1.5
	limitSlack     = 5
	relayLeadTime  = 500 * time.Millisecond
)

// limitedTarget is a target in virtual time that names a limit, and judges what it gets.
type limitedTarget struct {
	perSecond    float64
	mu           sync.Mutex
	firstRelayed map[string]time.Time // when each daemon first passed the limit on
	arrivals     []arrival
}

type arrival struct {
	at     time.Time
	daemon string
}

// arrive counts a call.
func (l *limitedTarget) recordCall(by string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, arrival{time.Now(), by})
}

// tell notes that a daemon has passed the limit on.
func (l *limitedTarget) recordRelay(by string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.firstRelayed[by]; !known {
		l.firstRelayed[by] = time.Now()
	}
}

// most is the most calls in a window that count.
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
		if at, told := l.firstRelayed[a.daemon]; told && a.at.Sub(at) >= relayLeadTime && a.at.Sub(first) >= limitLearnTime {
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

// limitFleet is a fleet whose daemons place calls at targets in virtual time.
type limitFleet struct {
	*simFleet
	targets      map[string]*limitedTarget // those that name a limit
	calls        sync.WaitGroup
	workers      sync.WaitGroup
	mu           sync.Mutex
	shutdowns    map[string]func() // by daemon: ends its process
	served       int
	refusalTimes []time.Duration // after how long each refused call was
}

// callGoal is the goal of the calls, and leave when their callers go.
const (
	callGoal    = 300 * time.Millisecond
	callTimeout = 3 * time.Second
)

// minRefusalsPerLateOne is how many refusals there are at least for each that comes after a third of the goal:
// those of questions whose coordinator ended.
const minRefusalsPerLateOne = 50

// begin starts so many targets, workers and callers; each daemon gets a call in each pause. Once ctx
// has ended, end waits for the last of them.
func (f *limitFleet) startLoad(ctx context.Context, targets int, pause time.Duration) (end func()) {
	working, stopWork := context.WithCancel(context.Background())
	changes, err := platform.ConfigChanges(configText(1, 10))
	if err != nil {
		f.t.Fatal(err)
	}
	facts := hostlist.Update{Full: true, AsOf: 1}
	for i := range targets {
		facts.Hosts = append(facts.Hosts, hostlist.Host{
			ID: fmt.Sprint("t", i), Role: hostlist.RoleTarget, Address: fmt.Sprintf("10.1.0.%d:1", i), Pool: "svc", State: hostlist.Live, Revision: 1, Slots: 64,
		})
	}
	for i, d := range f.daemons {
		if err := d.settings.Apply(changes, "store"); err != nil && !errors.Is(err, settings.ErrNotNewer) {
			f.t.Fatal(err)
		}
		d.board.MergeUpdate(facts, time.Now())
		life, end := context.WithCancel(ctx)
		workers := worker.Pool{Board: d.board, Size: 1}
		f.workers.Go(func() { workers.Run(working) })
		f.shutdowns[d.name] = func() { end(); f.stopFuncs[1+2*i](); f.stopFuncs[2+2*i]() }
		f.calls.Go(func() {
			passTime(5 * time.Second) // All know each other.
			for n := 0; life.Err() == nil; n++ {
				f.calls.Go(func() { f.placeCall(life, d, fmt.Sprintf("%s-%d", d.name, n)) })
				passTime(pause)
			}
		})
	}
	return func() {
		f.calls.Wait()
		passTime(callTimeout) // Questions to coordinators that ended are dropped.
		stopWork()
		f.workers.Wait()
	}
}

// call places a call as a daemon does, and answers it.
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

// answer lets a target answer a call.
func (f *limitFleet) answerCall(d *simDaemon, id, attempt string) {
	sent, target := time.Now(), f.targets[id]
	passTime(time.Millisecond)
	said := forward.Limit{Lifted: true}
	if target != nil {
		target.recordCall(d.name)
		said = forward.DeclaredLimit(target.perSecond)
	}
	passTime(20 * time.Millisecond)
	if target != nil {
		target.recordRelay(d.name)
	}
	record := telemetry.Recorder{Board: d.board, Log: slog.New(slog.DiscardHandler), Metrics: d.metrics}
	if news := record.RecordNotice("svc", id, forward.Notice{Limit: said}, sent); said.Declared || news {
		d.cluster.Placer.ReportLimit("svc", id, said, sent)
	}
	d.board.Targets.Finish(attempt, blackboard.CallSucceeded, time.Now())
	d.cluster.Placer.ReportFinished(attempt, blackboard.CallSucceeded, "", 0)
	d.board.Queues.Wake("svc")
	f.mu.Lock()
	f.served++
	f.mu.Unlock()
}

// endCoordinator ends the process of the daemon that places the pool's calls.
func (f *limitFleet) stopCoordinator() {
	for _, d := range f.daemons {
		if end := f.shutdowns[d.name]; end != nil && d.cluster.Placer.Coordinates("svc") {
			delete(f.shutdowns, d.name)
			end()
			return
		}
	}
	f.t.Error("nobody coordinates")
}

// TestTargetLimitHoldsAcrossCoordinatorChanges: fleets of two sizes whose coordinators end one
// after the other, with one target that names a limit or all of them.
func TestTargetLimitHoldsAcrossCoordinatorChanges(t *testing.T) {
	for _, c := range []struct {
		strong, weak, targets, limited int
		perSecond                      float64
		pause                          time.Duration // between two calls of a daemon
	}{
		{6, 0, 4, 1, 1.4, 100 * time.Millisecond},
		{6, 0, 4, 2, 6, 60 * time.Millisecond},
		{6, 0, 3, 3, 2, 150 * time.Millisecond},
		{6, 0, 3, 1, 0, 150 * time.Millisecond},
		{4, 20, 4, 1, 1, 500 * time.Millisecond},
		{4, 20, 4, 4, 3, 500 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%d hosts, %d of %d targets name %v", c.strong+c.weak, c.limited, c.targets, c.perSecond), func(t *testing.T) {
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
				allowed := int(limitShare*c.perSecond*limitWindow.Seconds() + limitSlack)
				for id, target := range f.targets {
					if most := target.maxCallsInWindow(); most > allowed {
						t.Errorf("%s got %d calls in %v, allowed %d", id, most, limitWindow, allowed)
					}
					t.Logf("%s got %d calls, %d in a window, allowed %d", id, len(target.arrivals), target.maxCallsInWindow(), allowed)
				}
				late := len(slices.DeleteFunc(slices.Clone(f.refusalTimes), func(after time.Duration) bool { return after <= callGoal/3 }))
				if late*minRefusalsPerLateOne > len(f.refusalTimes) {
					t.Errorf("%d of %d refusals came late", late, len(f.refusalTimes))
				}
				t.Logf("%d calls served, %d refused, %d of them late", f.served, len(f.refusalTimes), late)
			})
		})
	}
}
