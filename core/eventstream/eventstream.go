// Package eventstream splits a stream of server-sent events (text/event-stream) into
// complete events and checks that their ids increase, so that a stream which breaks off in
// the middle of an event can be resumed after the last complete one.
package eventstream

import (
	"bytes"
	"strconv"

	"github.com/go-faster/errors"
)

// Event is one complete event.
type Event struct {
	// Raw holds the bytes as received, with the final blank line. It is valid until the next Push.
	Raw []byte
	// ID is the event's id; empty if it has none.
	ID string
}

// ErrTooLong is returned by Push if an incomplete event exceeds Splitter.MaxEvent.
var ErrTooLong = errors.New("an event of the stream exceeds the size limit")

// ErrIDTooLong is returned by Push for an event whose id exceeds maxIDSize.
var ErrIDTooLong = errors.New("an event id of the stream exceeds the size limit")

// ErrOutOfOrder is returned by Push for an event whose numeric id is not above the previous one.
var ErrOutOfOrder = errors.New("the event ids of the stream do not increase")

// Splitter splits a stream into events.
type Splitter struct {
	// MaxEvent is the size limit of an incomplete event, in bytes.
	MaxEvent int

	// pending is the incomplete event. The first searched bytes of it hold no blank line, and line is where its last line begins.
	pending        []byte
	line, searched int
	// lastID is the last numeric id, if hasID is set.
	lastID int64
	hasID  bool
}

// ResumeAfter makes Push reject events up to and including the one with this id, which were
// delivered before. An id that is not a number is ignored.
func (s *Splitter) ResumeAfter(id string) {
	if n, err := strconv.ParseInt(id, 10, 64); err == nil {
		s.lastID, s.hasID = n, true
	}
}

// The bounds of what a Splitter keeps of complete events, in bytes.
const (
	// maxIDSize bounds an event's id, which its reader keeps and sends in a header to resume the stream.
	maxIDSize = 4 << 10
	// maxSpareSize is the memory that may be kept for the next event whatever its size so far.
	maxSpareSize = 16 << 10
)

// Push adds received bytes and calls emit with each event that they complete. It stops at the first
// error: that of emit, ErrOutOfOrder, ErrIDTooLong or ErrTooLong.
func (s *Splitter) Push(data []byte, emit func(Event) error) error {
	s.pending = append(s.pending, data...)
	start := 0
	for {
		end := s.eventLength(s.pending[start:])
		if end < 0 {
			break
		}
		raw := s.pending[start : start+end]
		id := eventID(raw)
		if len(id) > maxIDSize {
			return ErrIDTooLong
		}
		event := Event{Raw: raw, ID: string(id)}
		if err := s.checkOrder(event.ID); err != nil {
			return err
		}
		if err := emit(event); err != nil {
			return err
		}
		start += end
	}
	s.discard(start)
	if len(s.pending) > s.MaxEvent {
		return ErrTooLong
	}
	return nil
}

// discard removes the first n pending bytes.
func (s *Splitter) discard(n int) {
	rest := s.pending[n:]
	switch {
	case n == 0:
	case cap(s.pending) > max(maxSpareSize, 2*len(rest)):
		s.pending = bytes.Clone(rest)
	default:
		s.pending = append(s.pending[:0], rest...)
	}
}

// Pending returns the number of bytes held of an incomplete event.
func (s *Splitter) Pending() int { return len(s.pending) }

// Partial reports whether the bytes so far end in the middle of an event.
func (s *Splitter) Partial() bool { return len(s.pending) > 0 }

func (s *Splitter) checkOrder(id string) error {
	n, err := strconv.ParseInt(id, 10, 64)
	numbered := err == nil // Only numeric ids have an order.
	if numbered && s.hasID && n <= s.lastID {
		return ErrOutOfOrder
	}
	if numbered {
		s.lastID, s.hasID = n, true
	}
	return nil
}

// eventLength returns the length of the first complete event of the pending data, including its blank line, or -1 if there is
// none. It searches no byte twice.
func (s *Splitter) eventLength(data []byte) int {
	for {
		newline := bytes.IndexByte(data[s.searched:], '\n')
		if newline < 0 {
			s.searched = len(data)
			return -1
		}
		end := s.searched + newline
		line := data[s.line:end]
		s.line, s.searched = end+1, end+1
		if len(bytes.TrimSuffix(line, []byte{'\r'})) == 0 {
			s.line, s.searched = 0, 0
			return end + 1
		}
	}
}

var idField = []byte("id:")

// eventID returns the value of the event's id field; empty if there is none.
func eventID(raw []byte) []byte {
	for line := range bytes.Lines(raw) {
		if value, found := bytes.CutPrefix(line, idField); found {
			return bytes.TrimSpace(value)
		}
	}
	return nil
}
