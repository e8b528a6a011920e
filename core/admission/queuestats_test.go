package admission

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// TestQueueStats checks the figures by which operators see a starved kind of prompt or an account that
// takes most of a pool, and that old use and refused requests do not count.
func TestQueueStats(t *testing.T) {
	q := NewQueue(0)
	dispatch := func(now time.Time, place func(*Item) bool) { q.Dispatch(now, place) }
	push := func(id, account string, long bool, cost float64) {
		q.Push(&Item{ID: id, Account: account, Tokens: 1000, Cost: cost, Long: long, Arrived: epoch})
	}
	push("old", "gone", false, 1000)
	dispatch(epoch, func(*Item) bool { return true })
	now := epoch.Add(20 * useMemory)
	dispatch(now, func(*Item) bool { return true })
	push("a1", "a", true, 3000)
	push("b1", "b", false, 1000)
	push("refused", "c", false, 1000)
	dispatch(now, func(it *Item) bool {
		if it.Account == "c" {
			q.Refuse(it, now)
		}
		return true
	})
	push("a2", "a", true, 3000)
	got := q.Stats(now)
	if math.Abs(got.LargestShare-0.75) > 1e-3 {
		t.Errorf("LargestShare = %v, want 0.75", got.LargestShare)
	}
	got.LargestShare = 0
	if want := (QueueStats{Short: KindStats{Dispatched: 2}, Long: KindStats{Waiting: 1, Dispatched: 1}}); got != want {
		t.Errorf("Stats() = %+v, want %+v", got, want)
	}
	dispatch(now.Add(time.Second), func(*Item) bool { return false })
	dispatch(now.Add(2*time.Second), func(*Item) bool { return false })
	if shares := fmt.Sprint(len(q.AccountShares(now.Add(2 * time.Second)))); shares != "2" {
		t.Errorf("%s accounts are known, want 2", shares)
	}
}

// TestUseOfIdleQueueIsForgotten guards against a largest share that shows the last account for as
// long as no request comes: Dispatch is not called then, and all use decays alike.
func TestUseOfIdleQueueIsForgotten(t *testing.T) {
	q := NewQueue(0)
	q.Push(&Item{ID: "last", Account: "a", Tokens: 200_000, Arrived: epoch})
	q.Dispatch(epoch, func(*Item) bool { return true })
	for i := range 1000 {
		q.Stats(epoch.Add(time.Duration(i) * time.Second))
	}
	now := epoch.Add(1000 * time.Second)
	if got, shares := q.Stats(now).LargestShare, q.AccountShares(now); got != 0 || len(shares) != 0 {
		t.Errorf("LargestShare = %v, shares %v after 1000 s without requests, want none", got, shares)
	}
}
