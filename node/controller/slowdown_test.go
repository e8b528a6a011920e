package controller

import (
	"fmt"
	"testing"

	"doorstack.dev/node/blackboard"
)

// newEngines returns the addresses of n engines, not sorted by id.
func newEngines(n int) []blackboard.TargetAddress {
	var list []blackboard.TargetAddress
	for i := range n {
		list = append(list, blackboard.TargetAddress{ID: fmt.Sprintf("engine-%04d", i*7919%n)})
	}
	return list
}

// TestLargePoolIsPolledInBatches checks that a round does not grow with the pool, that each engine
// is polled within the number of rounds that nextBatch returns, and that a slow engine is polled in
// each of them.
func TestLargePoolIsPolledInBatches(t *testing.T) {
	for _, size := range []int{maxSlowdownBatch + 1, 1000, 2300} {
		live := newEngines(size)
		p := &poolPolling{slowTargets: map[string]bool{live[3].ID: true, live[size/2].ID: true}}
		polled := map[string]int{}
		_, rounds := (&poolPolling{slowTargets: p.slowTargets}).nextBatch(live)
		for range rounds {
			batch, _ := p.nextBatch(live)
			if len(batch) > maxSlowdownBatch {
				t.Errorf("%d engines: batch of %d, want %d at most", size, len(batch), maxSlowdownBatch)
			}
			for _, e := range batch {
				polled[e.ID]++
			}
		}
		if len(polled) != size {
			t.Errorf("%d engines: %d were polled in %d rounds, want all", size, len(polled), rounds)
		}
		for id := range p.slowTargets {
			if polled[id] != rounds {
				t.Errorf("%d engines: a slow engine was polled %d times in %d rounds, want once in each", size, polled[id], rounds)
			}
		}
	}
}

// TestManySlowEnginesDoNotStarveOthers checks that every engine is polled although more engines are
// slow than a batch holds.
func TestManySlowEnginesDoNotStarveOthers(t *testing.T) {
	live := newEngines(1000)
	p := &poolPolling{slowTargets: map[string]bool{}}
	for _, e := range live[:600] {
		p.slowTargets[e.ID] = true
	}
	polled := map[string]bool{}
	_, rounds := (&poolPolling{slowTargets: p.slowTargets}).nextBatch(live)
	for range rounds {
		batch, _ := p.nextBatch(live)
		if len(batch) > maxSlowdownBatch {
			t.Fatalf("batch of %d, want %d at most", len(batch), maxSlowdownBatch)
		}
		for _, e := range batch {
			polled[e.ID] = true
		}
	}
	if len(polled) != len(live) {
		t.Errorf("%d of %d engines were polled in %d rounds, want all", len(polled), len(live), rounds)
	}
}

func TestSmallPoolIsPolledWhole(t *testing.T) {
	for _, size := range []int{0, 1, 18, maxSlowdownBatch} {
		p := &poolPolling{}
		for range 2 {
			if batch, rounds := p.nextBatch(newEngines(size)); len(batch) != size || rounds != 1 {
				t.Errorf("%d engines: batch of %d in %d rounds, want all in one round", size, len(batch), rounds)
			}
		}
	}
}
