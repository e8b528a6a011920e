package fleetsim

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"doorstack.dev/core/admission"
	"doorstack.dev/core/hostlist"
	"doorstack.dev/core/routing"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/requestcontrol"
	"doorstack.dev/node/worker"
	"doorstack.dev/platform"
)

// disconnectLimit is the time after the disconnection of its caller from which on a call must not be
// counted anywhere.
const disconnectLimit = 500 * time.Millisecond

// oneWayDelay is the delay between the two daemons, as between data centres.
const oneWayDelay = 4500 * time.Microsecond

// coordinatedFleet is a fleet in virtual time whose daemons place calls of one plain service with one target.
type coordinatedFleet struct {
	*simFleet
	coordinator, requester *simDaemon
	tickets                int
}

// startCoordinatedFleet starts a fleet of two daemons and waits until both agree on the
// coordinator.
func startCoordinatedFleet(t *testing.T, slots int) *coordinatedFleet {
	f := &coordinatedFleet{simFleet: startDelayedSimFleet(t, 2, 0, 0, oneWayDelay)}
	changes, err := platform.ConfigChanges(configText(1, 1))
	if err != nil {
		t.Fatal(err)
	}
	working, stop := context.WithCancel(context.Background())
	f.stopFuncs = append([]func(){stop}, f.stopFuncs...)
	for _, d := range f.daemons {
		if err := d.settings.Apply(changes, "store"); err != nil {
			t.Fatal(err)
		}
		d.board.MergeUpdate(hostlist.Update{Full: true, AsOf: 1, Hosts: []hostlist.Host{{
			ID: "t1", Role: hostlist.RoleTarget, Address: "10.1.0.1:1", Pool: plainService, State: hostlist.Live, Slots: slots, Revision: 1,
		}}}, time.Now())
		go (&worker.Pool{Board: d.board, Size: 1}).Run(working)
	}
	passTime(10 * time.Second)
	for i, d := range f.daemons {
		if d.cluster.Placer.Coordinates(plainService) {
			f.coordinator, f.requester = d, f.daemons[1-i]
		}
	}
	if f.coordinator == nil || f.requester.cluster.Placer.Coordinates(plainService) {
		t.Fatal("want exactly one coordinator 10 s after the start")
	}
	return f
}

// newTicket returns the ticket of a new call.
func (f *coordinatedFleet) newTicket(d *simDaemon) *blackboard.Ticket {
	f.tickets++
	id, now := fmt.Sprint("call", f.tickets), time.Now()
	return &blackboard.Ticket{
		Pool: d.board.Settings.Current().Tree.Pool(plainService), Attempt: id, Deadline: now.Add(10 * time.Second),
		Request: routing.Request{ID: id, Goal: 10}, Item: &admission.Item{ID: id, Account: "/t1", Tokens: 1, Arrived: now},
	}
}

// counted returns the calls that a daemon counts at its targets or holds in its queue.
func (d *simDaemon) counted() int {
	n := d.board.Queues.Len(plainService)
	for _, s := range d.board.Targets.Status(time.Now()) {
		n += s.OwnCalls
	}
	return n
}

// callAndDisconnect places a call whose caller disconnects after the given time, as the director does: a call
// that has a placement by then ends with the disconnection. It reports whether the call was placed.
func (f *coordinatedFleet) callAndDisconnect(after time.Duration) (placed bool) {
	ctx, disconnect := context.WithTimeout(context.Background(), after)
	defer disconnect()
	ticket := f.newTicket(f.requester)
	placement, placed := f.requester.cluster.Placer.Place(ctx, ticket)
	<-ctx.Done()
	if placed {
		f.requester.board.Targets.Finish(placement.Attempt, blackboard.CallCancelled, time.Now())
		f.requester.cluster.Placer.ReportFinished(requestcontrol.CallEnd{Attempt: placement.Attempt, Result: blackboard.CallCancelled})
	}
	return placed
}

// checkDisconnects lets callers disconnect at the given times after their call began, and checks that neither
// daemon counts the call disconnectLimit later. It returns how many calls had been placed.
func (f *coordinatedFleet) checkDisconnects(t *testing.T, times []time.Duration) (placed int) {
	t.Helper()
	before := f.coordinator.counted()
	for _, after := range times {
		if f.callAndDisconnect(after) {
			placed++
		}
		passTime(disconnectLimit)
		if got := f.coordinator.counted(); got != before {
			t.Errorf("caller disconnects after %v: the coordinator counts %d calls more %v later, want none", after, got-before, disconnectLimit)
			passTime(20 * time.Second)
		}
		if got := f.requester.counted(); got != 0 {
			t.Errorf("caller disconnects after %v: the requesting daemon counts %d calls %v later, want none", after, got, disconnectLimit)
		}
	}
	return placed
}

// occupySlot lets the coordinator place a call of its own that does not end.
func (f *coordinatedFleet) occupySlot() {
	f.coordinator.board.Queues.Push(f.newTicket(f.coordinator))
	passTime(10 * time.Millisecond)
}

// timesBetween lists the times from first to last in steps.
func timesBetween(first, last, step time.Duration) []time.Duration {
	var list []time.Duration
	for at := first; at <= last; at += step {
		list = append(list, at)
	}
	return list
}

// TestCoordinatorDropsCallOfDisconnectedCaller covers callers that disconnect before the placement request is
// sent, while the call waits at the coordinator, and after the placement: half a second later the coordinator
// must not count the call.
func TestCoordinatorDropsCallOfDisconnectedCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startCoordinatedFleet(t, 1)
		defer f.close()
		f.checkDisconnects(t, []time.Duration{0})
		if placed := f.checkDisconnects(t, timesBetween(20*time.Millisecond, 300*time.Millisecond, 5*time.Millisecond)); placed != 57 {
			t.Errorf("%d calls were placed while a slot was free, want 57", placed)
		}
		f.occupySlot()
		if placed := f.checkDisconnects(t, timesBetween(20*time.Millisecond, 250*time.Millisecond, 5*time.Millisecond)); placed != 0 {
			t.Errorf("%d calls were placed while no slot was free, want 0", placed)
		}
	})
}

// TestCoordinatorDropsCallDisconnectedDuringRequest covers callers that disconnect while the placement request,
// its answer or the repetition of a waiting request is in flight. The requesting daemon knows no placement
// then, and told the coordinator nothing, which counted the call until a second after its deadline.
func TestCoordinatorDropsCallDisconnectedDuringRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startCoordinatedFleet(t, 1)
		defer f.close()
		f.checkDisconnects(t, timesBetween(500*time.Microsecond, 9*time.Millisecond, 500*time.Microsecond))
		f.occupySlot()
		f.checkDisconnects(t, timesBetween(500*time.Microsecond, 15*time.Millisecond, 500*time.Microsecond))
		f.checkDisconnects(t, timesBetween(255*time.Millisecond, 280*time.Millisecond, time.Millisecond))
	})
}
