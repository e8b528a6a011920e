package api

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"doorstack.dev/node/callmemory"
)

// slowCaller is a caller's connection: each write takes as long as pause returns, or fails at its deadline.
type slowCaller struct {
	pause func() time.Duration

	mu       sync.Mutex
	header   http.Header
	received bytes.Buffer
	deadline time.Time
	changed  chan struct{} // closed when the deadline changes
}

func newSlowCaller(pause func() time.Duration) *slowCaller {
	return &slowCaller{pause: pause, header: http.Header{}, changed: make(chan struct{})}
}

func (c *slowCaller) Header() http.Header { return c.header }

func (c *slowCaller) WriteHeader(int) {}

func (c *slowCaller) Flush() {}

func (c *slowCaller) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	close(c.changed)
	c.changed = make(chan struct{})
	return nil
}

func (c *slowCaller) Write(p []byte) (int, error) {
	done := time.After(c.pause())
	for {
		c.mu.Lock()
		deadline, changed := c.deadline, c.changed
		c.mu.Unlock()
		select {
		case <-done:
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.received.Write(p)
		case <-time.After(time.Until(deadline)):
			return 0, os.ErrDeadlineExceeded
		case <-changed:
		}
	}
}

func (c *slowCaller) text() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received.String()
}

const testWriteTimeout = 10 * time.Second

// newTestWriter returns a writer of an answer to a caller, and the number of times that the call was ended
// because the caller did not read.
func newTestWriter(t *testing.T, caller *slowCaller, memory *callmemory.Budget) (a *answerWriter, ended *int) {
	ctx, cancel := context.WithCancel(t.Context())
	ended = new(int)
	a = &answerWriter{
		w: caller, control: http.NewResponseController(caller), writeTimeout: testWriteTimeout, memory: memory,
		ctx: ctx, cancel: cancel, progressed: make(chan struct{}, 1), draining: func() bool { return false },
		notReading: func(int64) { *ended++ },
	}
	if err := a.WriteHead(http.StatusOK, http.Header{}, -1); err != nil {
		t.Fatal(err)
	}
	return a, ended
}

// TestSecondHeadIsRefused guards against the body of a second answer being appended to the first.
func TestSecondHeadIsRefused(t *testing.T) {
	a, _ := newTestWriter(t, newSlowCaller(func() time.Duration { return 0 }), nil)
	if err := a.WriteHead(http.StatusNotFound, http.Header{}, 3); err == nil {
		t.Error("WriteHead of a second answer = nil, want an error")
	}
}

// TestSlowCallerDoesNotDelayItsTarget checks that the parts of a stream are taken at once while the caller
// reads one a second, and reach it in order.
func TestSlowCallerDoesNotDelayItsTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := callmemory.New(1 << 20)
		caller := newSlowCaller(func() time.Duration { return time.Second })
		a, _ := newTestWriter(t, caller, memory)
		began, want := time.Now(), ""
		for i := range 30 {
			part := fmt.Sprintf("part %d;", i)
			want += part
			if err := a.Write([]byte(part)); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(began); took > 0 {
			t.Errorf("30 parts were taken in %v, want at once", took)
		}
		if err := a.Flush(t.Context()); err != nil || caller.text() != want || time.Since(began) != 30*time.Second {
			t.Errorf("Flush after %v = %v with %q received, want all parts after 30s", time.Since(began), err, caller.text())
		}
		if memory.InUse() != 0 {
			t.Errorf("memory in use = %d after the answer, want 0", memory.InUse())
		}
	})
}

// TestUnreadAnswersStayWithinTheBudget checks that the unread answers of many slow callers stay within the
// memory for calls and within the bound of each, that a fast caller beside them is not delayed, and that all
// answers arrive whole.
func TestUnreadAnswersStayWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const calls, parts, partSize, limit = 40, 50, 64 << 10, 8 << 20
		memory := callmemory.New(limit)
		random := rand.New(rand.NewPCG(1, 2))
		var running sync.WaitGroup
		most := int64(0)
		var mu sync.Mutex
		for i := range calls {
			pause := time.Duration(50+random.IntN(400)) * time.Millisecond
			fast := i == 0
			if fast {
				pause = 0
			}
			running.Go(func() {
				caller := newSlowCaller(func() time.Duration { return pause })
				a, ended := newTestWriter(t, caller, memory)
				began := time.Now()
				for n := range parts {
					if err := a.Write(bytes.Repeat([]byte{byte(n)}, partSize)); err != nil {
						t.Error(err)
						return
					}
					mu.Lock()
					most = max(most, memory.InUse())
					mu.Unlock()
					if held := a.heldBytes(); held > maxQueuedBytes+partSize {
						t.Errorf("one answer holds %d bytes, want %d at most", held, maxQueuedBytes+partSize)
					}
					if fast {
						<-time.After(20 * time.Millisecond)
					}
				}
				took := time.Since(began)
				if err := a.Flush(t.Context()); err != nil || *ended > 0 || caller.received.Len() != parts*partSize {
					t.Errorf("Flush = %v with %d bytes received, want the whole answer", err, caller.received.Len())
				}
				if want := parts * 20 * time.Millisecond; fast && took > want {
					t.Errorf("the parts of the fast caller took %v, want %v", took, want)
				}
			})
		}
		running.Wait()
		if most > limit || memory.InUse() != 0 {
			t.Errorf("memory in use: %d at most, %d in the end, want within %d and 0", most, memory.InUse(), limit)
		}
	})
}

// TestCallerThatDoesNotReadIsEnded checks that the call of a caller that reads nothing ends after the time of
// a write, with a line in the log, and holds no memory any more.
func TestCallerThatDoesNotReadIsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := callmemory.New(1 << 20)
		a, ended := newTestWriter(t, newSlowCaller(func() time.Duration { return time.Hour }), memory)
		began := time.Now()
		for a.Write(make([]byte, 100<<10)) == nil {
			if time.Since(began) > time.Minute {
				t.Fatal("the call goes on after a minute")
			}
		}
		took := time.Since(began)
		if err := a.Flush(t.Context()); err == nil {
			t.Error("Flush after the end of the call = nil, want an error")
		}
		if took != testWriteTimeout || *ended != 1 || a.ctx.Err() == nil || memory.InUse() != 0 {
			t.Errorf("ended after %v, %d lines, call cancelled %v, %d bytes in use; want after %v, one line, cancelled, none",
				took, *ended, a.ctx.Err() != nil, memory.InUse(), testWriteTimeout)
		}
	})
}

// TestEndOfCallAbortsTheWrite checks that nothing of the answer is written any more once the call has ended,
// whatever the caller has not read.
func TestEndOfCallAbortsTheWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := callmemory.New(1 << 20)
		a, ended := newTestWriter(t, newSlowCaller(func() time.Duration { return 5 * time.Second }), memory)
		for range 3 {
			if err := a.Write([]byte("part")); err != nil {
				t.Fatal(err)
			}
		}
		ctx, end := context.WithTimeout(t.Context(), 7*time.Second)
		defer end()
		began := time.Now()
		if err := a.Flush(ctx); err == nil || time.Since(began) != 7*time.Second {
			t.Errorf("Flush = %v after %v, want an error at the end of the call", err, time.Since(began))
		}
		if a.writing || memory.InUse() != 0 || *ended > 0 {
			t.Errorf("writing %v, %d bytes in use, %d lines; want none", a.writing, memory.InUse(), *ended)
		}
		if a.Write([]byte("late")) == nil {
			t.Error("Write after the end of the call = nil, want an error")
		}
	})
}

// heldBytes returns the unread bytes of an answer.
func (a *answerWriter) heldBytes() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queuedBytes
}
