package decision

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestRingKeepsNewestRecordsWithinLimit checks, for random records, that the ring stays within
// its limit and that Find returns the same as a plain list of the records not evicted.
func TestRingKeepsNewestRecordsWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 20_000
		ring := NewRing(limit)
		var all []Record
		for i := range rapid.IntRange(1, 200).Draw(t, "n") {
			rec := Record{
				Request: fmt.Sprint("r", rapid.IntRange(0, 20).Draw(t, "id")),
				Reason:  fmt.Sprint(i),
			}
			ring.Put(rec)
			all = append(all, rec)
		}
		if ring.Size() > limit {
			t.Fatalf("Size() = %d, want at most %d", ring.Size(), limit)
		}
		kept := all[ring.Evicted():]
		for id := range 21 {
			name := fmt.Sprint("r", id)
			var want []string
			for _, rec := range kept {
				if rec.Request == name {
					want = append(want, rec.Reason)
				}
			}
			var got []string
			for _, rec := range ring.Find(name) {
				got = append(got, rec.Reason)
			}
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("Find(%q) = %v, want %v", name, got, want)
			}
		}
	})
}
