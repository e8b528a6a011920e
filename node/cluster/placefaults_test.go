package cluster

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"doorstack.dev/core/coordination"
	"doorstack.dev/core/routing"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/peer"
)

const longLink = 4500 * time.Microsecond

// checkNothingCounted ends the fleet's calls and checks that no daemon counts or remembers one once calls whose
// end was lost with their link, or that was unnumbered, have expired.
func (f *placeFleet) checkNothingCounted() {
	f.t.Helper()
	f.silent.Store(true)
	pass(adoptedCallTTL + callExpiryMargin + time.Second)
	for _, d := range f.daemons {
		p := d.cluster.Placer
		if n := p.runningCalls(); n != 0 {
			f.t.Errorf("%s counts %d calls after all have ended, want none", d.name, n)
		}
		p.mu.Lock()
		if n := len(p.countedAt) + len(p.elsewhere) + len(p.pending) + len(p.coordinated); n != 0 {
			f.t.Errorf("%s: counted at %v, elsewhere %v, %d pending, %d coordinated after all calls have ended; want none",
				d.name, p.countedAt, p.elsewhere, len(p.pending), len(p.coordinated))
		}
		p.mu.Unlock()
	}
}

// TestLostReportOfCalls covers the loss of each message that reports calls placed elsewhere: the first coordinator does
// not know these calls, goes on to place the others, and nothing is counted after their end.
func TestLostReportOfCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lost atomic.Int64
		f := startPlaceFleet(t, longLink, func(f *placeFleet) {
			f.prepare = func(d *placeDaemon) {
				d.cluster.Hub.Handle(peer.KindCalls, peer.TypedHandler(func(context.Context, string, callsReport) (empty, error) {
					lost.Add(1)
					return empty{}, nil
				}))
			}
		})
		defer f.close()
		f.waitUntil(3 * time.Second)
		first := f.checkOneCoordinator(2*time.Second, 3*time.Second)
		f.daemon(first).host.Freeze()
		f.waitUntil(3700 * time.Millisecond)
		f.daemon(first).host.Thaw()
		f.waitUntil(6 * time.Second)
		if back := f.checkOneCoordinator(4200*time.Millisecond, 6*time.Second); back != first {
			t.Errorf("%s places the calls after %s is back", back, first)
		}
		if lost.Load() == 0 {
			t.Error("no message was lost: the test covers nothing")
		}
		f.checkNothingCounted()
	})
}

// TestRequesterOfThePreviousVersion covers a daemon that knows no ranks and asks the second of the ranking, which hears
// the first: it gets a placement, since it does not understand a redirect, and its unnumbered end is accepted.
func TestRequesterOfThePreviousVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startPlaceFleet(t, longLink)
		defer f.close()
		f.waitUntil(3 * time.Second)
		f.silent.Store(true)
		pass(time.Second)
		old := f.daemons[fleetStrong]
		second := f.daemon(old.cluster.Placer.rankingOf("svc")[1].Name)
		ask := func(in placeRequest) (answer placeAnswer) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if err := old.cluster.Hub.Call(ctx, old.cluster.address(second.name), peer.KindPlace, in, &answer); err != nil {
				t.Fatal(err)
			}
			return answer
		}
		in := testRequest("new")
		in.Rank, in.Number = 2, 1
		if answer := ask(in); answer.Verdict != verdictRedirect {
			t.Errorf("verdict for a daemon of this version = %s, want a redirect", answer.Verdict)
		}
		if answer := ask(testRequest("old")); answer.Verdict != routing.Place {
			t.Errorf("verdict for a daemon of the previous version = %s, want a placement", answer.Verdict)
		}
		if n := second.cluster.Placer.runningCalls(); n != 1 {
			t.Errorf("the second daemon counts %d calls, want 1", n)
		}
		old.cluster.Placer.notify(second.name, peer.KindProgress, struct {
			Attempt string `cbor:"1,keyasint"`
			Ended   bool   `cbor:"2,keyasint,omitempty"`
		}{"old", true})
		f.checkNothingCounted()
	})
}

// TestCoordinatorsOfThePreviousVersion covers a fleet whose strong hosts run a version that knows neither ranks nor
// numbers nor the messages ping and calls: one of them places the calls, also while the first is frozen and after.
func TestCoordinatorsOfThePreviousVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		strong := 0
		f := startPlaceFleet(t, longLink, func(f *placeFleet) {
			f.prepare = func(d *placeDaemon) {
				if strong++; strong > fleetStrong {
					return
				}
				hub := d.cluster.Hub
				hub.Handle(peer.KindCalls, nil)
				hub.Handle(peer.KindPing, nil)
				hub.Handle(peer.KindPlace, peer.TypedHandler(func(ctx context.Context, from string, in placeRequest) (placeAnswer, error) {
					in.Rank, in.Insist, in.Number = 0, false, 0
					return d.cluster.Placer.servePlace(ctx, from, in)
				}))
			}
		})
		defer f.close()
		f.waitUntil(3 * time.Second)
		first := f.checkOneCoordinator(0, 3*time.Second)
		f.daemon(first).host.Freeze()
		f.waitUntil(4500 * time.Millisecond)
		if second := f.checkOneCoordinator(3200*time.Millisecond, 4500*time.Millisecond, first); second == first {
			t.Errorf("%s places calls while it is frozen", first)
		}
		f.daemon(first).host.Thaw()
		f.waitUntil(6 * time.Second)
		if back := f.checkOneCoordinator(4700*time.Millisecond, 6*time.Second); back != first {
			t.Errorf("%s places the calls after %s is back", back, first)
		}
		f.checkNothingCounted()
	})
}

// linkWatch counts the links to the daemons that coordinate which were closed.
type linkWatch struct {
	*placementLinks
	closed atomic.Int64
}

// LinkChanged implements peer.Observer.
func (w *linkWatch) LinkChanged(name string) {
	for _, c := range w.cluster.Placer.rankingOf("svc")[:min(keepRanks, len(w.cluster.Placer.rankingOf("svc")))] {
		if c.Name == name && !w.cluster.Hub.HasLink(name) {
			w.closed.Add(1)
		}
	}
	w.placementLinks.LinkChanged(name)
}

// TestWarmLinksAreNotClosedAsIdle covers a pool without calls for longer than linkIdleTimeout: the first call
// afterwards must not wait for a link to be opened. The measurement of each minute keeps the link in use on both sides;
// that this daemon's CloseIdle spares the links that it wants does not stop the other side from closing them.
func TestWarmLinksAreNotClosedAsIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		watches := map[string]*linkWatch{}
		f := startPlaceFleet(t, longLink, func(f *placeFleet) {
			f.silent.Store(true)
			f.weak = 2
			f.prepare = func(d *placeDaemon) {
				watches[d.name] = &linkWatch{placementLinks: d.cluster.Placer.links}
				d.cluster.Hub.SetObserver(watches[d.name])
			}
		})
		defer f.close()
		f.waitUntil(2 * time.Second)
		before := map[string]int64{}
		for name, w := range watches {
			before[name] = w.closed.Load()
		}
		f.waitUntil(6 * time.Minute)
		for _, d := range f.daemons {
			if n := watches[d.name].closed.Load() - before[d.name]; n != 0 {
				t.Errorf("%s: %d links to daemons that coordinate were closed, want none", d.name, n)
			}
			for _, c := range d.cluster.Placer.rankingOf("svc")[:keepRanks] {
				if c.Name != d.name && d.cluster.Placer.links.state(c.Name) != coordination.Ready {
					t.Errorf("%s: link to %s is %s, want ready", d.name, c.Name, d.cluster.Placer.links.state(c.Name))
				}
			}
		}
	})
}

// TestCoordinatorOfAWaitingCallDies covers a call that waits for its turn at a coordinator which is killed: it goes on to
// the next daemon as soon as the link is closed, however long it has waited.
func TestCoordinatorOfAWaitingCallDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startPlaceFleet(t, longLink, func(f *placeFleet) { f.silent.Store(true) })
		defer f.close()
		f.waitUntil(2 * time.Second)
		requester := f.daemons[fleetStrong]
		ranking := requester.cluster.Placer.rankingOf("svc")
		first, second := f.daemon(ranking[0].Name), ranking[1].Name
		now := time.Now()
		for i := range 7 { // Only the first daemon knows of these calls: it lets all others wait.
			for range 64 {
				first.board.Targets.Adopt(blackboard.CallState{Attempt: time.Now().String() + string(rune('a'+i)), Target: "t" + string(rune('0'+i))}, now)
				pass(time.Nanosecond)
			}
		}
		type placed struct {
			by string
			ok bool
			at time.Time
		}
		done := make(chan placed, 1)
		go func() {
			placement, ok := requester.cluster.Placer.Place(t.Context(), requester.newFleetTicket("waits", time.Now()))
			done <- placed{placement.DecidedBy, ok, time.Now()}
		}()
		pass(700 * time.Millisecond) // The request is repeated twice, and the goal is over.
		select {
		case got := <-done:
			t.Fatalf("the call does not wait: %+v", got)
		default:
		}
		killed := time.Now()
		first.stop()
		got := <-done
		first.cluster.Placer.endCall("waits", blackboard.CallCancelled) // A killed process has no goroutines.
		if !got.ok || got.by != second {
			t.Errorf("the call is placed by %q (%v), want %q", got.by, got.ok, second)
		}
		if took := got.at.Sub(killed); took > fleetGoal/3 {
			t.Errorf("the call is placed %v after the coordinator was killed, want a third of the goal at most", took)
		}
	})
}
