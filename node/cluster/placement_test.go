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
	"doorstack.dev/core/coordination"
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

// newTestPlacer returns the placer of a daemon that knows the given number of targets.
func newTestPlacer(t *testing.T, targets int) *Placer {
	t.Helper()
	tree, err := settings.Parse([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	metrics := telemetry.NewMetrics()
	board := blackboard.New(blackboard.Identity{Name: "self", DataCentre: "dc", Region: "r"}, blackboard.DefaultLimits())
	board.Members.OpenFleet()
	board.Settings.Adopt(&blackboard.SettingsView{Tree: tree, Revision: 1})
	update := hostlist.Update{Full: true, AsOf: hostlist.Position(targets)}
	for i := range targets {
		update.Hosts = append(update.Hosts, hostlist.Host{
			ID: fmt.Sprint("t", i), Role: hostlist.RoleTarget, Address: fmt.Sprint("10.0.0.1:", i+1), Pool: "svc",
			DataCentre: "dc", Region: "r", State: hostlist.Live, Revision: hostlist.Position(i + 1),
		})
	}
	board.MergeUpdate(update, time.Now())
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

// TestRefusedPlacementsAreNotKept guards against entries for refused requests that were
// never removed.
func TestRefusedPlacementsAreNotKept(t *testing.T) {
	p := newTestPlacer(t, 1)
	ticket := &blackboard.Ticket{
		Attempt: "a", Pool: p.cluster.Board.Settings.Current().Tree.Pool("svc"), Item: &admission.Item{},
	}
	for _, verdict := range []routing.Verdict{routing.Refuse, routing.None} {
		p.acceptAnswer(coordination.Candidate{Name: "other"}, ticket, &placeAnswer{Attempt: "a", Verdict: verdict})
	}
	if len(p.countedAt) != 0 {
		t.Fatalf("countedAt = %v after refusals, want none", p.countedAt)
	}
}

// TestCoordinatorCountsEachCallOnce checks that a call counts once while it runs and not
// after its end, in whatever order requests, repeated requests, calls handed over and ends
// arrive. A request is held for 5 ms and then answered later; virtual time keeps those 5 ms
// from passing before the answer is there.
func TestCoordinatorCountsEachCallOnce(t *testing.T) {
	synctest.Test(t, testCountsEachCallOnce)
}

func testCountsEachCallOnce(t *testing.T) {
	p := newTestPlacer(t, 2)
	ctx := context.Background()
	answers := make(chan placeAnswer, 4)
	for range 2 { // The second request repeats the first.
		go func() {
			answer, err := p.servePlace(ctx, "requester", testRequest("a"))
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
		t.Fatalf("servePlace() twice for one call: %d answers with a placement, %d running calls; want at least 1 answer, 1 call", placed, p.runningCalls())
	}
	handed := testRequest("b")
	handed.Calls = []blackboard.CallState{{Attempt: "a", Target: "t0"}, {Attempt: "old", Target: "t1"}}
	p.adoptCalls("requester", "svc", handed.Calls, time.Now())
	p.adoptCalls("requester", "svc", handed.Calls, time.Now())
	if p.runningCalls() != 2 {
		t.Fatalf("%d running calls after two hand-overs of the same calls, want 2", p.runningCalls())
	}
	for _, attempt := range []string{"a", "old", "a", "unknown"} {
		p.endCall(attempt, blackboard.CallSucceeded)
	}
	if p.runningCalls() != 0 || len(p.coordinated) != 0 {
		t.Fatalf("%d running calls and %d coordinated calls after all ended, want none", p.runningCalls(), len(p.coordinated))
	}
}

// TestCallsOfLostDaemonsExpire guards against calls and requests of a lost daemon that
// count for ever.
func TestCallsOfLostDaemonsExpire(t *testing.T) {
	p := newTestPlacer(t, 2)
	now := time.Now()
	in := testRequest("b")
	in.Calls = []blackboard.CallState{{Attempt: "old", Target: "t1"}}
	p.adoptCalls("requester", "svc", in.Calls, now)
	waiting := testRequest("waits")
	ticket := p.newTicket(p.cluster.Board.Settings.Current().Tree.Pool(waiting.Pool), &waiting, now)
	p.coordinated["waits"] = &coordinatedCall{requester: "requester", pool: "svc", ticket: ticket, lastRenewed: now, expires: now.Add(time.Hour)}
	if list := p.expiredCalls(now.Add(placementRequestTTL / 2)); len(list) != 0 {
		t.Fatalf("expiredCalls() before the request's TTL = %v, want none", list)
	}
	if list := p.expiredCalls(now.Add(placementRequestTTL + time.Millisecond)); len(list) != 1 || list[0] != "waits" {
		t.Fatalf("expiredCalls() after the request's TTL = %v, want only the request", list)
	}
	if list := p.expiredCalls(now.Add(adoptedCallTTL + time.Millisecond)); len(list) != 2 {
		t.Fatalf("expiredCalls() after the adopted call's TTL = %v, want both", list)
	}
}

// TestLostCoordinatorIsCountedAndPassedOver checks that the metric distinguishes an overloaded
// coordinator from a broken link and from a refusal, and that the coordinator is passed
// over: after a refusal for busyTime, otherwise until it is known to answer again.
func TestLostCoordinatorIsCountedAndPassedOver(t *testing.T) {
	for reason, c := range map[string]struct {
		err   error
		state coordination.State
		after time.Duration // time after which the coordinator is usable without any sign of it; 0 for never
	}{
		lostTimeout: {context.DeadlineExceeded, coordination.Late, 0},
		lostError:   {io.ErrUnexpectedEOF, coordination.Failed, 0},
		lostRefused: {&peer.RemoteError{Message: "not yet"}, coordination.Busy, 100 * time.Millisecond},
	} {
		p := newTestPlacer(t, 1)
		p.links.peers.LinkOpened("other", time.Now())
		ticket := &blackboard.Ticket{Attempt: "a", Pool: p.cluster.Board.Settings.Current().Tree.Pool("svc"), Item: &admission.Item{}}
		step := coordination.Step{Peer: coordination.Candidate{Name: "other"}, Timeout: 100 * time.Millisecond}
		now := time.Now()
		p.recordLostCoordinator(t.Context(), coordination.NewCall(now, time.Time{}, now.Add(time.Second)), step, ticket, errors.Wrap(c.err, "ask"))
		if n := testutil.ToFloat64(p.cluster.Recorder.Metrics.CoordinatorLost.WithLabelValues("svc", reason)); n != 1 {
			t.Errorf("%v was counted %v times as %s, want once", c.err, n, reason)
		}
		if state := p.links.state("other"); state != c.state {
			t.Errorf("state after %v = %s, want %s", c.err, state, c.state)
		}
		if p.links.usable("other", now) {
			t.Errorf("the coordinator is usable right after %v, want not", c.err)
		}
		if later := p.links.usable("other", now.Add(150*time.Millisecond)); later != (c.after > 0) {
			t.Errorf("usable 150 ms after %v = %v, want %v", c.err, later, c.after > 0)
		}
	}
}

// testLimit returns a rate limit that a target declared 1 ms ago.
func testLimit(target string, perSecond float64) blackboard.LimitState {
	return blackboard.LimitState{Target: target, PerSecond: perSecond, Age: time.Millisecond}
}

// placeOne returns the coordinator's answer to a request of another daemon, in virtual
// time.
func (p *Placer) placeOne(t *testing.T, in placeRequest) placeAnswer {
	t.Helper()
	answers := make(chan placeAnswer, 1)
	go func() {
		answer, err := p.servePlace(t.Context(), "requester", in)
		if err != nil {
			t.Error(err)
		}
		answers <- answer
	}()
	synctest.Wait()
	p.dispatch()
	return <-answers
}

// placeSome has a coordinator place n requests of another daemon, the first of which
// carries the known limits, and counts the calls by target.
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

// TestNewCoordinatorLearnsLimitsFromRequests checks that a coordinator without limits of
// its own keeps to those that the first request carries.
func TestNewCoordinatorLearnsLimitsFromRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer(t, 2)
		got := p.placeSome(t, []blackboard.LimitState{testLimit("t0", 1)}, 20)
		if got["t0"] > 1 || got["t0"]+got["t1"] != 20 {
			t.Errorf("calls by target = %v, want 20 in all and at most 1 at t0", got)
		}
	})
}

// TestPlacementCarriesTargetLimit checks that the requesting daemon learns the limit of the
// chosen target: it may not know the limit, and only its call can show that the limit is
// lifted.
func TestPlacementCarriesTargetLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer(t, 1)
		if _, err := p.serveLimit(t.Context(), "teller", limitNotice{Pool: "svc", Limit: testLimit("t0", 3)}); err != nil {
			t.Fatal(err)
		}
		answer := p.placeOne(t, testRequest("a"))
		if answer.Limit == nil || answer.Limit.PerSecond != 3 {
			t.Fatalf("limit in the answer = %+v, want 3 a second", answer.Limit)
		}
		requester := newTestPlacer(t, 1)
		ticket := &blackboard.Ticket{Attempt: "a", Pool: requester.cluster.Board.Settings.Current().Tree.Pool("svc"), Item: &admission.Item{}}
		requester.acceptAnswer(coordination.Candidate{Name: "other"}, ticket, &answer)
		if limits := requester.cluster.Board.Targets.Limits("svc", time.Now()); len(limits) != 1 || limits[0].PerSecond != 3 {
			t.Errorf("limits known to the requesting daemon = %+v, want 3 a second of t0", limits)
		}
	})
}

// TestPlacementOverKnownLimitIsNotAccepted checks that a daemon's calls keep to a limit
// that it knows where the coordinator does not know it.
func TestPlacementOverKnownLimitIsNotAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer(t, 1)
		p.mergeLimits("svc", []blackboard.LimitState{testLimit("t0", 1)}, time.Now())
		accepted := 0
		const seconds, perSecond = 10, 20
		for i := range seconds * perSecond {
			ticket := &blackboard.Ticket{Attempt: fmt.Sprint("a", i), Pool: p.cluster.Board.Settings.Current().Tree.Pool("svc"), Item: &admission.Item{}}
			if _, ok := p.acceptAnswer(coordination.Candidate{Name: "other"}, ticket, &placeAnswer{Attempt: ticket.Attempt, Verdict: routing.Place, Target: "t0"}); ok {
				accepted++
			}
			controller.Sleep(t.Context(), time.Second/perSecond)
		}
		if accepted < seconds || accepted > seconds+3 {
			t.Errorf("%d placements accepted in %d s, want about 1 a second", accepted, seconds)
		}
	})
}

// TestLimitIsLiftedOnlyByLaterCall checks that the answer to a call sent before the limit
// was declared does not lift it.
func TestLimitIsLiftedOnlyByLaterCall(t *testing.T) {
	p := newTestPlacer(t, 1)
	now := time.Now()
	p.mergeLimits("svc", []blackboard.LimitState{testLimit("t0", 1)}, now)
	p.mergeLimits("svc", []blackboard.LimitState{{Target: "t0", Lifted: true, Age: time.Second}}, now.Add(100*time.Millisecond))
	if len(p.cluster.Board.Targets.Limits("svc", now)) != 1 {
		t.Error("a call sent before the limit was declared lifted it")
	}
	p.mergeLimits("svc", []blackboard.LimitState{{Target: "t0", Lifted: true, Age: 50 * time.Millisecond}}, now.Add(100*time.Millisecond))
	if len(p.cluster.Board.Targets.Limits("svc", now)) != 0 {
		t.Error("a call sent after the limit was declared did not lift it")
	}
}
