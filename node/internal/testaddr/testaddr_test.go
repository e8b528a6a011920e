package testaddr

import "testing"

// TestFreeNeverRepeatsAddress guards against two daemons of one test getting the same address: the
// system assigns a port again soon after it was closed.
func TestFreeNeverRepeatsAddress(t *testing.T) {
	seen := map[string]bool{}
	for range 2000 {
		addr := Free(t)
		if seen[addr] {
			t.Fatalf("Free returned %s again after %d addresses, want a new one", addr, len(seen))
		}
		seen[addr] = true
	}
}
