// Package sock inspects open connections without reading from them.
package sock

import (
	"net"
	"syscall"
)

// State is the state of a connection's receiving side, as the kernel reports it.
type State int

// The states of a connection.
const (
	// Idle connections are open and have no bytes to read.
	Idle State = iota
	// Readable connections have bytes to read.
	Readable
	// Closed connections were reset by the peer, closed on this side, or closed by the peer
	// with no bytes left to read.
	Closed
)

// Peek returns the state of a connection without blocking, also while another goroutine reads from
// it. A connection that cannot be inspected counts as Readable: only a read can find out more.
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
	// Control is used instead of Read, which would wait for the reader that net/http keeps on a
	// connection.
	err = raw.Control(func(fd uintptr) { state = peekFD(int(fd)) })
	if err != nil {
		return Closed // The connection is closed on this side.
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
