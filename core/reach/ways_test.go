package reach

import (
	"fmt"
	"testing"
	"time"
)

var (
	self   = Relay{Name: "s", DataCentre: "dc1"}
	relays = []Relay{
		{Name: "n1", DataCentre: "dc1"}, {Name: "n2", DataCentre: "dc1", Strong: true}, {Name: "n3", DataCentre: "dc1"},
		{Name: "f1", DataCentre: "dc2"}, {Name: "f2", DataCentre: "dc3"},
	}
)

func relayNames(ways []Way) (names []string, directAt int) {
	directAt = -1
	for i, w := range ways {
		if w.Relay == "" {
			directAt = i
			continue
		}
		names = append(names, w.Relay)
	}
	return names, directAt
}

func loseAll(p *Paths) {
	for _, address := range []string{"a", "b"} {
		p.DirectFailed(address)
		p.RelayConnected(address, "n2", true, time.Millisecond)
	}
}

func TestDirectPathIsTriedFirstUntilItIsLost(t *testing.T) {
	p := New()
	if _, at := relayNames(p.Ways("a", self, relays, start)); at != 0 {
		t.Fatalf("direct way at %d, want first", at)
	}
	p.DirectFailed("a")
	if p.Lost("a") {
		t.Fatal("a failed connection alone shows no lost path: the target may be down")
	}
	p.RelayConnected("a", "n2", true, time.Millisecond)
	names, at := relayNames(p.Ways("a", self, relays, start))
	if at != len(names) {
		t.Fatalf("direct way at %d of a lost path, want last", at)
	}
	if p.Lost("b") {
		t.Fatal("one lost path does not lose the others")
	}
}

// The daemons of a data centre may lose their paths together.
func TestSecondRelayIsInAnotherDataCentre(t *testing.T) {
	names, _ := relayNames(New().Ways("a", self, relays, start))
	if len(names) != maxRelays || names[0] != "n2" || names[1][0] != 'f' {
		t.Fatalf("relays %v, want the strong one nearby, then one of another data centre", names)
	}
}

func TestWorkingRelayComesFirst(t *testing.T) {
	p := New()
	p.RelayConnected("a", "f2", true, time.Millisecond)
	names, _ := relayNames(p.Ways("other", self, relays, start))
	if names[0] != "f2" {
		t.Fatalf("relays %v, want the one that works first", names)
	}
}

// Most daemons may have lost their paths together.
func TestManyRelaysAreAskedWhenThePathIsLost(t *testing.T) {
	p := New()
	p.RelayConnected("a", "n1", true, time.Millisecond)
	names, _ := relayNames(p.Ways("a", self, relays, start))
	if len(names) != len(relays) {
		t.Fatalf("relays %v, want all %d", names, len(relays))
	}
}

func TestPathIsLostIfTheLastTargetsFailTogether(t *testing.T) {
	p := New()
	if _, known := p.ReferenceTarget("a"); known {
		t.Fatal("no target was connected to")
	}
	p.DirectConnected("b", time.Millisecond)
	p.DirectConnected("a", time.Millisecond)
	if w, known := p.ReferenceTarget("a"); !known || w != "b" {
		t.Fatalf("reference %q, want b", w)
	}
	p.ReferenceFailed()
	if !p.AllLost() {
		t.Fatal("all paths should count as lost")
	}
}

func TestFailedRelayIsAvoidedForAWhile(t *testing.T) {
	p := New()
	p.RelayFailed("n2", start)
	if names, _ := relayNames(p.Ways("a", self, relays, start)); names[0] == "n2" {
		t.Fatalf("relays %v, the first has just failed", names)
	}
	if names, _ := relayNames(p.Ways("a", self, relays, start.Add(relayAvoidance))); names[0] != "n2" {
		t.Fatalf("relays %v, the first may work again", names)
	}
}

func TestAllPathsAreLostAfterTwoTargets(t *testing.T) {
	p := New()
	loseAll(p)
	if !p.AllLost() || !p.Lost("never tried") {
		t.Fatal("all paths should count as lost")
	}
	p.DirectConnected("b", time.Millisecond)
	if p.AllLost() || p.Lost("a") {
		t.Fatal("a direct connection ends the loss of all paths")
	}
}

func TestPartialLossLeavesOtherPathsAlone(t *testing.T) {
	p := New()
	for i := range 5 {
		address := fmt.Sprint("lost", i)
		p.DirectFailed(address)
		p.RelayConnected(address, "n2", true, time.Millisecond)
		p.DirectConnected("reached", time.Millisecond)
	}
	if p.AllLost() || p.Lost("reached") || !p.Lost("lost3") {
		t.Fatalf("summary %+v, want only the lost ones", p.Summary())
	}
}

func TestOtherTargetsAnswerDoesNotRestoreLostPaths(t *testing.T) {
	p := New()
	loseAll(p)
	p.DirectConnected("reached", time.Millisecond)
	if p.AllLost() || !p.Lost("a") || !p.Lost("b") {
		t.Fatalf("summary %+v, want two lost paths", p.Summary())
	}
}

func TestProbesTakeTurnsUntilThePathIsBack(t *testing.T) {
	p := New()
	if _, due := p.Probe(start); due {
		t.Fatal("nothing to probe")
	}
	loseAll(p)
	seen := map[string]bool{}
	at := start
	for range 2 {
		address, due := p.Probe(at)
		if !due {
			t.Fatal("a probe is due")
		}
		if _, due := p.Probe(at.Add(probeInterval - 1)); due {
			t.Fatal("the next probe is not due yet")
		}
		seen[address] = true
		at = at.Add(probeInterval)
	}
	if len(seen) != 2 {
		t.Fatalf("probed %v, want both", seen)
	}
	p.DirectConnected("a", time.Millisecond)
	if _, due := p.Probe(at.Add(probeInterval)); due {
		t.Fatal("the paths are back")
	}
}

func TestPatienceFollowsMeasuredTimes(t *testing.T) {
	p := New()
	if got := p.Ways("a", self, relays, start)[0].AttemptDelay; got != initialAttemptDelay {
		t.Fatalf("patience %v without a measurement", got)
	}
	for range 50 {
		p.DirectConnected("far", 40*time.Millisecond)
	}
	for range 50 {
		p.DirectConnected("near", time.Millisecond)
	}
	near, far := p.Ways("near", self, nil, start)[0].AttemptDelay, p.Ways("far", self, nil, start)[0].AttemptDelay
	if near != minAttemptDelay || far < 40*time.Millisecond || far > 60*time.Millisecond {
		t.Fatalf("patience %v for a near target and %v for a far one", near, far)
	}
}
