package blackboard

import (
	"testing"
	"time"
)

// TestSlowdownReportExpires: what a target told of its pace is forgotten when it is too old,
// so that one that is not asked any more is not avoided for ever.
func TestSlowdownReportExpires(t *testing.T) {
	now := time.Now()
	p := slowdownReport{}
	if got := p.valueAt(now); got != 1 {
		t.Errorf("before the first report: %v", got)
	}
	p = slowdownReport{factor: 4.5, validUntil: now.Add(time.Second)}
	if got := p.valueAt(now); got != 4.5 {
		t.Errorf("after a report: %v", got)
	}
	if got := p.valueAt(now.Add(1100 * time.Millisecond)); got != 1 {
		t.Errorf("later: %v", got)
	}
}
