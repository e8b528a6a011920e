package cluster

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"doorstack.dev/core/coordination"
	"doorstack.dev/core/once"
	"doorstack.dev/node/requestcontrol"
)

// newClaim returns a claim of a request's arrival.
func newClaim(id string, owner once.Owner) once.Claim {
	return once.NewClaim(once.KeyOf(id), owner, time.Now(), fleetTimeout)
}

// awaitSenders waits until the fleet has started. It returns two daemons on weak hosts, which coordinate nothing, and the ranking.
func (f *placeFleet) awaitSenders() (sender, other *placeDaemon, ranking []coordination.Candidate) {
	f.waitUntil(3 * time.Second)
	sender, other = f.daemons[fleetStrong], f.daemons[fleetStrong+1]
	return sender, other, sender.cluster.Placer.rankingOf(claimRanking)
}

// callTime is how long the callers of the tests wait.
const callTime = 1500 * time.Millisecond

// claimSend claims a call at a daemon, and returns whether it may be sent and how long that took.
func (d *placeDaemon) claimSend(c once.Claim) (verdict once.Verdict, held requestcontrol.SendClaim, took time.Duration) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	held, verdict = d.cluster.Placer.ClaimSend(ctx, c)
	return verdict, held, time.Since(began)
}

// beginSend claims a call at a daemon, and returns whether it may be sent and how long that took.
func (d *placeDaemon) beginSend(c once.Claim) (ok bool, took time.Duration) {
	verdict, _, took := d.claimSend(c)
	return verdict == once.Send, took
}

// TestFrozenHolderDelaysFewSends guards against daemons that wait for a frozen holder of claims before each call.
func TestFrozenHolderDelaysFewSends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startPlaceFleet(t, longLink, func(f *placeFleet) { f.silent.Store(true) })
		defer f.close()
		sender, other, ranking := f.awaitSenders()
		ok, _ := sender.beginSend(newClaim("opens the links", 1))
		okAgain, usual := sender.beginSend(newClaim("over open links", 1))
		if !ok || !okAgain || usual >= coordination.MinTimeout {
			t.Errorf("calls may be sent %v and %v after %v, want to be sent before %v", ok, okAgain, usual, coordination.MinTimeout)
		}
		f.daemon(ranking[1].Name).host.Freeze()
		slow := 0
		for i := range 15 {
			ok, took := sender.beginSend(newClaim(fmt.Sprint("frozen-", i), 1))
			if took >= coordination.MinTimeout {
				slow++
			}
			if !ok || took > coordination.MaxTimeout {
				t.Errorf("call %d beside a frozen daemon: may be sent %v after %v, want to be sent within %v", i, ok, took, coordination.MaxTimeout)
			}
			pass(50 * time.Millisecond)
		}
		if slow > 2 {
			t.Errorf("%d of 15 calls waited for a frozen daemon, want two at most", slow)
		}
		if ok, _ := other.beginSend(newClaim("frozen-3", 2)); ok {
			t.Error("a repeat may be sent while one of the daemons that hold the claim is frozen")
		}
	})
}

// TestClaimOutlivesItsHolders guards against a repeat that is sent although one of the daemons which knew of the first send still
// runs.
func TestClaimOutlivesItsHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startPlaceFleet(t, longLink, func(f *placeFleet) { f.silent.Store(true) })
		defer f.close()
		sender, other, ranking := f.awaitSenders()
		kept, withdrawn := newClaim("kept", 1), newClaim("withdrawn", 1)
		for _, c := range []once.Claim{kept, withdrawn} {
			if ok, _ := sender.beginSend(c); !ok {
				t.Fatal("a first arrival may not be sent")
			}
		}
		_, held, _ := sender.claimSend(withdrawn)
		sender.cluster.Placer.WithdrawSend(held)
		sender.stop()
		for _, c := range ranking[:claimHolders-1] {
			f.daemon(c.Name).stop()
		}
		for at := range 3 {
			pass(time.Duration(at) * 200 * time.Millisecond)
			if verdict, _, _ := other.claimSend(newClaim("kept", 2)); verdict != once.Repeated {
				t.Errorf("%d: verdict on a repeat = %v while a daemon that holds the claim runs, want Repeated", at, verdict)
			}
		}
		if ok, _ := other.beginSend(newClaim("withdrawn", 2)); !ok {
			t.Error("a request whose first arrival has not run may not be sent")
		}
	})
}

// TestSilentHolderOfClaimIsNamed guards against a log from which nobody can tell which daemons did not say whether a call was sent
// before.
func TestSilentHolderOfClaimIsNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startPlaceFleet(t, longLink, func(f *placeFleet) { f.silent.Store(true) })
		defer f.close()
		sender, _, ranking := f.awaitSenders()
		sender.beginSend(newClaim("opens the links", 1))
		f.daemon(ranking[1].Name).host.Freeze()
		for i := range 3 {
			if _, held, _ := sender.claimSend(newClaim(fmt.Sprint("frozen-", i), 1)); !slices.Equal(held.Silent, []string{ranking[1].Name}) {
				t.Errorf("call %d: daemons that did not answer = %q, want the frozen one, %s", i, held.Silent, ranking[1].Name)
			}
		}
	})
}

// TestDaemonThatHearsNobodyDoesNotSendRepeat guards against a repeat that is sent by a daemon which takes the silence of those that hold the
// claim for their consent, as after it stood still itself.
func TestDaemonThatHearsNobodyDoesNotSendRepeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startPlaceFleet(t, longLink, func(f *placeFleet) { f.silent.Store(true) })
		defer f.close()
		sender, other, _ := f.awaitSenders()
		for _, id := range []string{"unheard", "heard late"} {
			if ok, _ := sender.beginSend(newClaim(id, 1)); !ok {
				t.Fatal("a first arrival may not be sent")
			}
		}
		other.beginSend(newClaim("opens the links", 2))
		other.host.Freeze()
		for range 3 {
			if verdict, held, took := other.claimSend(newClaim("unheard", 2)); verdict != once.Undecided || took != callTime {
				t.Errorf("verdict of a daemon that hears nobody = %v after %v (%+v), want Undecided at the end of the caller's time, %v", verdict, took, held.SendClaim, callTime)
			}
		}
		thawed := time.AfterFunc(callTime/2, other.host.Thaw)
		defer thawed.Stop()
		if verdict, _, _ := other.claimSend(newClaim("heard late", 2)); verdict != once.Repeated {
			t.Errorf("verdict of a daemon that hears the others again in time = %v, want Repeated", verdict)
		}
	})
}

// TestCallWaitsForMajorityOfHolders guards against calls that fail although enough of the daemons that must agree answer in time, if late.
func TestCallWaitsForMajorityOfHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startPlaceFleet(t, longLink, func(f *placeFleet) { f.silent.Store(true) })
		defer f.close()
		sender, other, ranking := f.awaitSenders()
		sender.beginSend(newClaim("opens the links", 1))
		other.beginSend(newClaim("opens the links too", 1))
		const frozenFor = callTime / 3
		for _, c := range ranking[:claimHolders/2] {
			f.daemon(c.Name).host.Freeze()
			defer time.AfterFunc(frozenFor, f.daemon(c.Name).host.Thaw).Stop()
		}
		if ok, took := sender.beginSend(newClaim("waits", 1)); !ok || took < frozenFor || took > frozenFor+coordination.MaxTimeout {
			t.Errorf("call while half of the holders are frozen for %v: may be sent %v after %v, want to be sent soon after they go on", frozenFor, ok, took)
		}
		if ok, _ := other.beginSend(newClaim("waits", 2)); ok {
			t.Error("a repeat may be sent")
		}
	})
}

// TestOneOfTwoArrivalsAtOnceIsSent guards against a request that no daemon sends, because each of two has claimed it at some of the holders.
func TestOneOfTwoArrivalsAtOnceIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startPlaceFleet(t, longLink, func(f *placeFleet) { f.silent.Store(true) })
		defer f.close()
		sender, other, ranking := f.awaitSenders()
		first, second := f.daemon(ranking[0].Name), f.daemon(ranking[1].Name)
		for i, pair := range [][2]*placeDaemon{{sender, other}, {other, sender}, {first, other}, {sender, second}, {first, second}, {second, first}} {
			id := fmt.Sprint("twin-", i)
			sent := make(chan bool, len(pair))
			for _, d := range pair {
				go func() { sent <- d.arrive(id) }()
			}
			if a, b := <-sent, <-sent; a == b {
				t.Errorf("%s and %s get the same request at once: sent %v and %v, want that one sends it", pair[0].name, pair[1].name, a, b)
			}
		}
	})
}

// arrive claims a request of the daemon's callers as a daemon does, and reports whether it may be sent.
func (d *placeDaemon) arrive(id string) bool {
	claim, _, ok := d.board.SingleSends.Arrive(once.KeyOf(id), time.Now(), callTime)
	if !ok {
		return false
	}
	verdict, held, _ := d.claimSend(claim)
	if verdict != once.Send {
		d.cluster.Placer.WithdrawSend(held)
		d.board.SingleSends.End(claim, true)
	}
	return verdict == once.Send
}

// TestWithdrawnClaimIsForgottenBySilentHolder guards against a request that is refused as a repeat although it was never sent, because a holder
// was frozen when its claim was withdrawn.
func TestWithdrawnClaimIsForgottenBySilentHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startPlaceFleet(t, longLink, func(f *placeFleet) { f.silent.Store(true) })
		defer f.close()
		sender, other, ranking := f.awaitSenders()
		sender.beginSend(newClaim("opens the links", 1))
		other.beginSend(newClaim("opens the links too", 1))
		const calls = 40
		frozen := f.daemon(ranking[1].Name)
		frozen.host.Freeze()
		for i := range calls {
			_, held, _ := sender.claimSend(newClaim(fmt.Sprint("withdrawn-", i), 1))
			sender.cluster.Placer.WithdrawSend(held)
		}
		frozen.host.Thaw()
		pass(time.Second)
		refused := 0
		for i := range calls {
			if ok, _ := other.beginSend(newClaim(fmt.Sprint("withdrawn-", i), 2)); !ok {
				refused++
			}
		}
		if refused > 0 {
			t.Errorf("%d of %d requests that were never sent are refused", refused, calls)
		}
	})
}
