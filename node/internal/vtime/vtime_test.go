package vtime

import (
	"slices"
	"testing"
	"time"
)

// TestNextReturnsEventsInOrder checks that events are ordered by time, and events at the same time as
// they were scheduled.
func TestNextReturnsEventsInOrder(t *testing.T) {
	var q Queue
	var got []int
	for i, at := range []time.Duration{3, 1, 2, 1} {
		q.Schedule(at, func() { got = append(got, i) })
	}
	last := time.Duration(0)
	for {
		at, do, ok := q.Next()
		if !ok {
			break
		}
		if at < last {
			t.Errorf("Next returned an event at %v after one at %v, want ascending times", at, last)
		}
		last = at
		do()
	}
	if !slices.Equal(got, []int{1, 3, 2, 0}) {
		t.Errorf("events came in the order %v, want [1 3 2 0]", got)
	}
}
