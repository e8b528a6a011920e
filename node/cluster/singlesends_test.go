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
)

// newClaim returns a claim of a request's arrival.
func newClaim(id string, owner once.Owner) once.Claim {
	return once.NewClaim(once.KeyOf(id), owner, time.Now(), fleetTimeout)
}

// awaitSenders waits until the fleet has started. It returns two daemons on weak hosts, which coordinate nothing, and the ranking.
func (f *placeFleet) awaitSenders() (sender, other *placeDaemon, ranking []coordination.Candidate) {
	f.waitUntil(3 * time.Second)
	sender, other = f.daemons[fleetStrong], f.daemons[fleetStrong+1]
	return sender, other, sender.cluster.Placer.rankingOf("svc")
}

// beginSend claims a call at a daemon, and returns whether it may be sent and how long that took.
func (d *placeDaemon) beginSend(c once.Claim) (ok bool, took time.Duration) {
	began := time.Now()
	_, ok = d.cluster.Placer.BeginSend(context.Background(), "svc", "", c)
	return ok, time.Since(began)
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
		held, _ := sender.cluster.Placer.BeginSend(context.Background(), "svc", "", withdrawn)
		sender.cluster.Placer.WithdrawSend(context.Background(), held)
		sender.stop()
		for _, c := range ranking[:claimHolders-1] {
			f.daemon(c.Name).stop()
		}
		for at := range 3 {
			pass(time.Duration(at) * 200 * time.Millisecond)
			if _, sent := other.cluster.Placer.SentBefore(context.Background(), "svc", newClaim("kept", 2)); !sent {
				t.Errorf("%d: nobody knows of the first send", at)
			}
			if ok, _ := other.beginSend(newClaim("kept", 2)); ok {
				t.Errorf("%d: a repeat may be sent while a daemon that holds the claim runs", at)
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
			held, _ := sender.cluster.Placer.BeginSend(context.Background(), "svc", "", newClaim(fmt.Sprint("frozen-", i), 1))
			if named := slices.Concat(held.Silent, held.Unasked); !slices.Equal(named, []string{ranking[1].Name}) {
				t.Errorf("call %d: daemons that did not answer = %q, want the frozen one, %s", i, named, ranking[1].Name)
			}
		}
	})
}
