package reach

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func TestFailingTargetsAreCountedUntilConnected(t *testing.T) {
	p := New()
	p.DirectFailed("a", start)
	p.DirectFailed("b", start)
	p.DirectConnected("c", time.Millisecond, start)
	if s := p.Summary(); s.Failing != 2 || s.Known != 3 {
		t.Fatalf("summary %+v, want 2 of 3 failing", s)
	}
	p.DirectConnected("a", time.Millisecond, start)
	if s := p.Summary(); s.Failing != 1 {
		t.Fatalf("summary %+v, want 1 failing", s)
	}
}

func TestUnusedTargetsAreForgotten(t *testing.T) {
	p := New()
	p.DirectFailed("a", start)
	p.Forget(start.Add(forgetAfter + time.Second))
	if s := p.Summary(); s.Known != 0 {
		t.Fatalf("summary %+v, want none", s)
	}
}
