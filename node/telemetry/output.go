package telemetry

import (
	"io"
	"sync/atomic"
	"time"

	"doorstack.dev/core/admission"
)

// Output writes log lines without ever blocking whoever logs: lines wait in a bounded
// queue for one goroutine that writes them, and what finds the queue full is dropped
// and counted.
type Output struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// outputQueueSize bounds the lines that wait: some seconds of a busy daemon, about 1 MB.
const outputQueueSize = 2048

// NewOutput starts writing to w.
func NewOutput(w io.Writer) *Output {
	o := &Output{lines: make(chan []byte, outputQueueSize), done: make(chan struct{})}
	go func() {
		defer close(o.done)
		for line := range o.lines {
			if _, err := w.Write(line); err != nil {
				o.dropped.Add(1)
			}
		}
	}()
	return o
}

// Write implements io.Writer. It always takes the line, or drops it.
func (o *Output) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case o.lines <- line:
	default:
		o.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped is the number of lines that could not be written.
func (o *Output) Dropped() int64 { return o.dropped.Load() }

// Close writes what waits and ends. Nothing may be logged afterwards.
func (o *Output) Close() {
	close(o.lines)
	<-o.done
}

// maxRoutineLines bounds the lines a second about requests that went well. Everything
// else is always written: failures, refusals, and what changes a belief.
const maxRoutineLines = 200

// routineLimiter limits the lines about requests that went well.
type routineLimiter struct{ bucket admission.Bucket }

func newRoutineLimiter(now time.Time) *routineLimiter {
	return &routineLimiter{bucket: admission.NewBucket(maxRoutineLines, now)}
}

// take tells whether one more line may be written now.
func (r *routineLimiter) allow(now time.Time) bool {
	ok, _ := r.bucket.Take(1, now)
	return ok
}
