package processors

import "testing"

// TestProcessorsForShare checks that a share is rounded up, is never exceeded by more than the least number of processors, and
// takes no more than there are.
func TestProcessorsForShare(t *testing.T) {
	for _, c := range []struct {
		cores           float64
		available, want int
	}{
		{0, 64, 64}, {0.4, 64, 2}, {0.4, 1, 1}, {1, 8, 2}, {2, 8, 2}, {2.1, 8, 3}, {16, 8, 8},
	} {
		if got := forShare(c.cores, c.available); got != c.want {
			t.Errorf("forShare(%v, %d) = %d, want %d", c.cores, c.available, got, c.want)
		}
	}
}
