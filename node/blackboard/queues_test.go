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

// waitingTicket is a ticket of a pool without targets, which waits for some seconds.
func waitingTicket(i int) *Ticket {
	id := fmt.Sprint("r", i)
	return &Ticket{
		Pool: &settings.ResolvedPool{Name: "pool"}, Attempt: id, Request: routing.Request{ID: id},
		Item: &admission.Item{ID: id, Account: id, Tokens: 1, Arrived: time.Now()},
	}
}

// looks takes the calls for a worker that are there and dispatches for each.
func looks(q *QueueTable, targets *TargetTable) int {
	n := 0
	for {
		select {
		case pool := <-q.Dirty():
			q.Dispatch(pool, targets, time.Now())
			n++
		default:
			return n
		}
	}
}

// TestALongQueueRests: at the coordinator of a large pool under overload each event led
// to a look at all waiting requests, until it answered nobody in time.
func TestALongQueueRests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, targets := newQueueTable(), newTargetTable()
		for i := range restFrom {
			q.Push(waitingTicket(i))
			looks(q, targets)
		}
		total := 0
		const events = 1000
		for range events {
			q.Wake("pool")
			total += looks(q, targets)
			<-time.After(rest / 10)
			synctest.Wait()
		}
		if total > events/10+1 {
			t.Errorf("%d looks in %v", total, events*rest/10)
		}
		if total < events/20 {
			t.Errorf("only %d looks", total)
		}
		// The last event is not lost.
		looks(q, targets)
		q.Wake("pool")
		if n := looks(q, targets); n != 0 {
			t.Errorf("%d looks during the rest", n)
		}
		<-time.After(rest)
		synctest.Wait()
		if n := looks(q, targets); n != 1 {
			t.Errorf("%d looks after the rest, want one for the event during it", n)
		}
	})
}

// TestAShortQueueIsLookedAtAtOnce: rests are for overload alone.
func TestAShortQueueIsLookedAtAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, targets := newQueueTable(), newTargetTable()
		q.Push(waitingTicket(0))
		looks(q, targets)
		for range 10 {
			q.Wake("pool")
			if looks(q, targets) != 1 {
				t.Error("an event is not followed by a look at once")
			}
		}
	})
}
