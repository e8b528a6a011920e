// Package clientlimit decides what clients may make a daemon hold before it has read a request: how large the head of a request
// may be and what it takes of the daemon's memory, and how many connections each listener accepts.
//
// The package does no I/O and reads no clock.
package clientlimit

import "bytes"

// HeadState is how far the head of a request has arrived.
type HeadState int

// The states of a head.
const (
	HeadIncomplete HeadState = iota
	HeadComplete
	HeadTooLarge
)

// Head measures the head of a request, of which the zero value has received nothing.
type Head struct {
	// requestLine and fields are the bytes of the request line, empty lines before it included, and of the lines after it.
	requestLine, fields int64
	lines               int64
	// lineBytes are the bytes of the current line, and lineIsCR reports whether they are a carriage return alone.
	lineBytes int64
	lineIsCR  bool
	inFields  bool
}

// Add adds the next bytes of a connection. The request line and the lines after it, with the empty one at the end, may each take
// limit bytes, so that a head is accepted whether or not the limit is meant to include the request line. Bytes after the end of
// the head are not counted.
func (h *Head) Add(p []byte, limit int64) HeadState {
	for len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		part := p[:end+1]
		if end < 0 {
			part = p
		}
		h.count(part)
		if h.requestLine > limit || h.fields > limit {
			return HeadTooLarge
		}
		if end >= 0 && h.endLine() {
			return HeadComplete
		}
		p = p[len(part):]
	}
	return HeadIncomplete
}

// count counts a part of a line, which may include the line's end.
func (h *Head) count(part []byte) {
	if h.inFields {
		h.fields += int64(len(part))
	} else {
		h.requestLine += int64(len(part))
	}
	if h.lineBytes == 0 {
		h.lineIsCR = part[0] == '\r'
	}
	h.lineBytes += int64(len(part))
}

// endLine ends the current line and reports whether it was the last of the head.
func (h *Head) endLine() bool {
	empty := h.lineBytes == 1 || h.lineBytes == 2 && h.lineIsCR
	h.lineBytes = 0
	h.lines++
	if empty {
		return h.inFields
	}
	h.inFields = true
	return false
}

// Started reports whether any byte of the head has arrived.
func (h *Head) Started() bool { return h.requestLine > 0 }

const (
	// headCopies is how often the bytes of a head are in memory: as they arrived and decoded.
	headCopies = 2
	// headLineBytes is what a line takes beside its bytes: an entry of a map with its slice and strings, which is copied to be
	// forwarded.
	headLineBytes = 256
)

// Memory returns about the memory that the head takes once it is decoded, in bytes.
func (h *Head) Memory() int64 {
	return headCopies*(h.requestLine+h.fields) + headLineBytes*h.lines
}
