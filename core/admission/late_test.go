package admission

import (
	"slices"
	"testing"
	"time"
)

// TestLateRequestsAreDispatchedLast: of prompts of one level those that can be in time go first, the least work
// before the rest; one that is late is not lifted by its wait, but keeps its level.
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
		t.Errorf("order %q, want %q", order, want)
	}
}
