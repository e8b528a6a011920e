package api

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"doorstack.dev/core/fault"
	"doorstack.dev/node/callmemory"
	"github.com/go-faster/errors"
)

// answerWriter writes a target's answer to the caller. The parts of a stream are queued and written in
// the background, so that a slow caller does not stop the reading of its target, which would cut off
// the answer after some seconds.
type answerWriter struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	writeTimeout time.Duration // limits each write
	draining     func() bool
	memory       *callmemory.Budget
	// ctx is the context of the call, and cancel ends the call when its caller does not read.
	ctx    context.Context
	cancel context.CancelFunc
	// notReading is called when the caller has read nothing for writeTimeout.
	notReading func(queued int64)

	headWritten bool
	buffered    bool // the answer is whole, so there is no target to be read on

	mu          sync.Mutex
	queue       []queuedPart
	queuedBytes int64
	writing     bool // a goroutine writes the queue
	err         error
	// progressed receives a value after each part that was written, and when the writer ends.
	progressed chan struct{}
}

// queuedPart is a part of an answer that the caller has not read. size is what it takes of memory, and reserved what it takes
// of the budget, in bytes.
type queuedPart struct {
	data           []byte
	size, reserved int64
}

// The bounds of the unread part of one answer, in bytes.
const (
	// maxQueuedBytes bounds the whole of it. It is far more than an answer of thousands of tokens takes.
	maxQueuedBytes = 1 << 20
	// partOverhead is what a part takes beside its data. A stream of very short events takes a multiple of its length.
	partOverhead = 64
	// maxUnaccountedPart is the largest part that is queued while the memory for calls is exhausted.
	maxUnaccountedPart = 16 << 10
)

// closeIfDraining closes the connection after the answer if the daemon is draining, so that the
// caller's next call goes to another host.
func (a *answerWriter) closeIfDraining() {
	if a.draining() {
		a.w.Header().Set("Connection", "close")
	}
}

// WriteHead implements requestcontrol.AnswerWriter.
func (a *answerWriter) WriteHead(status int, h http.Header, length int64) error {
	if a.headWritten {
		return fault.New(fault.Internal, "the call has been answered already", "report this as a defect").WithExecution(fault.Ran)
	}
	a.headWritten, a.buffered = true, length >= 0
	header := a.w.Header()
	for name, values := range endToEndHeaders(h) {
		header[name] = values
	}
	header.Del("Content-Length")
	if length >= 0 {
		header.Set("Content-Length", fmt.Sprint(length))
	}
	a.closeIfDraining()
	a.w.WriteHeader(status)
	return nil
}

// Write implements requestcontrol.AnswerWriter.
func (a *answerWriter) Write(p []byte) error {
	if a.buffered {
		return a.writeNow(p)
	}
	for {
		freed := a.memory.Freed()
		switch outcome, err := a.enqueue(p); outcome {
		case partTaken:
			return err
		case partBorrowed:
			return a.Flush(a.ctx)
		case noRoom:
		}
		select {
		case <-a.progressed:
		case <-freed:
		case <-a.ctx.Done():
			return a.ctx.Err()
		}
	}
}

// enqueueOutcome is what enqueue did with a part.
type enqueueOutcome int

// The outcomes of enqueue.
const (
	noRoom enqueueOutcome = iota
	// partTaken means that the part was copied, or that the writer has failed.
	partTaken
	// partBorrowed means that the part must not change until it has been written.
	partBorrowed
)

// enqueue queues a part if there is room for it. A part always has room in an empty queue, so that each answer goes on, however
// many calls there are; one that exceeds the memory for calls is not copied.
func (a *answerWriter) enqueue(p []byte) (enqueueOutcome, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.err != nil {
		return partTaken, a.err
	}
	part := queuedPart{data: p, size: int64(len(p)) + partOverhead}
	outcome := partTaken
	switch empty := len(a.queue) == 0 && !a.writing; {
	case empty && len(p) <= maxUnaccountedPart:
	case a.queuedBytes+part.size <= maxQueuedBytes && a.memory.TryReserve(part.size, 1):
		part.reserved = part.size
	case empty:
		outcome = partBorrowed
	default:
		return noRoom, nil
	}
	if outcome == partTaken {
		part.data = bytes.Clone(p)
	}
	a.queue = append(a.queue, part)
	a.queuedBytes += part.size
	if !a.writing {
		a.writing = true
		go a.writeQueue()
	}
	return outcome, nil
}

// writeQueue writes queued parts until there are none left, a write fails or the answer is aborted. Parts that have queued up
// are sent together: a system call for each of many short ones would take the processor from other calls.
func (a *answerWriter) writeQueue() {
	for {
		part, last, ok := a.nextPart()
		if !ok {
			return
		}
		write := a.write
		if last {
			write = a.writeNow
		}
		if err := write(part.data); err != nil {
			a.writeFailed(err)
			return
		}
		a.partWritten(part)
	}
}

// nextPart returns the next part to write, and whether it is the last one in the queue; ok is false if there is none or the
// answer is aborted.
func (a *answerWriter) nextPart() (part queuedPart, last, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.err != nil || len(a.queue) == 0 {
		a.stopWriting()
		return queuedPart{}, false, false
	}
	return a.queue[0], len(a.queue) == 1, true
}

// partWritten removes a part from the queue.
func (a *answerWriter) partWritten(part queuedPart) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue[0] = queuedPart{} // The slice's array would keep the data.
	a.queue = a.queue[1:]
	a.queuedBytes -= part.size
	a.memory.Release(part.reserved)
	a.signal()
}

// writeFailed ends the call, unless the write failed because the answer is aborted.
func (a *answerWriter) writeFailed(err error) {
	a.mu.Lock()
	aborted, queued := a.err != nil, a.queuedBytes
	if !aborted {
		a.err = err
	}
	a.mu.Unlock()
	if !aborted {
		if isTimeout(err) {
			a.notReading(queued)
		}
		a.cancel()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopWriting()
}

// stopWriting records that the writing goroutine ends, and discards what it has not written; the lock is
// held.
func (a *answerWriter) stopWriting() {
	a.writing = false
	a.discard()
	a.signal()
}

// discard empties the queue; the lock is held.
func (a *answerWriter) discard() {
	for _, part := range a.queue {
		a.memory.Release(part.reserved)
	}
	a.queue, a.queuedBytes = nil, 0
}

// signal wakes a waiting Write or Flush; the lock is held.
func (a *answerWriter) signal() {
	select {
	case a.progressed <- struct{}{}:
	default:
	}
}

// Flush implements requestcontrol.AnswerWriter.
func (a *answerWriter) Flush(ctx context.Context) error {
	for {
		a.mu.Lock()
		writing, err := a.writing, a.err
		a.mu.Unlock()
		if !writing {
			return err
		}
		select {
		case <-a.progressed:
		case <-ctx.Done():
			a.abort()
			return ctx.Err()
		}
	}
}

// abort ends a write in progress and waits for its end.
func (a *answerWriter) abort() {
	a.mu.Lock()
	if a.err == nil {
		a.err = errAborted
	}
	// A connection without deadlines, or one that is closed, blocks no write.
	_ = a.control.SetWriteDeadline(time.Unix(1, 0))
	writing := a.writing
	a.mu.Unlock()
	for writing {
		<-a.progressed
		a.mu.Lock()
		writing = a.writing
		a.mu.Unlock()
	}
}

// errAborted means that the call ended before its answer was written.
var errAborted = errors.New("the call ended before the caller had read its answer")

// writeNow writes a part and sends it at once.
func (a *answerWriter) writeNow(p []byte) error {
	if err := a.write(p); err != nil {
		return err
	}
	return a.control.Flush()
}

// write writes a part, which may be sent later.
func (a *answerWriter) write(p []byte) error {
	if err := a.startWrite(); err != nil {
		return err
	}
	_, err := a.w.Write(p)
	return err
}

// startWrite sets the deadline of the next write. It returns an error if the answer is aborted, whose
// deadline must not be replaced.
func (a *answerWriter) startWrite() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.err != nil {
		return a.err
	}
	return a.control.SetWriteDeadline(time.Now().Add(a.writeTimeout))
}

// isTimeout reports whether a write failed since its deadline passed.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
