package api

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"doorstack.dev/core/fault"
	"doorstack.dev/node/callmemory"
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

// Bodies are read and reserved in chunks, so that a caller that announces a large body and sends
// little reserves little memory. Twice the body's size is reserved, for the body and for the text
// decoded from it.
const (
	bodyChunkSize    = 64 << 10
	bodyMemoryFactor = 2
)

// readBody reads the body of a request within the server's limits on body size, total body
// memory and progress. It fails if the caller sends too slowly.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) (*requestBody, error) {
	return s.readBodyWithLimit(r.Context(), w, r, s.limits.MaxBody, 1)
}

// readBodyWithLimit is like readBody, for a body of at most limit bytes that may use a share of the
// memory budget. The end of ctx ends it at the next chunk; who needs it to end sooner sets a read
// deadline after that.
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
	control := http.NewResponseController(w)
	b := &requestBody{memory: s.limits.Memory, share: share}
	buffer := make([]byte, bodyChunkSize)
	for {
		// Extend the deadline only while the caller makes progress.
		_ = control.SetReadDeadline(time.Now().Add(s.limits.ReadProgressTimeout))
		if ctx.Err() != nil {
			b.release()
			return nil, fault.New(fault.Abandoned, "the call ended while its body was read", "nothing to do")
		}
		n, err := io.ReadFull(r.Body, buffer)
		if growErr := b.appendData(buffer[:n], limit); growErr != nil {
			b.release()
			return nil, growErr
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			if r.ContentLength >= 0 && int64(len(b.data)) < r.ContentLength {
				b.release()
				return nil, fault.New(fault.BadRequest, "the request body is shorter than its Content-Length", "send as many bytes as Content-Length announces")
			}
			_ = control.SetReadDeadline(time.Time{})
			return b, nil
		}
		if err != nil {
			b.release()
			return nil, fault.New(fault.BadRequest,
				fmt.Sprintf("cannot read the request body: %v", err),
				fmt.Sprintf("send at least %d bytes every %v", bodyChunkSize, s.limits.ReadProgressTimeout))
		}
	}
}

// appendData appends data to the body after reserving memory for it.
func (b *requestBody) appendData(data []byte, limit int64) error {
	if int64(len(b.data)+len(data)) > limit {
		return tooLargeError(limit)
	}
	cost := int64(len(data)) * bodyMemoryFactor
	if !b.memory.TryReserve(cost, b.share) {
		return memoryExhaustedError()
	}
	b.reservedBytes += cost
	b.data = append(b.data, data...)
	return nil
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
