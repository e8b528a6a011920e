//go:build race

package blackboard

import (
	"bytes"
	"fmt"
	"runtime"
	"slices"
	"sync"
)

// held maps the id of a goroutine to the ranks of the locks that it holds, in order.
var held sync.Map

// goroutine returns the id of the current goroutine, read from its stack trace. That is
// slow and done only in builds with the race detector.
func goroutine() string {
	buffer := make([]byte, 64)
	buffer = buffer[:runtime.Stack(buffer, false)]
	fields := bytes.Fields(buffer)
	return string(fields[1])
}

// acquire panics if the goroutine holds a lock of the same or a higher rank, and records
// the lock otherwise.
func acquire(rank Rank) {
	id := goroutine()
	value, _ := held.Load(id)
	ranks, _ := value.([]Rank)
	if len(ranks) > 0 && ranks[len(ranks)-1] >= rank {
		panic(fmt.Sprintf("lock order violation: locking rank %d while holding ranks %v", rank, ranks))
	}
	held.Store(id, append(slices.Clone(ranks), rank))
}

// release removes a lock from those that the goroutine holds.
func release(rank Rank) {
	id := goroutine()
	value, _ := held.Load(id)
	ranks, _ := value.([]Rank)
	at := slices.Index(ranks, rank)
	if at < 0 {
		panic(fmt.Sprintf("lock order violation: unlocking rank %d, which the goroutine does not hold", rank))
	}
	rest := slices.Delete(slices.Clone(ranks), at, at+1)
	if len(rest) == 0 {
		held.Delete(id)
		return
	}
	held.Store(id, rest)
}
