package callmemory

import (
	"testing"
	"testing/synctest"

	"github.com/go-faster/errors"
)

// grow adds n bytes to a hold in the background and returns the result.
func grow(t *testing.T, h *Hold, n int64) <-chan error {
	result := make(chan error, 1)
	go func() { result <- h.Grow(t.Context(), n) }()
	return result
}

// TestLargestAnswerGivesWay guards against answers that hold all memory while each waits for more: the largest, which
// most likely has no end, gives its memory to the others.
func TestLargestAnswerGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(100)
		var large *Hold
		large = b.NewHold(func() { go large.Release() })
		small := b.NewHold(func() { t.Error("the smaller answer had to give way") })
		if err := errors.Join(large.Grow(t.Context(), 60), small.Grow(t.Context(), 40)); err != nil {
			t.Fatal(err)
		}
		if err := <-grow(t, small, 20); err != nil || small.Size() != 60 {
			t.Errorf("the smaller answer has %d bytes, %v; want 60", small.Size(), err)
		}
		if err := large.Grow(t.Context(), 1); !errors.Is(err, ErrGaveWay) {
			t.Errorf("Grow of the answer that gave way = %v", err)
		}
		small.Release()
		if b.InUse() != 0 || b.growing != 0 || len(b.holds) != 0 {
			t.Errorf("in use %d, growing %d in %d holds after all were released", b.InUse(), b.growing, len(b.holds))
		}
	})
}

func TestLargestAnswerThatNeedsMoreGivesWayItself(t *testing.T) {
	b := New(100)
	large, small := b.NewHold(func() {}), b.NewHold(func() { t.Error("the smaller answer had to give way") })
	if err := errors.Join(large.Grow(t.Context(), 60), small.Grow(t.Context(), 40)); err != nil {
		t.Fatal(err)
	}
	if err := large.Grow(t.Context(), 1); !errors.Is(err, ErrGaveWay) {
		t.Errorf("Grow = %v, want ErrGaveWay", err)
	}
}

// TestAnswerWaitsForMemoryOfOtherCalls checks that no answer gives way while the memory is held by bodies and by answers
// that have been read, and that a single answer never does.
func TestAnswerWaitsForMemoryOfOtherCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(100)
		read, other, single := b.NewHold(nil), b.NewHold(nil), b.NewHold(nil)
		if err := errors.Join(read.Grow(t.Context(), 60), other.Grow(t.Context(), 20)); err != nil || !b.TryReserve(20, 1) {
			t.Fatal(err)
		}
		kept := read.Keep()
		result := grow(t, single, 10)
		synctest.Wait()
		select {
		case err := <-result:
			t.Fatalf("Grow = %v before memory was free, want it to wait", err)
		default:
		}
		b.Release(kept)
		if err := <-result; err != nil {
			t.Fatal(err)
		}
		other.Release()
		result = grow(t, single, 71) // 10 of its own and 20 of a body are in use.
		synctest.Wait()
		b.Release(20)
		if err := <-result; err != nil {
			t.Fatal(err)
		}
	})
}
