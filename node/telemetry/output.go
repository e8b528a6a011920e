package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"doorstack.dev/core/admission"
)

// Output writes log lines without blocking the code that logs: lines wait in a bounded
// queue for a goroutine that writes them, and a line that finds the queue full is dropped
// and counted.
type Output struct {
	lines   chan []byte
	waiting atomic.Int64 // bytes of the lines that wait
	dropped atomic.Int64
	done    chan struct{}

	// mu guards closed: no line is queued once lines is closed. Writers share it.
	mu     sync.RWMutex
	closed bool
}

// outputQueueSize and outputQueueBytes bound the lines that wait: some seconds of a busy daemon's log.
const (
	outputQueueSize  = 2048
	outputQueueBytes = 2 << 20
)

// NewOutput returns an Output that writes to w until Close.
func NewOutput(w io.Writer) *Output {
	o := &Output{lines: make(chan []byte, outputQueueSize), done: make(chan struct{})}
	go func() {
		defer close(o.done)
		for line := range o.lines {
			o.waiting.Add(-int64(len(line)))
			if _, err := w.Write(line); err != nil {
				o.dropped.Add(1)
			}
		}
	}()
	return o
}

// Write implements io.Writer. It queues or drops the line and never returns an error. After Close it drops the line: calls
// may still log while the process ends.
func (o *Output) Write(p []byte) (int, error) {
	size := int64(len(p))
	o.mu.RLock()
	defer o.mu.RUnlock()
	if o.closed {
		o.dropped.Add(1)
		return len(p), nil
	}
	if o.waiting.Add(size) > outputQueueBytes {
		o.waiting.Add(-size)
		o.dropped.Add(1)
		return len(p), nil
	}
	select {
	case o.lines <- append([]byte(nil), p...):
	default:
		o.waiting.Add(-size)
		o.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines that were dropped or could not be written.
func (o *Output) Dropped() int64 { return o.dropped.Load() }

// Close writes the queued lines and stops.
func (o *Output) Close() {
	o.mu.Lock()
	o.closed = true
	close(o.lines)
	o.mu.Unlock()
	<-o.done
}

// maxRoutineLines bounds the lines per second about successful requests. All other lines
// are always logged: failures, refusals, and changes of the daemon's view of hosts and targets.
const maxRoutineLines = 200

// routineLimiter limits the rate of lines about successful requests.
type routineLimiter struct{ bucket admission.Bucket }

func newRoutineLimiter(now time.Time) *routineLimiter {
	return &routineLimiter{bucket: admission.NewBucket(maxRoutineLines, now)}
}

// allow reports whether one more line may be logged now.
func (r *routineLimiter) allow(now time.Time) bool {
	ok, _ := r.bucket.Take(1, now)
	return ok
}
