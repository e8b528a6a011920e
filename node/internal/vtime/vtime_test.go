package vtime

import (
	"slices"
	"testing"
	"time"
)

// TestNextReturnsEventsInOrder: by time, and at one time as they were added.
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
			t.Errorf("%v comes after %v", at, last)
		}
		last = at
		do()
	}
	if !slices.Equal(got, []int{1, 3, 2, 0}) {
		t.Errorf("the order is %v", got)
	}
}
