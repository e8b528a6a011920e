// Package sock looks at open connections without reading from them.
package sock

import (
	"net"
	"syscall"
)

// State is what the system knows of the receiving side of a connection.
type State int

// The states of a connection.
const (
	// Quiet connections are open, and nothing waits to be read.
	Idle State = iota
	// Readable connections have bytes that wait.
	Readable
	// Ended connections were closed or reset by the other side, and all that it sent before
	// a close has been read.
	Closed
)

// Peek looks at a connection at once, also while another goroutine reads from it. What cannot
// be looked at counts as Readable: only a read tells more.
func Peek(conn net.Conn) State {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return Readable
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Readable
	// Control, not Read: a Read waits for the reader that net/http keeps on a connection.
	err = raw.Control(func(fd uintptr) { state = peekFD(int(fd)) })
	if err != nil {
		return Closed // It is closed on this side.
	}
	return state
}

func peekFD(fd int) State {
	var buffer [1]byte
	n, _, err := syscall.Recvfrom(fd, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch err {
	case nil:
		if n == 0 {
			return Closed
		}
		return Readable
	case syscall.EAGAIN:
		return Idle
	case syscall.EINTR:
		return Readable
	default:
		return Closed
	}
}
