package api

import "sync"

// memoryBudget bounds the memory of all request bodies held at one time.
type memoryBudget struct {
	mu    sync.Mutex
	limit int64
	used  int64
}

// take takes n bytes, all or none.
func (b *memoryBudget) reserve(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.limit {
		return false
	}
	b.used += n
	return true
}

func (b *memoryBudget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

func (b *memoryBudget) inUse() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}
