package controller

import (
	"fmt"
	"testing"

	"doorstack.dev/node/blackboard"
)

func newEngines(n int) []blackboard.TargetAddress {
	var list []blackboard.TargetAddress
	for i := range n {
		list = append(list, blackboard.TargetAddress{ID: fmt.Sprintf("engine-%04d", i*7919%n)})
	}
	return list
}

// TestLargePoolIsPolledInBatches: what the daemon that coordinates a pool asks in a round does not
// grow with the pool; each engine is asked within the rounds that are told, and one that was
// slow in each of them.
func TestLargePoolIsPolledInBatches(t *testing.T) {
	for _, size := range []int{maxSlowdownBatch + 1, 1000, 2300} {
		live := newEngines(size)
		p := &poolPolling{slowTargets: map[string]bool{live[3].ID: true, live[size/2].ID: true}}
		asked := map[string]int{}
		_, rounds := (&poolPolling{slowTargets: p.slowTargets}).nextBatch(live)
		for range rounds {
			batch, _ := p.nextBatch(live)
			if len(batch) > maxSlowdownBatch {
				t.Errorf("%d engines: %d are asked in a round, want %d at most", size, len(batch), maxSlowdownBatch)
			}
			for _, e := range batch {
				asked[e.ID]++
			}
		}
		if len(asked) != size {
			t.Errorf("%d engines: %d were asked in %d rounds", size, len(asked), rounds)
		}
		for id := range p.slowTargets {
			if asked[id] != rounds {
				t.Errorf("%d engines: a slow one was asked in %d rounds of %d", size, asked[id], rounds)
			}
		}
	}
}

// TestManySlowEnginesDoNotStarveOthers: engines are found slow also where many are known to be.
func TestManySlowEnginesDoNotStarveOthers(t *testing.T) {
	live := newEngines(1000)
	p := &poolPolling{slowTargets: map[string]bool{}}
	for _, e := range live[:600] {
		p.slowTargets[e.ID] = true
	}
	asked := map[string]bool{}
	_, rounds := (&poolPolling{slowTargets: p.slowTargets}).nextBatch(live)
	for range rounds {
		batch, _ := p.nextBatch(live)
		if len(batch) > maxSlowdownBatch {
			t.Fatalf("%d are asked in a round", len(batch))
		}
		for _, e := range batch {
			asked[e.ID] = true
		}
	}
	if len(asked) != len(live) {
		t.Errorf("%d of %d were asked", len(asked), len(live))
	}
}

func TestSmallPoolIsPolledWhole(t *testing.T) {
	for _, size := range []int{0, 1, 18, maxSlowdownBatch} {
		p := &poolPolling{}
		for range 2 {
			if batch, rounds := p.nextBatch(newEngines(size)); len(batch) != size || rounds != 1 {
				t.Errorf("%d engines: %d asked, %d rounds", size, len(batch), rounds)
			}
		}
	}
}
