package api

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"doorstack.dev/core/fault"
	"github.com/go-faster/errors"
)

// body is a request's body with the memory it holds.
type body struct {
	data   []byte
	held   int64
	budget *budget
}

// release gives the memory back. It may be called more than once.
func (b *body) release() {
	b.budget.give(b.held)
	b.held = 0
	b.data = nil
}

// Bodies grow in steps, so that a caller that announces much and sends little
// holds little. A body costs twice its size: itself and the text decoded from it.
const (
	bodyStep   = 64 << 10
	bodyFactor = 2
)

// readBody reads the body within the limits of size, shared memory and time. A
// caller that sends too slowly is cut off.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) (*body, error) {
	return s.readBodyUpTo(w, r, s.limits.MaxBody)
}

// readBodyUpTo is readBody with another bound on the size.
func (s *Server) readBodyUpTo(w http.ResponseWriter, r *http.Request, most int64) (*body, error) {
	b, err := s.readBounded(w, r, most)
	if err != nil {
		closeAfter(w)
	}
	return b, err
}

// closeAfter ends the connection with the answer. Otherwise the HTTP library would
// first read the rest of a refused body, for as long as the caller takes.
func closeAfter(w http.ResponseWriter) { w.Header().Set("Connection", "close") }

func (s *Server) readBounded(w http.ResponseWriter, r *http.Request, most int64) (*body, error) {
	if r.ContentLength > most {
		return nil, tooLarge(most)
	}
	control := http.NewResponseController(w)
	b := &body{budget: s.bodies}
	buffer := make([]byte, bodyStep)
	for {
		// The deadline moves on only while the body does.
		_ = control.SetReadDeadline(time.Now().Add(s.limits.ReadStep))
		n, err := io.ReadFull(r.Body, buffer)
		if growErr := b.grow(buffer[:n], most); growErr != nil {
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
				fmt.Sprintf("send at least %d bytes every %v", bodyStep, s.limits.ReadStep))
		}
	}
}

func (b *body) grow(data []byte, limit int64) error {
	if int64(len(b.data)+len(data)) > limit {
		return tooLarge(limit)
	}
	cost := int64(len(data)) * bodyFactor
	if !b.budget.take(cost) {
		return fault.New(fault.BodyMemoryExhausted,
			"this daemon's memory for request bodies is in use",
			"send again, or have body_memory_mb raised").WithRetry(time.Second)
	}
	b.held += cost
	b.data = append(b.data, data...)
	return nil
}

func tooLarge(limit int64) error {
	return fault.New(fault.TooLarge, fmt.Sprintf("the body is over %d bytes", limit), "shorten the prompt")
}
