package cluster

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"doorstack.dev/core/routing"
	"doorstack.dev/node/blackboard"
)

func (p *Placer) endOf(t *testing.T, attempt string, through uint64) {
	t.Helper()
	if _, err := p.serveProgress(t.Context(), "requester", callProgress{Attempt: attempt, Ended: true, Through: through, Result: blackboard.CallCancelled}); err != nil {
		t.Fatal(err)
	}
}

// TestEndBeforeItsRequest covers the end of a call that is handled before the request that was sent earlier, since
// requests are handled in goroutines of their own: the call was placed for nobody and counted until its
// deadline. A later request under the same attempt is placed.
func TestEndBeforeItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer(t, 1)
		p.endOf(t, "a", 3)
		in := testRequest("a")
		in.Rank, in.Number = 1, 3
		if answer, err := p.servePlace(t.Context(), "requester", in); err == nil {
			t.Errorf("answer to a request for a call that has ended = %+v, want an error", answer)
		}
		p.dispatch()
		if p.runningCalls() != 0 || len(p.coordinated) != 0 {
			t.Errorf("%d running calls and %d coordinated calls after the end, want none", p.runningCalls(), len(p.coordinated))
		}
		in.Number = 4
		if answer := p.placeOne(t, in); answer.Verdict != routing.Place {
			t.Errorf("verdict of a request sent after the end = %s, want a placement", answer.Verdict)
		}
	})
}

// TestEndBeforeCallsHandedOver covers a call that is named in a request and whose end is handled before
// that request: it was adopted and counted for adoptedCallTTL.
func TestEndBeforeCallsHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer(t, 2)
		p.endOf(t, "old", 5)
		p.endOf(t, "running", 4) // Its request was withdrawn before it was placed elsewhere.
		in := testRequest("a")
		in.Rank, in.Number = 1, 5
		in.Calls = []blackboard.CallState{{Attempt: "old", Target: "t0"}, {Attempt: "running", Target: "t1"}}
		p.placeOne(t, in)
		if p.coordinated["old"] != nil || p.coordinated["running"] == nil {
			t.Errorf("calls adopted: old %v, running %v; want only the running one", p.coordinated["old"] != nil, p.coordinated["running"] != nil)
		}
	})
}

// TestEndBeforeTheQueue covers the end of a call that is handled after its request was registered and before
// the request is in the queue: the call was then placed, and counted for good.
func TestEndBeforeTheQueue(t *testing.T) {
	p := newTestPlacer(t, 1)
	in := testRequest("a")
	call := &coordinatedCall{requester: "requester", pool: "svc", ticket: p.newTicket(p.cluster.Board.Settings.Current().Tree.Pool(in.Pool), &in, time.Now())}
	p.coordinated["a"] = call
	p.endCall("a", blackboard.CallCancelled)
	if p.queueCall(call) {
		t.Error("the request of a call that has ended waits")
	}
	p.dispatch()
	if p.runningCalls() != 0 || p.cluster.Board.Queues.Len("svc") != 0 {
		t.Errorf("%d running and %d waiting calls, want none", p.runningCalls(), p.cluster.Board.Queues.Len("svc"))
	}
}

// TestCancelledRequestIsNoPlacement covers a request that is dropped within maxAnswerDelay: it was answered with
// an empty placement, which was recorded as a decision.
func TestCancelledRequestIsNoPlacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer(t, 1)
		answered := make(chan error, 1)
		go func() {
			_, err := p.servePlace(t.Context(), "requester", testRequest("a"))
			answered <- err
		}()
		synctest.Wait()
		p.endCall("a", blackboard.CallCancelled)
		if err := <-answered; err == nil {
			t.Error("a dropped request got an answer, want an error")
		}
		if records := p.cluster.Board.Decisions.Last(10); len(records) != 0 {
			t.Errorf("records after a dropped request = %+v, want none", records)
		}
	})
}

// TestEndedAttemptsAreBounded guards against a record of ended attempts that grows with the calls.
func TestEndedAttemptsAreBounded(t *testing.T) {
	var e endedAttempts
	now := time.Now()
	for i := range 2 * maxEnded {
		e.add(fmt.Sprint(i), 1, now)
	}
	if len(e.byAttempt) != maxEnded || len(e.order) != maxEnded {
		t.Errorf("%d attempts and %d reports are kept, want %d", len(e.byAttempt), len(e.order), maxEnded)
	}
	e.add("late", 1, now.Add(endedTTL+time.Second))
	if len(e.byAttempt) != 1 {
		t.Errorf("%d attempts are kept after endedTTL, want 1", len(e.byAttempt))
	}
}
