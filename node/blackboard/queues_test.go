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

// newTestTicket is a ticket of a pool without targets, which waits for some seconds.
func newTestTicket(i int) *Ticket {
	id := fmt.Sprint("r", i)
	return &Ticket{
		Pool: &settings.ResolvedPool{Name: "pool"}, Attempt: id, Request: routing.Request{ID: id},
		Item: &admission.Item{ID: id, Account: id, Tokens: 1, Arrived: time.Now()},
	}
}

// dispatchAll takes the calls for a worker that are there and dispatches for each.
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

// TestLongQueueIsThrottled: at the coordinator of a large pool under overload each event led
// to a look at all waiting requests, until it answered nobody in time.
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
			t.Errorf("%d looks in %v", total, events*throttleInterval/10)
		}
		if total < events/20 {
			t.Errorf("only %d looks", total)
		}
		// The last event is not lost.
		dispatchAll(q, targets)
		q.Wake("pool")
		if n := dispatchAll(q, targets); n != 0 {
			t.Errorf("%d looks during the rest", n)
		}
		<-time.After(throttleInterval)
		synctest.Wait()
		if n := dispatchAll(q, targets); n != 1 {
			t.Errorf("%d looks after the rest, want one for the event during it", n)
		}
	})
}

// TestShortQueueIsDispatchedAtOnce: rests are for overload alone.
func TestShortQueueIsDispatchedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, targets := newQueueTable(), newTargetTable()
		q.Push(newTestTicket(0))
		dispatchAll(q, targets)
		for range 10 {
			q.Wake("pool")
			if dispatchAll(q, targets) != 1 {
				t.Error("an event is not followed by a look at once")
			}
		}
	})
}
