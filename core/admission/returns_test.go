package admission

import (
	"testing"
	"time"
)

// TestOutdatedReturnsMakeRoom guards against a list of refused calls that stays full of outdated
// entries, with which no early repeat would be charged any more, and against one that grows without
// bound.
func TestOutdatedReturnsMakeRoom(t *testing.T) {
	var l levelShares
	refuse := func(tokens int64, at time.Duration) {
		l.expectReturn(&Item{Account: "a", Tokens: tokens, Arrived: epoch.Add(at)}, epoch.Add(at+time.Second))
	}
	for i := range int64(maxReturns + 10) {
		refuse(minRepeatTokens+i, 0)
	}
	if len(l.returns) != maxReturns {
		t.Errorf("%d refused calls are remembered, want %d", len(l.returns), maxReturns)
	}
	late := time.Second + returnMemory + time.Millisecond
	refuse(10*maxReturns, late)
	if len(l.returns) != 1 {
		t.Errorf("%d refused calls are remembered once all but one are outdated, want 1", len(l.returns))
	}
	if !l.takeEarlyRepeat(&Item{Account: "a", Tokens: 10 * maxReturns, Arrived: epoch.Add(late + sweepInterval)}) {
		t.Error("the repeat of the latest refused call is not known")
	}
}

// TestRepeatIsComparedWithFirstReturn guards against charging a caller that honours its Retry-After
// because another caller with a prompt of the same length was told to wait for longer, and was
// refused first.
func TestRepeatIsComparedWithFirstReturn(t *testing.T) {
	var l levelShares
	refused := func(wait time.Duration) {
		l.expectReturn(&Item{Account: "a", Tokens: 5000, Arrived: epoch}, epoch.Add(wait))
	}
	early := func(after time.Duration) bool {
		return l.takeEarlyRepeat(&Item{Account: "a", Tokens: 5000, Arrived: epoch.Add(after)})
	}
	refused(3 * time.Second)
	refused(time.Second)
	if early(1100 * time.Millisecond) {
		t.Error("a call 1.1 s after the refusal counts as an early repeat, want it taken for the one told to wait 1 s")
	}
	if !early(1200 * time.Millisecond) {
		t.Error("the next call does not count as an early repeat, want it taken for the one told to wait 3 s")
	}
}
