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

const placementDocument = `
engine_kinds: {rest: {protocol: service, max_concurrent: 2}}
pools: {svc: {kind: rest}}
tree: {}
`

const fleetKey = "a key of sixteen characters"

// newCoordinator returns the placements of a daemon that knows so many targets.
func newCoordinator(t *testing.T, targets int) *Placements {
	t.Helper()
	tree, err := settings.Parse([]byte(placementDocument))
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
	hub := peer.NewHub("self", []string{fleetKey}, metrics)
	t.Cleanup(hub.Close)
	return New(board, hub, record, nil, nil).Placements
}

func (p *Placements) dispatch() {
	p.cluster.Board.Queues.Dispatch("svc", p.cluster.Board.Targets, time.Now())
}

func question(attempt string) placeRequest {
	return placeRequest{Attempt: attempt, Request: attempt, Pool: "svc", Account: "/a", DataCentre: "dc", Left: 5 * time.Second}
}

func (p *Placements) running() int {
	calls := 0
	for _, s := range p.cluster.Board.Targets.Status(time.Now()) {
		calls += s.OwnCalls
	}
	return calls
}

// TestARefusalLeavesNothing: refused questions were remembered for ever.
func TestARefusalLeavesNothing(t *testing.T) {
	p := newCoordinator(t, 1)
	ticket := &blackboard.Ticket{
		Attempt: "a", Pool: p.cluster.Board.Settings.Current().Tree.Pool("svc"), Item: &admission.Item{},
	}
	for _, verdict := range []routing.Verdict{routing.Refuse, routing.None} {
		p.follow(coordinator{name: "other"}, ticket, &placeAnswer{Attempt: "a", Verdict: verdict})
	}
	if len(p.placedBy) != 0 {
		t.Fatalf("%v", p.placedBy)
	}
}

// TestACoordinatorCountsEachCallOnce: whatever order questions, their repetitions, calls
// handed over and ends come in, what has ended is not counted. A question is held for 5 ms and
// then answered later; in virtual time that does not pass before the answer is there.
func TestACoordinatorCountsEachCallOnce(t *testing.T) {
	synctest.Test(t, countsEachCallOnce)
}

func countsEachCallOnce(t *testing.T) {
	p := newCoordinator(t, 2)
	ctx := context.Background()
	answers := make(chan placeAnswer, 4)
	for range 2 { // The second repeats the first.
		go func() {
			answer, err := p.servePlace(ctx, "asker", question("a"))
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
	if placed == 0 || p.running() != 1 {
		t.Fatalf("%d answers with a place, %d calls count", placed, p.running())
	}
	handed := question("b")
	handed.Calls = []blackboard.CallState{{Attempt: "a", Target: "t0"}, {Attempt: "old", Target: "t1"}}
	p.adopt("asker", &handed, time.Now())
	p.adopt("asker", &handed, time.Now())
	if p.running() != 2 {
		t.Fatalf("%d calls count after a hand-over", p.running())
	}
	for _, attempt := range []string{"a", "old", "a", "never heard of"} {
		p.end(attempt, blackboard.CallSucceeded)
	}
	if p.running() != 0 || len(p.held) != 0 {
		t.Fatalf("%d calls count, %d are held", p.running(), len(p.held))
	}
}

// TestCallsOfTheDeadRunOut: calls and questions of a daemon that is not heard of any
// more do not count for ever.
func TestCallsOfTheDeadRunOut(t *testing.T) {
	p := newCoordinator(t, 2)
	now := time.Now()
	in := question("b")
	in.Calls = []blackboard.CallState{{Attempt: "old", Target: "t1"}}
	p.adopt("asker", &in, now)
	waiting := question("waits")
	ticket := p.ticket(&waiting, now)
	p.held["waits"] = &heldCall{owner: "asker", pool: "svc", ticket: ticket, renewed: now, expires: now.Add(time.Hour)}
	if list := p.overdue(now.Add(dropPlace / 2)); len(list) != 0 {
		t.Fatalf("too early: %v", list)
	}
	if list := p.overdue(now.Add(dropPlace + time.Millisecond)); len(list) != 1 || list[0] != "waits" {
		t.Fatalf("a question that is not repeated: %v", list)
	}
	if list := p.overdue(now.Add(adoptedTTL + time.Millisecond)); len(list) != 2 {
		t.Fatalf("%v", list)
	}
}

// TestALostCoordinatorIsCounted: which of an overloaded coordinator and a broken link it was
// shows in the metric, and another coordinator is asked for a while.
func TestALostCoordinatorIsCounted(t *testing.T) {
	for reason, c := range map[string]struct {
		err   error
		avoid time.Duration
	}{
		lostByTime: {context.DeadlineExceeded, avoidFor}, lostByError: {io.ErrUnexpectedEOF, avoidFor},
		lostByRefusal: {&peer.RemoteError{Message: "not yet"}, avoidRefusing},
	} {
		err := c.err
		p := newCoordinator(t, 1)
		ticket := &blackboard.Ticket{Attempt: "a", Pool: p.cluster.Board.Settings.Current().Tree.Pool("svc"), Item: &admission.Item{}}
		p.lost("other", ticket, errors.Wrap(err, "ask"))
		if n := testutil.ToFloat64(p.cluster.Record.Metrics.CoordinatorLost.WithLabelValues("svc", reason)); n != 1 {
			t.Errorf("%v was counted %v times as %s", err, n, reason)
		}
		if left := time.Until(p.avoid["other"]); left <= 0 || left > c.avoid || left < c.avoid/2 {
			t.Errorf("after %v it is avoided for %v, want %v", err, left, c.avoid)
		}
	}
}

// limitOf is a limit that a target named a moment ago.
func limitOf(target string, perSecond float64) blackboard.LimitState {
	return blackboard.LimitState{Target: target, PerSecond: perSecond, Ago: time.Millisecond}
}

// placeOne lets a coordinator answer a question of another daemon, in virtual time.
func (p *Placements) placeOne(t *testing.T, in placeRequest) placeAnswer {
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
func (p *Placements) placeSome(t *testing.T, known []blackboard.LimitState, n int) map[string]int {
	t.Helper()
	got := map[string]int{}
	for i := range n {
		in := question(fmt.Sprint("a", i))
		if i == 0 {
			in.Limits = known
		}
		answer := p.placeOne(t, in)
		got[answer.Target]++
		p.end(in.Attempt, blackboard.CallSucceeded)
	}
	return got
}

// TestANewCoordinatorKeepsToLimitsThatItsAskersKnow: it has heard of none itself.
func TestANewCoordinatorKeepsToLimitsThatItsAskersKnow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newCoordinator(t, 2)
		got := p.placeSome(t, []blackboard.LimitState{limitOf("t0", 1)}, 20)
		if got["t0"] > 1 || got["t0"]+got["t1"] != 20 {
			t.Errorf("%v", got)
		}
	})
}

// TestACoordinatorTellsTheLimitOfTheTargetThatItChose: the asker may not have heard of it, and is the one
// who hears that it is lifted.
func TestACoordinatorTellsTheLimitOfTheTargetThatItChose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newCoordinator(t, 1)
		if _, err := p.serveLimit(t.Context(), "teller", limitNews{Pool: "svc", Limit: limitOf("t0", 3)}); err != nil {
			t.Fatal(err)
		}
		answer := p.placeOne(t, question("a"))
		if answer.Limit == nil || answer.Limit.PerSecond != 3 {
			t.Fatalf("%+v", answer.Limit)
		}
		asker := newCoordinator(t, 1)
		ticket := &blackboard.Ticket{Attempt: "a", Pool: asker.cluster.Board.Settings.Current().Tree.Pool("svc"), Item: &admission.Item{}}
		asker.follow(coordinator{name: "other"}, ticket, &answer)
		if limits := asker.cluster.Board.Targets.Limits("svc", time.Now()); len(limits) != 1 || limits[0].PerSecond != 3 {
			t.Errorf("the asker knows %+v", limits)
		}
	})
}

// TestACoordinatorThatDoesNotKnowOfALimitIsNotFollowed: a daemon's own calls never pass a limit that it knows.
func TestACoordinatorThatDoesNotKnowOfALimitIsNotFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newCoordinator(t, 1)
		p.takeLimits("svc", []blackboard.LimitState{limitOf("t0", 1)}, time.Now())
		followed := 0
		const seconds, perSecond = 10, 20
		for i := range seconds * perSecond {
			ticket := &blackboard.Ticket{Attempt: fmt.Sprint("a", i), Pool: p.cluster.Board.Settings.Current().Tree.Pool("svc"), Item: &admission.Item{}}
			if _, ok := p.follow(coordinator{name: "other"}, ticket, &placeAnswer{Attempt: ticket.Attempt, Verdict: routing.Place, Target: "t0"}); ok {
				followed++
			}
			controller.Sleep(t.Context(), time.Second/perSecond)
		}
		if followed < seconds || followed > seconds+3 {
			t.Errorf("%d calls followed in %d s, named is 1 a second", followed, seconds)
		}
	})
}

// TestALiftedLimitIsToldToTheCoordinator: a word that is older than the limit lifts nothing.
func TestALiftedLimitIsToldToTheCoordinator(t *testing.T) {
	p := newCoordinator(t, 1)
	now := time.Now()
	p.takeLimits("svc", []blackboard.LimitState{limitOf("t0", 1)}, now)
	p.takeLimits("svc", []blackboard.LimitState{{Target: "t0", Lifted: true, Ago: time.Second}}, now.Add(100*time.Millisecond))
	if len(p.cluster.Board.Targets.Limits("svc", now)) != 1 {
		t.Error("a call sent before the limit was named lifts it")
	}
	p.takeLimits("svc", []blackboard.LimitState{{Target: "t0", Lifted: true, Ago: 50 * time.Millisecond}}, now.Add(100*time.Millisecond))
	if len(p.cluster.Board.Targets.Limits("svc", now)) != 0 {
		t.Error("the limit is not lifted")
	}
}
