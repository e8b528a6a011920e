package blackboard

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"doorstack.dev/core/admission"
	"doorstack.dev/core/routing"
	"doorstack.dev/core/settings"
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
