package blackboard

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"doorstack.dev/core/admission"
	"doorstack.dev/core/hostlist"
	"doorstack.dev/core/routing"
	"doorstack.dev/core/settings"
	"doorstack.dev/core/strictyaml"
	"doorstack.dev/node/target"
)

// newTestTicket returns a ticket for a pool without targets, where it waits for noTargetGrace.
func newTestTicket(i int) *Ticket {
	id := fmt.Sprint("r", i)
	return &Ticket{
		Pool: &settings.ResolvedPool{Name: "pool"}, Attempt: id, Request: routing.Request{ID: id},
		Item: &admission.Item{ID: id, Account: id, Tokens: 1, Arrived: time.Now()},
	}
}

// dispatchAll dispatches the pool of each pending wakeup and returns the number of dispatches.
func dispatchAll(q *QueueTable, targets *TargetTable) int {
	n := 0
	for {
		select {
		case pool := <-q.Wakeups():
			q.Dispatch(pool, targets, time.Now())
			n++
		default:
			return n
		}
	}
}

// TestLongQueueIsThrottled checks that a long queue is dispatched at most once per interval.
// Without that, each event of an overloaded pool led its coordinator to examine all waiting
// requests, until it answered none of them in time.
func TestLongQueueIsThrottled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, targets := newQueueTable(), newTargetTable()
		for i := range throttleMinLength {
			q.Push(newTestTicket(i))
			dispatchAll(q, targets)
		}
		total := 0
		const events = 1000
		for range events {
			q.Wake("pool")
			total += dispatchAll(q, targets)
			<-time.After(throttleInterval / 10)
			synctest.Wait()
		}
		if total > events/10+1 {
			t.Errorf("%d dispatches in %v, want at most %d", total, events*throttleInterval/10, events/10+1)
		}
		if total < events/20 {
			t.Errorf("%d dispatches, want at least %d", total, events/20)
		}
		// An event during the interval leads to a dispatch after it.
		dispatchAll(q, targets)
		q.Wake("pool")
		if n := dispatchAll(q, targets); n != 0 {
			t.Errorf("%d dispatches while throttled, want 0", n)
		}
		<-time.After(throttleInterval)
		synctest.Wait()
		if n := dispatchAll(q, targets); n != 1 {
			t.Errorf("%d dispatches after the interval, want 1 for the event during it", n)
		}
	})
}

// TestShortQueueIsDispatchedAtOnce checks that only long queues are throttled.
func TestShortQueueIsDispatchedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, targets := newQueueTable(), newTargetTable()
		q.Push(newTestTicket(0))
		dispatchAll(q, targets)
		for range 10 {
			q.Wake("pool")
			if dispatchAll(q, targets) != 1 {
				t.Error("Wake of a short queue did not lead to one dispatch at once")
			}
		}
	})
}

// reservationTable returns queues and a pool's only target, with room for 100,000 tokens, and a ticket of a long prompt that has waited
// long enough for a target to be reserved for it.
func reservationTable(t *testing.T, tokens int64) (*QueueTable, *TargetTable, *Ticket) {
	t.Helper()
	tree, err := settings.Parse([]byte("engine_kinds: {k: {protocol: engine, memory_tokens: 100000, prefill_tokens_per_second: 20000}}\npools: {pool: {kind: k, model: m}}\ntree: {}\n"))
	if err != nil {
		t.Fatal(err)
	}
	q, targets := newQueueTable(), newTargetTable()
	now := time.Now()
	targets.Sync([]hostlist.Host{{ID: "a", Role: hostlist.RoleTarget, Address: "10.0.0.1:80", Pool: "pool", State: hostlist.Live}}, tree, now)
	ticket := newTestTicket(0)
	ticket.Pool.Policy.AgeingPerLevel = strictyaml.Duration(time.Second)
	ticket.Request.PromptTokens = tokens
	ticket.Item.Long, ticket.Item.Arrived = true, now.Add(-reserveAfterSteps*time.Second)
	return q, targets, ticket
}

// TestGroupIsNotKeptFromTheTargetReservedForIt guards against a long prompt that waits for itself to the end of its time: a target
// stayed reserved for it after it had been told to run on a group of targets, which left that target out.
func TestGroupIsNotKeptFromTheTargetReservedForIt(t *testing.T) {
	q, targets, ticket := reservationTable(t, 1_000_000)
	targets.RecordReport("a", target.LoadReport{MemoryTokens: 100_000, Models: []string{"m"}}, time.Now())
	q.Push(ticket)
	dispatchAll(q, targets)
	select {
	case p := <-ticket.Placed():
		if p.Decision.Verdict != routing.Group {
			t.Fatalf("verdict %q, want %q", p.Decision.Verdict, routing.Group)
		}
	default:
		t.Fatal("the prompt still waits")
	}
	if view := targets.Views("pool", time.Now())[0]; view.ReservedFor != "" {
		t.Errorf("the target stays reserved for %q, which no longer waits", view.ReservedFor)
	}
}

// TestReservationEndsWithItsRequest guards against a target that stays reserved for a request whose caller has left, if nothing else
// waits.
func TestReservationEndsWithItsRequest(t *testing.T) {
	q, targets, ticket := reservationTable(t, 50_000)
	targets.RecordReport("a", target.LoadReport{MemoryTokens: 100_000, UsedTokens: 100_000, Models: []string{"m"}}, time.Now())
	q.Push(ticket)
	dispatchAll(q, targets)
	if view := targets.Views("pool", time.Now())[0]; view.ReservedFor != ticket.Request.ID {
		t.Fatalf("the target is reserved for %q, want the long request that waits", view.ReservedFor)
	}
	if !q.Remove(ticket) {
		t.Fatal("the request no longer waits")
	}
	dispatchAll(q, targets)
	if view := targets.Views("pool", time.Now())[0]; view.ReservedFor != "" {
		t.Errorf("the target stays reserved for %q, whose caller has left", view.ReservedFor)
	}
}
