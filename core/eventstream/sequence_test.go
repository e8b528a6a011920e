package eventstream

import (
	"strconv"
	"strings"
	"testing"
)

// TestSequenceFindsSkippedEvents covers the ids of streams over several runs; "/" marks where a run goes on.
func TestSequenceFindsSkippedEvents(t *testing.T) {
	for ids, want := range map[string]int64{
		"1 2 3 / 4 5":       0,
		"1 2 3 / 5 6":       1,
		"1 2 / 9 / 12":      8,
		"0 1 / 3":           1,
		"1 2 5 / 9":         0,
		"1 / 3":             0,
		"1 3 5 / 9":         0,
		"a b / d":           0,
		"1 2 / x / 9":       0,
		"1 2 / 3 4 / 5 6 7": 0,
	} {
		var s Sequence
		var skipped int64
		resumed := false
		for _, id := range strings.Fields(ids) {
			if id == "/" {
				resumed = true
				continue
			}
			skipped += s.Skipped(id, resumed)
			resumed = false
		}
		if skipped != want {
			t.Errorf("ids %q: %d skipped, want %d", ids, skipped, want)
		}
	}
}

// TestSequenceWithLargestID checks that the largest id does not overflow.
func TestSequenceWithLargestID(t *testing.T) {
	var s Sequence
	for _, id := range []int64{1, 2} {
		s.Skipped(strconv.FormatInt(id, 10), false)
	}
	if got := s.Skipped(strconv.FormatInt(1<<63-1, 10), true); got <= 0 {
		t.Errorf("Skipped = %d, want a positive number", got)
	}
}
