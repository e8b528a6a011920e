package admission

import (
	"slices"
	"testing"
	"time"
)

// TestLateRequestsAreDispatchedLast checks that of the prompts of one level those that can
// still be answered in time go first, and of these the ones with the shortest prefill. A late
// prompt keeps its level and is not raised for its wait.
func TestLateRequestsAreDispatchedLast(t *testing.T) {
	start := time.Unix(1_000_000_000, 0)
	now := start.Add(10 * time.Second)
	q := NewQueue(2 * time.Second)
	add := func(id string, level int, work float64, latest time.Duration) {
		it := &Item{ID: id, Account: id, Level: level, Tokens: 100_000, Long: true, PrefillSeconds: work, Arrived: start, LatestStart: start.Add(latest)}
		if latest > 10*time.Second {
			it.Arrived = now.Add(-time.Second)
		}
		q.Push(it)
	}
	add("late", 1, 1, 5*time.Second)
	add("late and short", 1, 0.5, 5*time.Second)
	add("in time", 1, 4, 12*time.Second)
	add("in time and short", 1, 2, 12*time.Second)
	add("below", 2, 1, 12*time.Second)
	add("late and urgent", 0, 1, 5*time.Second)
	var order []string
	q.Dispatch(now, func(it *Item) bool {
		order = append(order, it.ID)
		return true
	})
	want := []string{"late and urgent", "in time and short", "in time", "late and short", "late", "below"}
	if !slices.Equal(order, want) {
		t.Errorf("Dispatch order = %q, want %q", order, want)
	}
}
