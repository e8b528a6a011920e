package clock

import (
	"testing"
	"time"
)

// TestSuspendedTimeIsConstantWhileAwake: while the host is awake, two results may differ at most by
// the time between the reads of the two clocks.
func TestSuspendedTimeIsConstantWhileAwake(t *testing.T) {
	start := time.Now()
	before := SuspendedTime()
	after := SuspendedTime()
	if took := time.Since(start); after-before > took || before-after > took {
		t.Errorf("SuspendedTime() changed by %v within %v", after-before, took)
	}
}
