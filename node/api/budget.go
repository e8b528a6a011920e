package api

import "sync"

// memoryBudget limits the memory held by all request bodies together, in bytes.
type memoryBudget struct {
	mu    sync.Mutex
	limit int64
	used  int64
}

// reserve reserves n bytes and reports whether so many were free. If not, it reserves nothing.
func (b *memoryBudget) reserve(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.limit {
		return false
	}
	b.used += n
	return true
}

// release frees n reserved bytes.
func (b *memoryBudget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

// inUse returns the number of reserved bytes.
func (b *memoryBudget) inUse() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}
