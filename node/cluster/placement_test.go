package cluster

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"doorstack.dev/core/admission"
	"doorstack.dev/core/hostlist"
	"doorstack.dev/core/routing"
	"doorstack.dev/core/settings"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/controller"
	"doorstack.dev/node/peer"
	"doorstack.dev/node/telemetry"
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

const testSettings = `
engine_kinds: {rest: {protocol: service, max_concurrent: 2}}
pools: {svc: {kind: rest}}
tree: {}
`

const testSecret = "a key of sixteen characters"

// newTestPlacer returns the placements of a daemon that knows so many targets.
func newTestPlacer(t *testing.T, targets int) *Placer {
	t.Helper()
	tree, err := settings.Parse([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	metrics := telemetry.NewMetrics()
	board := blackboard.New(blackboard.Identity{Name: "self", DataCentre: "dc", Region: "r"}, blackboard.DefaultLimits())
	board.Members.Open()
	board.Settings.Adopt(&blackboard.SettingsView{Tree: tree, Revision: 1})
	facts := hostlist.Update{Full: true, AsOf: hostlist.Position(targets)}
	for i := range targets {
		facts.Hosts = append(facts.Hosts, hostlist.Host{
			ID: fmt.Sprint("t", i), Role: hostlist.RoleTarget, Address: fmt.Sprint("10.0.0.1:", i+1), Pool: "svc",
			DataCentre: "dc", Region: "r", State: hostlist.Live, Revision: hostlist.Position(i + 1),
		})
	}
	board.MergeFacts(facts, time.Now())
	board.Serve()
	record := &telemetry.Recorder{Board: board, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: metrics}
	hub := peer.NewHub("self", []string{testSecret}, metrics)
	t.Cleanup(hub.Close)
	return New(board, hub, record, nil, nil).Placer
}

func (p *Placer) dispatch() {
	p.cluster.Board.Queues.Dispatch("svc", p.cluster.Board.Targets, time.Now())
}

func testRequest(attempt string) placeRequest {
	return placeRequest{Attempt: attempt, Request: attempt, Pool: "svc", Account: "/a", DataCentre: "dc", UntilDeadline: 5 * time.Second}
}

func (p *Placer) runningCalls() int {
	calls := 0
	for _, s := range p.cluster.Board.Targets.Status(time.Now()) {
		calls += s.OwnCalls
	}
	return calls
}

// TestRefusedPlacementsAreNotKept: refused questions were remembered for ever.
func TestRefusedPlacementsAreNotKept(t *testing.T) {
	p := newTestPlacer(t, 1)
	ticket := &blackboard.Ticket{
		Attempt: "a", Pool: p.cluster.Board.Settings.Current().Tree.Pool("svc"), Item: &admission.Item{},
	}
	for _, verdict := range []routing.Verdict{routing.Refuse, routing.None} {
		p.acceptAnswer(coordinator{name: "other"}, ticket, &placeAnswer{Attempt: "a", Verdict: verdict})
	}
	if len(p.placedBy) != 0 {
		t.Fatalf("%v", p.placedBy)
	}
}

// TestCoordinatorCountsEachCallOnce: whatever order questions, their repetitions, calls
// handed over and ends come in, what has ended is not counted. A question is held for 5 ms and
// then answered later; in virtual time that does not pass before the answer is there.
func TestCoordinatorCountsEachCallOnce(t *testing.T) {
	synctest.Test(t, testCountsEachCallOnce)
}

func testCountsEachCallOnce(t *testing.T) {
	p := newTestPlacer(t, 2)
	ctx := context.Background()
	answers := make(chan placeAnswer, 4)
	for range 2 { // The second repeats the first.
		go func() {
			answer, err := p.servePlace(ctx, "asker", testRequest("a"))
			if err != nil {
				t.Error(err)
			}
			answers <- answer
		}()
	}
	placed := 0
	for range 2 {
		for received := false; !received; {
			p.dispatch()
			select {
			case answer := <-answers:
				received = true
				if answer.Verdict == routing.Place {
					placed++
				}
			default:
			}
		}
	}
	if placed == 0 || p.runningCalls() != 1 {
		t.Fatalf("%d answers with a place, %d calls count", placed, p.runningCalls())
	}
	handed := testRequest("b")
	handed.Calls = []blackboard.CallState{{Attempt: "a", Target: "t0"}, {Attempt: "old", Target: "t1"}}
	p.adoptCalls("asker", &handed, time.Now())
	p.adoptCalls("asker", &handed, time.Now())
	if p.runningCalls() != 2 {
		t.Fatalf("%d calls count after a hand-over", p.runningCalls())
	}
	for _, attempt := range []string{"a", "old", "a", "never heard of"} {
		p.endCall(attempt, blackboard.CallSucceeded)
	}
	if p.runningCalls() != 0 || len(p.coordinated) != 0 {
		t.Fatalf("%d calls count, %d are held", p.runningCalls(), len(p.coordinated))
	}
}

// TestCallsOfLostDaemonsExpire: calls and questions of a daemon that is not heard of any
// more do not count for ever.
func TestCallsOfLostDaemonsExpire(t *testing.T) {
	p := newTestPlacer(t, 2)
	now := time.Now()
	in := testRequest("b")
	in.Calls = []blackboard.CallState{{Attempt: "old", Target: "t1"}}
	p.adoptCalls("asker", &in, now)
	waiting := testRequest("waits")
	ticket := p.newTicket(&waiting, now)
	p.coordinated["waits"] = &coordinatedCall{requester: "asker", pool: "svc", ticket: ticket, lastRenewed: now, expires: now.Add(time.Hour)}
	if list := p.expiredCalls(now.Add(placementRequestTTL / 2)); len(list) != 0 {
		t.Fatalf("too early: %v", list)
	}
	if list := p.expiredCalls(now.Add(placementRequestTTL + time.Millisecond)); len(list) != 1 || list[0] != "waits" {
		t.Fatalf("a question that is not repeated: %v", list)
	}
	if list := p.expiredCalls(now.Add(adoptedCallTTL + time.Millisecond)); len(list) != 2 {
		t.Fatalf("%v", list)
	}
}

// TestLostCoordinatorIsCountedAndAvoided: which of an overloaded coordinator and a broken link it was
// shows in the metric, and another coordinator is asked for a while.
func TestLostCoordinatorIsCountedAndAvoided(t *testing.T) {
	for reason, c := range map[string]struct {
		err   error
		avoid time.Duration
	}{
		lostTimeout: {context.DeadlineExceeded, avoidFailed}, lostError: {io.ErrUnexpectedEOF, avoidFailed},
		lostRefused: {&peer.RemoteError{Message: "not yet"}, avoidRefused},
	} {
		err := c.err
		p := newTestPlacer(t, 1)
		ticket := &blackboard.Ticket{Attempt: "a", Pool: p.cluster.Board.Settings.Current().Tree.Pool("svc"), Item: &admission.Item{}}
		p.recordLostCoordinator("other", ticket, errors.Wrap(err, "ask"))
		if n := testutil.ToFloat64(p.cluster.Recorder.Metrics.CoordinatorLost.WithLabelValues("svc", reason)); n != 1 {
			t.Errorf("%v was counted %v times as %s", err, n, reason)
		}
		if left := time.Until(p.avoidUntil["other"]); left <= 0 || left > c.avoid || left < c.avoid/2 {
			t.Errorf("after %v it is avoided for %v, want %v", err, left, c.avoid)
		}
	}
}

// testLimit is a limit that a target named a moment ago.
func testLimit(target string, perSecond float64) blackboard.LimitState {
	return blackboard.LimitState{Target: target, PerSecond: perSecond, Ago: time.Millisecond}
}

// placeOne lets a coordinator answer a question of another daemon, in virtual time.
func (p *Placer) placeOne(t *testing.T, in placeRequest) placeAnswer {
	t.Helper()
	answers := make(chan placeAnswer, 1)
	go func() {
		answer, err := p.servePlace(t.Context(), "asker", in)
		if err != nil {
			t.Error(err)
		}
		answers <- answer
	}()
	synctest.Wait()
	p.dispatch()
	return <-answers
}

// placeSome lets a coordinator place questions of a daemon, which tells the limits that it knows with the
// first of them, and counts the calls by target.
func (p *Placer) placeSome(t *testing.T, known []blackboard.LimitState, n int) map[string]int {
	t.Helper()
	got := map[string]int{}
	for i := range n {
		in := testRequest(fmt.Sprint("a", i))
		if i == 0 {
			in.Limits = known
		}
		answer := p.placeOne(t, in)
		got[answer.Target]++
		p.endCall(in.Attempt, blackboard.CallSucceeded)
	}
	return got
}

// TestNewCoordinatorLearnsLimitsFromRequests: it has heard of none itself.
func TestNewCoordinatorLearnsLimitsFromRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer(t, 2)
		got := p.placeSome(t, []blackboard.LimitState{testLimit("t0", 1)}, 20)
		if got["t0"] > 1 || got["t0"]+got["t1"] != 20 {
			t.Errorf("%v", got)
		}
	})
}

// TestPlacementCarriesTargetLimit: the asker may not have heard of it, and is the one
// who hears that it is lifted.
func TestPlacementCarriesTargetLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer(t, 1)
		if _, err := p.serveLimit(t.Context(), "teller", limitNotice{Pool: "svc", Limit: testLimit("t0", 3)}); err != nil {
			t.Fatal(err)
		}
		answer := p.placeOne(t, testRequest("a"))
		if answer.Limit == nil || answer.Limit.PerSecond != 3 {
			t.Fatalf("%+v", answer.Limit)
		}
		asker := newTestPlacer(t, 1)
		ticket := &blackboard.Ticket{Attempt: "a", Pool: asker.cluster.Board.Settings.Current().Tree.Pool("svc"), Item: &admission.Item{}}
		asker.acceptAnswer(coordinator{name: "other"}, ticket, &answer)
		if limits := asker.cluster.Board.Targets.Limits("svc", time.Now()); len(limits) != 1 || limits[0].PerSecond != 3 {
			t.Errorf("the asker knows %+v", limits)
		}
	})
}

// TestPlacementOverKnownLimitIsNotAccepted: a daemon's own calls never pass a limit that it knows.
func TestPlacementOverKnownLimitIsNotAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer(t, 1)
		p.mergeLimits("svc", []blackboard.LimitState{testLimit("t0", 1)}, time.Now())
		followed := 0
		const seconds, perSecond = 10, 20
		for i := range seconds * perSecond {
			ticket := &blackboard.Ticket{Attempt: fmt.Sprint("a", i), Pool: p.cluster.Board.Settings.Current().Tree.Pool("svc"), Item: &admission.Item{}}
			if _, ok := p.acceptAnswer(coordinator{name: "other"}, ticket, &placeAnswer{Attempt: ticket.Attempt, Verdict: routing.Place, Target: "t0"}); ok {
				followed++
			}
			controller.Sleep(t.Context(), time.Second/perSecond)
		}
		if followed < seconds || followed > seconds+3 {
			t.Errorf("%d calls followed in %d s, named is 1 a second", followed, seconds)
		}
	})
}

// TestLimitIsLiftedOnlyByLaterCall: a word that is older than the limit lifts nothing.
func TestLimitIsLiftedOnlyByLaterCall(t *testing.T) {
	p := newTestPlacer(t, 1)
	now := time.Now()
	p.mergeLimits("svc", []blackboard.LimitState{testLimit("t0", 1)}, now)
	p.mergeLimits("svc", []blackboard.LimitState{{Target: "t0", Lifted: true, Ago: time.Second}}, now.Add(100*time.Millisecond))
	if len(p.cluster.Board.Targets.Limits("svc", now)) != 1 {
		t.Error("a call sent before the limit was named lifts it")
	}
	p.mergeLimits("svc", []blackboard.LimitState{{Target: "t0", Lifted: true, Ago: 50 * time.Millisecond}}, now.Add(100*time.Millisecond))
	if len(p.cluster.Board.Targets.Limits("svc", now)) != 0 {
		t.Error("the limit is not lifted")
	}
}
