package cluster

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// seedHost stands for the host of a seed: until up nothing answers a dial, from then on connections
// open, and the daemon there answers after delay.
type seedHost struct {
	up, delay     time.Duration
	refuses       bool // whether the host refuses connections until up
	introductions int
	dials         int
}

// introducing returns introductions to hosts in virtual time.
func introducing(start time.Time, hosts map[string]*seedHost) *introductions {
	var mu sync.Mutex
	return newIntroductions(func(ctx context.Context, address string, connected func()) bool {
		ctx, cancel := context.WithTimeout(ctx, joinTimeout)
		defer cancel()
		h := hosts[address]
		mu.Lock()
		h.dials++
		mu.Unlock()
		if time.Since(start) < h.up {
			if !h.refuses {
				<-ctx.Done()
			}
			return false
		}
		connected()
		mu.Lock()
		h.introductions++
		mu.Unlock()
		select {
		case <-time.After(h.delay):
			return true
		case <-ctx.Done():
			return false
		}
	})
}

// TestSeedThatComesUpIsFoundAtOnce: all hosts have lost power and the seeds come up 90 to 200 ms
// after this daemon's start; one stays down. The first answer must arrive within 100 ms of the
// first seed's start, and the round end with it. Without repeated dials it arrived after the
// timeout of the first dial, 500 ms, and a pause.
func TestSeedThatComesUpIsFoundAtOnce(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		for up := 10 * time.Millisecond; up < 450*time.Millisecond; up += 23 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				hosts := map[string]*seedHost{"a": {up: time.Hour}, "b": {up: up, delay: 10 * time.Millisecond, refuses: refuses}, "c": {up: up + 110*time.Millisecond, delay: 10 * time.Millisecond}}
				outcome := introducing(start, hosts).round(t.Context(), []string{"a", "b", "c", "me"}, "me", true)
				if took := time.Since(start); outcome.first != "b" || took > up+100*time.Millisecond {
					t.Errorf("seed up after %v: first answer from %q after %v, want it from b within 100 ms", up, outcome.first, took)
				}
				if hosts["b"].introductions != 1 {
					t.Errorf("%d introductions at the seed that answered, want 1", hosts["b"].introductions)
				}
			})
		}
	}
}

// TestSlowSeedGetsOneIntroduction: at a start of 585 daemons a seed may take seconds for its
// answers, with all members in each. A daemon must have one introduction at a time there, however
// long it waits, and at most 9 within 5 s.
func TestSlowSeedGetsOneIntroduction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		hosts := map[string]*seedHost{"a": {delay: time.Hour}}
		i := introducing(start, hosts)
		for time.Since(start) < 5*time.Second {
			if outcome := i.round(t.Context(), []string{"a"}, "me", true); outcome.answered != 0 {
				t.Fatal("an answer from a seed that gives none")
			}
		}
		if n := hosts["a"].introductions; n > 9 || n != hosts["a"].dials {
			t.Errorf("%d introductions in %d dials within 5 s, want at most 9, each of one dial", n, hosts["a"].dials)
		}
	})
}

// TestRoundOfSeedsThatStayDown: a round ends after joinRound, so that a new list of seeds takes
// effect; the intervals of the dials go on growing in the next rounds, and no dial is left behind.
func TestRoundOfSeedsThatStayDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		hosts := map[string]*seedHost{"a": {up: time.Hour}}
		i := introducing(start, hosts)
		for range 40 {
			before := time.Now()
			i.round(t.Context(), []string{"a"}, "me", true)
			if took := time.Since(before); took != joinRound {
				t.Fatalf("round took %v, want %v", took, joinRound)
			}
		}
		if d := hosts["a"].dials; d > 110 {
			t.Errorf("%d dials in 20 s, want at most 110", d)
		}
	})
}

// TestRoundWithNeighboursDialsOnce: a daemon that has neighbours looks for a lost member with one dial.
func TestRoundWithNeighboursDialsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hosts := map[string]*seedHost{"a": {up: time.Hour}}
		start := time.Now()
		introducing(start, hosts).round(t.Context(), []string{"a"}, "me", false)
		if hosts["a"].dials != 1 || time.Since(start) != joinTimeout {
			t.Errorf("%d dials within %v, want one within %v", hosts["a"].dials, time.Since(start), joinTimeout)
		}
	})
}
