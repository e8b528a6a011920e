package relay

import (
	"encoding/binary"
	"io"

	"doorstack.dev/node/target"
	"github.com/go-faster/errors"
)

// A framed relay sends what it reads from the target in frames: a length of frameHeaderSize bytes, then as many bytes. A
// frame of length zero says that the target has ended the connection in order. A connection that ends without it was
// ended by the relay.

// frameHeaderSize is the size of a frame's length in bytes.
const frameHeaderSize = 2

// frameWriter writes each part as one frame.
type frameWriter struct {
	to    io.Writer
	frame [frameHeaderSize + bufferSize]byte
}

// Write implements io.Writer. p has at most bufferSize bytes.
func (w *frameWriter) Write(p []byte) (int, error) {
	binary.BigEndian.PutUint16(w.frame[:], uint16(len(p)))
	frame := w.frame[:frameHeaderSize+copy(w.frame[frameHeaderSize:], p)]
	if _, err := w.to.Write(frame); err != nil {
		return 0, err
	}
	return len(p), nil
}

// writeEnd writes the frame that says that the target has ended the connection.
func (w *frameWriter) writeEnd() error {
	_, err := w.Write(nil)
	return err
}

// framedSocket is a connection through a framed relay. It reads no bytes ahead, so that the kernel's state of the
// socket shows whether any are unread.
type framedSocket struct {
	target.Socket
	in    io.Reader
	left  int // unread bytes of the current frame
	ended bool
}

// Read implements io.Reader. It returns io.EOF only if the target has ended the connection in order.
func (s *framedSocket) Read(p []byte) (int, error) {
	if s.ended {
		return 0, io.EOF
	}
	if s.left == 0 {
		var header [frameHeaderSize]byte
		if _, err := io.ReadFull(s.in, header[:]); err != nil {
			return 0, relayEnd(err)
		}
		s.left = int(binary.BigEndian.Uint16(header[:]))
		if s.left == 0 {
			s.ended = true
			return 0, io.EOF
		}
	}
	n, err := s.in.Read(p[:min(len(p), s.left)])
	s.left -= n
	return n, relayEnd(err)
}

// plainSocket is a connection through a relay of an earlier version, which does not say who has ended the connection.
type plainSocket struct {
	target.Socket
	in io.Reader
}

// Read implements io.Reader.
func (s *plainSocket) Read(p []byte) (int, error) {
	n, err := s.in.Read(p)
	return n, relayEnd(err)
}

// relayEnd replaces the error of a connection that has ended without the relay's word that the target ended it.
func relayEnd(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return target.ErrRelayEnded
	}
	return err
}
