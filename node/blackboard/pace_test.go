package blackboard

import (
	"testing"
	"time"
)

// TestAPaceIsUsedForATime: what a target told of its pace is forgotten when it is too old,
// so that one that is not asked any more is not avoided for ever.
func TestAPaceIsUsedForATime(t *testing.T) {
	now := time.Now()
	p := pace{}
	if got := p.now(now); got != 1 {
		t.Errorf("before the first report: %v", got)
	}
	p = pace{factor: 4.5, until: now.Add(time.Second)}
	if got := p.now(now); got != 4.5 {
		t.Errorf("after a report: %v", got)
	}
	if got := p.now(now.Add(1100 * time.Millisecond)); got != 1 {
		t.Errorf("later: %v", got)
	}
}
