package reach

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func TestFailingTargetsAreCountedUntilConnected(t *testing.T) {
	p := New()
	p.DirectFailed("a")
	p.DirectFailed("b")
	p.DirectConnected("c", time.Millisecond)
	if s := p.Summary(); s.Failing != 2 || s.Known != 3 {
		t.Fatalf("summary %+v, want 2 of 3 failing", s)
	}
	p.DirectConnected("a", time.Millisecond)
	if s := p.Summary(); s.Failing != 1 {
		t.Fatalf("summary %+v, want 1 failing", s)
	}
}

func TestTargetsThatAreGoneAreForgotten(t *testing.T) {
	p := New()
	for _, address := range []string{"gone", "here"} {
		p.DirectConnected(address, time.Millisecond)
		p.RelayConnected(address, "n1", true, time.Millisecond)
	}
	p.Forget(func(address string) bool { return address == "here" }, start)
	if s := p.Summary(); s.Known != 1 || s.Lost != 1 {
		t.Fatalf("summary %+v, want one", s)
	}
	if w, known := p.ReferenceTarget("other"); w != "here" {
		t.Fatalf("reference %q, %v, want the one that is left", w, known)
	}
}
