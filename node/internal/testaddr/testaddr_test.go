package testaddr

import "testing"

// TestFreeNeverRepeatsAddress: the system gives a port again soon after it was closed, and two daemons
// of one test got the same one.
func TestFreeNeverRepeatsAddress(t *testing.T) {
	seen := map[string]bool{}
	for range 2000 {
		addr := Free(t)
		if seen[addr] {
			t.Fatalf("%s was given twice, after %d others", addr, len(seen))
		}
		seen[addr] = true
	}
}
