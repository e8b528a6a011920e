// Package eventstream cuts a server-sent event stream (text/event-stream) into
// whole events and checks that their ids rise, so that a stream which breaks in the
// middle of an event can be taken up again after the last whole one.
package eventstream

import (
	"bytes"
	"strconv"

	"github.com/go-faster/errors"
)

// Event is one whole event with its closing blank line.
type Event struct {
	// Raw are the bytes as they came. They are valid until the next Push.
	Raw []byte
	// ID is the event's id; empty where it has none.
	ID string
}

// ErrTooLong is returned for an event over the bound.
var ErrTooLong = errors.New("an event of the stream is longer than the bound")

// ErrOutOfOrder is returned for an event whose id is not above the one before.
var ErrOutOfOrder = errors.New("the stream's events are out of order")

// Splitter cuts a stream into events.
type Splitter struct {
	// MaxEvent bounds the bytes of one event.
	MaxEvent int

	pending []byte
	lastID  int64
}

// After makes the splitter refuse events up to an id, which were given already.
func (s *Splitter) ResumeAfter(id string) {
	if n, err := strconv.ParseInt(id, 10, 64); err == nil {
		s.lastID = n
	}
}

// Push adds bytes and hands each event that they complete to emit.
func (s *Splitter) Push(data []byte, emit func(Event) error) error {
	s.pending = append(s.pending, data...)
	start := 0
	for {
		end := eventLength(s.pending[start:])
		if end < 0 {
			break
		}
		event := Event{Raw: s.pending[start : start+end]}
		event.ID = eventID(event.Raw)
		if err := s.checkOrder(event.ID); err != nil {
			return err
		}
		if err := emit(event); err != nil {
			return err
		}
		start += end
	}
	s.pending = append(s.pending[:0], s.pending[start:]...)
	if len(s.pending) > s.MaxEvent {
		return ErrTooLong
	}
	return nil
}

// Partial tells whether the stream stands in the middle of an event.
func (s *Splitter) Partial() bool { return len(s.pending) > 0 }

func (s *Splitter) checkOrder(id string) error {
	n, err := strconv.ParseInt(id, 10, 64)
	numbered := err == nil // An event without a number has no order to keep.
	if numbered && n <= s.lastID {
		return ErrOutOfOrder
	}
	if numbered {
		s.lastID = n
	}
	return nil
}

// eventLength is the length of the first whole event: up to its blank line, or -1.
func eventLength(data []byte) int {
	offset := 0
	for {
		newline := bytes.IndexByte(data[offset:], '\n')
		if newline < 0 {
			return -1
		}
		line := data[offset : offset+newline]
		offset += newline + 1
		if len(bytes.TrimSuffix(line, []byte{'\r'})) == 0 {
			return offset
		}
	}
}

var idField = []byte("id:")

// eventID reads the id field of an event.
func eventID(raw []byte) string {
	for line := range bytes.Lines(raw) {
		if value, found := bytes.CutPrefix(line, idField); found {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
