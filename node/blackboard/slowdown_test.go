package blackboard

import (
	"testing"
	"time"
)

// TestSlowdownReportExpires checks that a reported slowdown is dropped once it is too old.
// Without that, a slow target that is no longer polled would be avoided forever.
func TestSlowdownReportExpires(t *testing.T) {
	now := time.Now()
	p := slowdownReport{}
	if got := p.valueAt(now); got != 1 {
		t.Errorf("valueAt before the first report = %v, want 1", got)
	}
	p = slowdownReport{factor: 4.5, validUntil: now.Add(time.Second)}
	if got := p.valueAt(now); got != 4.5 {
		t.Errorf("valueAt after a report of 4.5 = %v, want 4.5", got)
	}
	if got := p.valueAt(now.Add(1100 * time.Millisecond)); got != 1 {
		t.Errorf("valueAt after the report expired = %v, want 1", got)
	}
}
