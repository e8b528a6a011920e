package api

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"doorstack.dev/core/fault"
	"github.com/go-faster/errors"
)

// requestBody is a request's body with the memory it holds.
type requestBody struct {
	data          []byte
	reservedBytes int64
	memory        *memoryBudget
}

// release gives the memory back. It may be called more than once.
func (b *requestBody) release() {
	b.memory.release(b.reservedBytes)
	b.reservedBytes = 0
	b.data = nil
}

// Bodies grow in steps, so that a caller that announces much and sends little
// holds little. A body costs twice its size: itself and the text decoded from it.
const (
	bodyChunkSize    = 64 << 10
	bodyMemoryFactor = 2
)

// readBody reads the body within the limits of size, shared memory and time. A
// caller that sends too slowly is cut off.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) (*requestBody, error) {
	return s.readBodyWithLimit(w, r, s.limits.MaxBody)
}

// readBodyUpTo is readBody with another bound on the size.
func (s *Server) readBodyWithLimit(w http.ResponseWriter, r *http.Request, most int64) (*requestBody, error) {
	b, err := s.readLimited(w, r, most)
	if err != nil {
		closeAfterAnswer(w)
	}
	return b, err
}

// closeAfterAnswer ends the connection with the answer. Otherwise the HTTP library would
// first read the rest of a refused body, for as long as the caller takes.
func closeAfterAnswer(w http.ResponseWriter) { w.Header().Set("Connection", "close") }

func (s *Server) readLimited(w http.ResponseWriter, r *http.Request, most int64) (*requestBody, error) {
	if r.ContentLength > most {
		return nil, tooLargeError(most)
	}
	control := http.NewResponseController(w)
	b := &requestBody{memory: s.bodyMemory}
	buffer := make([]byte, bodyChunkSize)
	for {
		// The deadline moves on only while the body does.
		_ = control.SetReadDeadline(time.Now().Add(s.limits.ReadProgressTimeout))
		n, err := io.ReadFull(r.Body, buffer)
		if growErr := b.appendData(buffer[:n], most); growErr != nil {
			b.release()
			return nil, growErr
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			if r.ContentLength >= 0 && int64(len(b.data)) < r.ContentLength {
				b.release()
				return nil, fault.New(fault.BadRequest, "the body ended early", "send as many bytes as Content-Length says")
			}
			_ = control.SetReadDeadline(time.Time{})
			return b, nil
		}
		if err != nil {
			b.release()
			return nil, fault.New(fault.BadRequest,
				fmt.Sprintf("the body did not come: %v", err),
				fmt.Sprintf("send at least %d bytes every %v", bodyChunkSize, s.limits.ReadProgressTimeout))
		}
	}
}

func (b *requestBody) appendData(data []byte, limit int64) error {
	if int64(len(b.data)+len(data)) > limit {
		return tooLargeError(limit)
	}
	cost := int64(len(data)) * bodyMemoryFactor
	if !b.memory.reserve(cost) {
		return fault.New(fault.BodyMemoryExhausted,
			"this daemon's memory for request bodies is in use",
			"send again, or have body_memory_mb raised").WithRetry(time.Second)
	}
	b.reservedBytes += cost
	b.data = append(b.data, data...)
	return nil
}

func tooLargeError(limit int64) error {
	return fault.New(fault.TooLarge, fmt.Sprintf("the body is over %d bytes", limit), "shorten the prompt")
}
