package target

import (
	"bytes"
	"io"

	"github.com/go-faster/errors"
)

// The bounds of what is read for the head of an answer, the informational answers before it included. A head of few
// bytes with very many lines would take a multiple of its size once it is decoded.
const (
	maxHeadSize  = 32 << 10 // bytes
	maxHeadLines = 256
)

var errHeadTooLarge = errors.New("the head of the target's answer exceeds the size limit")

// headLimit reads from a connection, and fails while a head is read that exceeds the bounds.
type headLimit struct {
	conn io.Reader
	// reading reports that a head is being read; size and lines are what has been read for it.
	reading     bool
	size, lines int
}

// begin starts a head.
func (l *headLimit) begin() { l.reading, l.size, l.lines = true, 0, 0 }

// end ends the head. What follows has other bounds.
func (l *headLimit) end() { l.reading = false }

// Read implements io.Reader. The buffer that it fills is empty whenever a head needs more, so all bytes counted so far
// belong to the head.
func (l *headLimit) Read(p []byte) (int, error) {
	if !l.reading {
		return l.conn.Read(p)
	}
	if l.size >= maxHeadSize || l.lines >= maxHeadLines {
		return 0, errHeadTooLarge
	}
	n, err := l.conn.Read(p)
	l.size += n
	l.lines += bytes.Count(p[:n], []byte{'\n'})
	return n, err
}
