package membership

import (
	"testing"
	"time"
)

// TestSeedWithoutPowerIsFoundWithin100ms: a dial to a host without power hangs until its timeout.
// Whenever the host comes up within the first 4 s, the next dial must follow within 100 ms. Before,
// the first dial was waited for until its timeout of 500 ms.
func TestSeedWithoutPowerIsFoundWithin100ms(t *testing.T) {
	start := time.Unix(0, 0)
	for up := time.Duration(0); up < 4*time.Second; up += 7 * time.Millisecond {
		var s SeedDialing
		for {
			at, ok := s.Next()
			if !ok {
				t.Fatal("no further dial while none has a connection")
			}
			if at.Before(start) {
				at = start
			}
			s.Dialed(at)
			if found := at.Sub(start); found >= up {
				if found-up > 100*time.Millisecond {
					t.Fatalf("a seed that comes up after %v is dialed %v later, want at most 100 ms", up, found-up)
				}
				break
			}
		}
	}
}

// TestDialsOfSeedWithoutPowerAreBounded: a seed whose host stays down is dialed at most 70 times in
// the first 5 s and at most 3 times a second afterwards.
func TestDialsOfSeedWithoutPowerAreBounded(t *testing.T) {
	start := time.Unix(0, 0)
	var s SeedDialing
	count := func(from, to time.Duration) (n int) {
		for {
			at, _ := s.Next()
			if at.Before(start) {
				at = start
			}
			if at.Sub(start) >= to {
				return n
			}
			s.Dialed(at)
			if at.Sub(start) >= from {
				n++
			}
		}
	}
	if n := count(0, 5*time.Second); n > 70 {
		t.Errorf("%d dials in the first 5 s, want at most 70", n)
	}
	if n := count(7*time.Second, 17*time.Second); n > 30 {
		t.Errorf("%d dials in 10 s later on, want at most 30", n)
	}
}

// TestOverloadedSeedGetsOneIntroductionAtATime: when 585 daemons start together, a seed sends all
// members to each of them and may take longer than the timeout of an introduction. A connection
// that waits for the answer must not be joined by another, and the pauses after failures grow, so
// that the seed gets at most 585 introductions per 500 ms, as it did without repeated dials.
func TestOverloadedSeedGetsOneIntroductionAtATime(t *testing.T) {
	const timeout, daemons = 500 * time.Millisecond, 585
	start := time.Unix(0, 0)
	now, introductions := start, 0
	var s SeedDialing
	for now.Sub(start) < 5*time.Second {
		if at, ok := s.Next(); !ok || at.After(now) && at.Sub(now) > retryIntervalMax {
			t.Fatalf("next dial %v, %v; want one within %v", at, ok, retryIntervalMax)
		} else if at.After(now) {
			now = at
		}
		s.Dialed(now)
		s.Connected()
		introductions++
		if _, ok := s.Next(); ok {
			t.Fatal("a further dial while the seed has an introduction to answer")
		}
		now = now.Add(timeout)
		s.Unanswered(now)
	}
	if perTimeout := float64(daemons*introductions) / (5 / timeout.Seconds()); perTimeout > daemons {
		t.Errorf("%.0f introductions of %d daemons per %v, want at most one of each", perTimeout, daemons, timeout)
	}
}
