// Package callmemory bounds the memory that a daemon holds for its callers: the bodies of their requests
// and the parts of answers that they have not read yet. Slow callers would otherwise exhaust a small
// host: a target does not wait long for its answer to be read.
package callmemory

import (
	"context"
	"sync"

	"github.com/go-faster/errors"
)

// Budget is the memory for all calls of a daemon, in bytes. A nil Budget has no limit.
type Budget struct {
	mu    sync.Mutex
	limit int64
	used  int64
	// freed is closed at the next release; nil if no call waits for it.
	freed chan struct{}
	// holds are the holds with memory, and growing is what they have together.
	holds   map[*Hold]struct{}
	growing int64
}

// New returns a budget of so many bytes.
func New(limit int64) *Budget { return &Budget{limit: limit, holds: map[*Hold]struct{}{}} }

// TryReserve reserves n bytes if the reservation stays within a share of the budget, 0 to 1, and reports
// whether it did.
func (b *Budget) TryReserve(n int64, share float64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if float64(b.used+n) > share*float64(b.limit) {
		return false
	}
	b.used += n
	return true
}

// Reserve reserves n bytes, and waits until so many are free or ctx ends. n must not exceed the budget.
func (b *Budget) Reserve(ctx context.Context, n int64) error {
	for {
		freed := b.Freed()
		if b.TryReserve(n, 1) {
			return nil
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Freed returns a channel that is closed when memory is released after this call.
func (b *Budget) Freed() <-chan struct{} {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.freed == nil {
		b.freed = make(chan struct{})
	}
	return b.freed
}

// Release frees n reserved bytes.
func (b *Budget) Release(n int64) {
	if b == nil || n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

// InUse returns the number of reserved bytes.
func (b *Budget) InUse() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// maxGrowingShare is the share of the budget that answers which are still being read may take while other calls wait for
// memory. Beyond it they could hold all of it and wait for each other.
const maxGrowingShare = 0.5

// ErrGaveWay means that an answer lost its memory to others: it was the largest of those still being read, and so the one
// that most likely has no end.
var ErrGaveWay = errors.New("the answer took the most of the memory for calls, which is exhausted")

// Hold is the memory of one answer while it is read. Its final size is not known, and it waits for more while it has some.
type Hold struct {
	budget *Budget
	size   int64
	// giveWay ends the reading of the answer. It must not block.
	giveWay func()
	gaveWay bool
}

// NewHold returns a hold without memory. giveWay is called at most once, if the memory is needed for other answers. The
// hold must be passed to Release or Keep.
func (b *Budget) NewHold(giveWay func()) *Hold {
	return &Hold{budget: b, giveWay: giveWay}
}

// Grow reserves n more bytes, and waits until so many are free or ctx ends. While several answers that are being read
// hold over maxGrowingShare of the budget, the largest of them gives way; if it is this one, the error is ErrGaveWay.
func (h *Hold) Grow(ctx context.Context, n int64) error {
	b := h.budget
	if b == nil {
		h.size += n
		return nil
	}
	for {
		freed := b.Freed()
		done, err := b.tryGrow(h, n)
		if done {
			return err
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tryGrow reserves n bytes for a hold if they are free, and reports whether its caller need not wait.
func (b *Budget) tryGrow(h *Hold, n int64) (done bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.gaveWay {
		return true, ErrGaveWay
	}
	if b.used+n <= b.limit {
		b.used += n
		b.growing += n
		h.size += n
		b.holds[h] = struct{}{}
		return true, nil
	}
	if float64(b.growing) <= maxGrowingShare*float64(b.limit) || b.growing == h.size {
		return false, nil // The memory is held by calls that need no more to go on.
	}
	largest := b.largestHold()
	if largest == nil {
		return false, nil // Memory will be released by those that gave way.
	}
	largest.gaveWay = true
	if largest == h {
		return true, ErrGaveWay
	}
	largest.giveWay()
	return false, nil
}

// largestHold returns the largest hold that has not given way, or nil if some hold has and its memory is not free yet.
func (b *Budget) largestHold() *Hold {
	var largest *Hold
	for h := range b.holds {
		if h.gaveWay {
			return nil
		}
		if largest == nil || h.size > largest.size {
			largest = h
		}
	}
	return largest
}

// Size returns the bytes reserved.
func (h *Hold) Size() int64 { return h.size }

// Shrink releases n bytes of the hold.
func (h *Hold) Shrink(n int64) {
	h.detach(n)
	h.budget.Release(n)
}

// Keep ends the growth of the hold, as its answer has been read, and returns its size. That must be passed to
// Budget.Release once the answer is no longer needed.
func (h *Hold) Keep() int64 {
	size := h.size
	h.detach(size)
	return size
}

// Release releases the memory of the hold.
func (h *Hold) Release() { h.Shrink(h.size) }

// detach takes n bytes out of the hold, which stay reserved.
func (h *Hold) detach(n int64) {
	b := h.budget
	if b == nil {
		h.size -= n
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	h.size -= n
	b.growing -= n
	if h.size == 0 {
		delete(b.holds, h)
	}
}
