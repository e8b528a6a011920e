package engine

import "testing"

func TestSlowdown(t *testing.T) {
	for reported, want := range map[float64]float64{0: 1, 1: 1, 1.2: 1, 1.3: 1.3, 4.5: 4.5} {
		if got := Slowdown(reported); got != want {
			t.Errorf("Slowdown(%v) = %v, want %v", reported, got, want)
		}
	}
}
