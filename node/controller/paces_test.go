package controller

import (
	"fmt"
	"testing"

	"doorstack.dev/node/blackboard"
)

func enginesOf(n int) []blackboard.TargetAddress {
	var list []blackboard.TargetAddress
	for i := range n {
		list = append(list, blackboard.TargetAddress{ID: fmt.Sprintf("engine-%04d", i*7919%n)})
	}
	return list
}

// TestALargePoolIsAskedInTurn: what the daemon that coordinates a pool asks in a round does not
// grow with the pool; each engine is asked within the rounds that are told, and one that was
// slow in each of them.
func TestALargePoolIsAskedInTurn(t *testing.T) {
	for _, size := range []int{paceBatch + 1, 1000, 2300} {
		live := enginesOf(size)
		p := &pacedPool{slow: map[string]bool{live[3].ID: true, live[size/2].ID: true}}
		asked := map[string]int{}
		_, rounds := (&pacedPool{slow: p.slow}).round(live)
		for range rounds {
			batch, _ := p.round(live)
			if len(batch) > paceBatch {
				t.Errorf("%d engines: %d are asked in a round, want %d at most", size, len(batch), paceBatch)
			}
			for _, e := range batch {
				asked[e.ID]++
			}
		}
		if len(asked) != size {
			t.Errorf("%d engines: %d were asked in %d rounds", size, len(asked), rounds)
		}
		for id := range p.slow {
			if asked[id] != rounds {
				t.Errorf("%d engines: a slow one was asked in %d rounds of %d", size, asked[id], rounds)
			}
		}
	}
}

// TestManySlowEnginesLeaveRoom: engines are found slow also where many are known to be.
func TestManySlowEnginesLeaveRoom(t *testing.T) {
	live := enginesOf(1000)
	p := &pacedPool{slow: map[string]bool{}}
	for _, e := range live[:600] {
		p.slow[e.ID] = true
	}
	asked := map[string]bool{}
	_, rounds := (&pacedPool{slow: p.slow}).round(live)
	for range rounds {
		batch, _ := p.round(live)
		if len(batch) > paceBatch {
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

func TestASmallPoolIsAskedWhole(t *testing.T) {
	for _, size := range []int{0, 1, 18, paceBatch} {
		p := &pacedPool{}
		for range 2 {
			if batch, rounds := p.round(enginesOf(size)); len(batch) != size || rounds != 1 {
				t.Errorf("%d engines: %d asked, %d rounds", size, len(batch), rounds)
			}
		}
	}
}
