package api

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"doorstack.dev/core/fault"
	"doorstack.dev/node/callmemory"
	"doorstack.dev/node/connguard"
	"github.com/go-faster/errors"
)

// requestBody is the body of a request, with the bytes reserved for it in the shared memory budget.
type requestBody struct {
	data          []byte
	reservedBytes int64
	memory        *callmemory.Budget
	// share is the share of the memory budget that the request may use.
	share float64
}

// release returns the reserved bytes to the budget. Calling it again has no effect.
func (b *requestBody) release() {
	b.memory.Release(b.reservedBytes)
	b.reservedBytes = 0
	b.data = nil
}

// Bodies are read in chunks for which memory is reserved first, so that a caller that announces a large body and sends little
// takes little memory. The chunks grow with what has arrived. Twice the body's size is reserved, for the body and for the text
// decoded from it.
const (
	minBodyChunk     = 4 << 10
	maxBodyChunk     = 64 << 10
	bodyMemoryFactor = 2
)

// readBody reads the body of a request within the server's limits on body size, total body
// memory and progress. It fails if the caller sends too slowly.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) (*requestBody, error) {
	return s.readBodyWithLimit(r.Context(), w, r, s.limits.MaxBody, 1)
}

// readBodyWithLimit is like readBody, for a body of at most limit bytes that may use a share of the
// memory budget. It fails once the deadline of ctx has passed. Another end of ctx ends it at the next chunk; who needs it to end
// sooner sets a read deadline after that.
func (s *Server) readBodyWithLimit(ctx context.Context, w http.ResponseWriter, r *http.Request, limit int64, share float64) (*requestBody, error) {
	b, err := s.readBodyChunks(ctx, w, r, limit, share)
	if err != nil {
		closeAfterAnswer(w)
	}
	return b, err
}

// closeAfterAnswer closes the caller's connection after the answer. Otherwise net/http would
// first read the rest of a rejected body, for as long as the caller takes to send it.
func closeAfterAnswer(w http.ResponseWriter) { w.Header().Set("Connection", "close") }

// readBodyChunks reads a body of at most limit bytes in chunks. The returned body must be
// released.
func (s *Server) readBodyChunks(ctx context.Context, w http.ResponseWriter, r *http.Request, limit int64, share float64) (*requestBody, error) {
	if r.ContentLength > limit {
		return nil, tooLargeError(limit)
	}
	b := &requestBody{memory: s.limits.Memory, share: share}
	connguard.BeginBody(ctx)
	err := s.readAll(ctx, w, r, b, limit)
	if !connguard.EndBody(ctx) {
		err = fault.New(fault.Abandoned, "the body arrived too slowly, and its connection was closed for others", "nothing to do")
	}
	if err != nil {
		b.release()
		return nil, err
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return b, nil
}

// readAll reads a body to its end.
func (s *Server) readAll(ctx context.Context, w http.ResponseWriter, r *http.Request, b *requestBody, limit int64) error {
	for {
		whole, err := s.readChunk(ctx, w, r, b, limit)
		if err != nil {
			return err
		}
		if whole {
			return b.reserve(ctx, int64(bodyMemoryFactor*len(b.data)))
		}
	}
}

// readChunk reads the next chunk of a body and reports whether it was the last.
func (s *Server) readChunk(ctx context.Context, w http.ResponseWriter, r *http.Request, b *requestBody, limit int64) (whole bool, err error) {
	size := chunkSize(len(b.data), r.ContentLength, limit)
	if err := b.reserve(ctx, int64(bodyMemoryFactor*len(b.data)+size)); err != nil {
		return false, err
	}
	// Extend the deadline only while the caller makes progress.
	deadline := time.Now().Add(s.limits.ReadProgressTimeout)
	if callEnds, timed := ctx.Deadline(); timed && callEnds.Before(deadline) {
		deadline = callEnds
	}
	_ = http.NewResponseController(w).SetReadDeadline(deadline)
	if ctx.Err() != nil {
		return false, fault.New(fault.Abandoned, "the call ended while its body was read", "nothing to do")
	}
	have := len(b.data)
	b.data = slices.Grow(b.data, size)
	n, err := io.ReadFull(r.Body, b.data[have:have+size])
	b.data = b.data[:have+n]
	switch {
	case int64(len(b.data)) > limit:
		return false, tooLargeError(limit)
	case err == nil:
		return false, nil
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		if r.ContentLength >= 0 && int64(len(b.data)) < r.ContentLength {
			return false, fault.New(fault.BadRequest, "the request body is shorter than its Content-Length", "send as many bytes as Content-Length announces")
		}
		return true, nil
	}
	if callEnds, timed := ctx.Deadline(); timed && !time.Now().Before(callEnds) {
		return false, fault.New(fault.DeadlinePassed, "the request body did not arrive within the time of the call", "send the body faster, or allow more time")
	}
	return false, fault.New(fault.BadRequest,
		fmt.Sprintf("cannot read the request body: %v", err),
		fmt.Sprintf("send at least %d bytes every %v", size, s.limits.ReadProgressTimeout))
}

// chunkSize returns the size of the next chunk of a body of which some bytes have arrived. announced is negative if the length of
// the body is not known. One byte more than announced or allowed is read to find the end of the body.
func chunkSize(arrived int, announced, limit int64) int {
	size := int64(min(maxBodyChunk, max(minBodyChunk, arrived)))
	if announced >= 0 {
		limit = min(limit, announced)
	}
	return int(min(size, limit+1-int64(arrived)))
}

// reserve reserves size bytes in all. If there are not enough, bodies that have been awaited for too long give way.
func (b *requestBody) reserve(ctx context.Context, size int64) error {
	missing := size - b.reservedBytes
	if missing <= 0 {
		b.memory.Release(-missing)
		b.reservedBytes = size
		return nil
	}
	for !b.memory.TryReserve(missing, b.share) {
		freed := b.memory.Freed()
		if !connguard.EvictSlowBody(ctx) || !awaitMemory(ctx, freed) {
			return memoryExhaustedError()
		}
	}
	b.reservedBytes = size
	return nil
}

// awaitMemory waits for memory that a closed connection releases, and reports whether the body may be read on. Meanwhile the body
// does not give way: it would not notice, and two of them could wait for each other.
func awaitMemory(ctx context.Context, freed <-chan struct{}) bool {
	if !connguard.EndBody(ctx) {
		return false
	}
	defer connguard.BeginBody(ctx)
	select {
	case <-freed:
		return true
	case <-ctx.Done():
		return false
	}
}

// memoryExhaustedError is the error for a request that finds no room in the memory budget.
func memoryExhaustedError() *fault.Error {
	return fault.New(fault.BodyMemoryExhausted,
		"the daemon's memory for requests and unread answers is exhausted",
		"retry the request, or ask the operator to raise body_memory_mb").WithRetry(time.Second)
}

// tooLargeError is the error for a body of more than limit bytes.
func tooLargeError(limit int64) error {
	return fault.New(fault.TooLarge, fmt.Sprintf("the request body exceeds %d bytes", limit), "shorten the prompt")
}
