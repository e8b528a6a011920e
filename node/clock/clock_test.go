package clock

import (
	"testing"
	"time"
)

// TestSuspendedTimeIsConstantWhileAwake: two reads while the test runs differ by the time between
// the reads of the two clocks at most.
func TestSuspendedTimeIsConstantWhileAwake(t *testing.T) {
	began := time.Now()
	before := SuspendedTime()
	after := SuspendedTime()
	if took := time.Since(began); after-before > took || before-after > took {
		t.Errorf("the host slept for %v in %v", after-before, took)
	}
}
