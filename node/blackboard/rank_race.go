//go:build race

package blackboard

import (
	"bytes"
	"fmt"
	"runtime"
	"slices"
	"sync"
)

// held maps a goroutine to the ranks of the locks it holds, in order.
var held sync.Map

// goroutine reads the id of the current goroutine from its stack trace, which is
// slow and only done in builds that look for races.
func goroutine() string {
	buffer := make([]byte, 64)
	buffer = buffer[:runtime.Stack(buffer, false)]
	fields := bytes.Fields(buffer)
	return string(fields[1])
}

func acquire(rank Rank) {
	id := goroutine()
	value, _ := held.Load(id)
	ranks, _ := value.([]Rank)
	if len(ranks) > 0 && ranks[len(ranks)-1] >= rank {
		panic(fmt.Sprintf("lock order: a lock of rank %d is taken while %v are held", rank, ranks))
	}
	held.Store(id, append(slices.Clone(ranks), rank))
}

func release(rank Rank) {
	id := goroutine()
	value, _ := held.Load(id)
	ranks, _ := value.([]Rank)
	at := slices.Index(ranks, rank)
	if at < 0 {
		panic(fmt.Sprintf("lock order: rank %d is released by a goroutine that does not hold it", rank))
	}
	rest := slices.Delete(slices.Clone(ranks), at, at+1)
	if len(rest) == 0 {
		held.Delete(id)
		return
	}
	held.Store(id, rest)
}
