// Package sock inspects open connections without reading from them.
package sock

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
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

// The kernel's states of a TCP connection: in tcpEstablished neither side has ended it, in tcpClose both have, or one has reset it.
const (
	tcpEstablished = 1
	tcpClose       = 7
)

// Established reports whether neither side has ended a TCP connection, whatever is still to be read from it. It is false if that is
// not known.
func Established(conn syscall.Conn) bool {
	state, known := tcpState(conn)
	return known && state == tcpEstablished
}

// Reset reports whether a TCP connection that this side has not ended was reset, whatever is still to be read from it and whether or
// not the other side had ended it in order before. It is false if that is not known.
func Reset(conn syscall.Conn) bool {
	state, known := tcpState(conn)
	return known && state == tcpClose
}

// tcpState returns the kernel's state of a TCP connection, if it is known.
func tcpState(conn syscall.Conn) (state uint8, known bool) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, false
	}
	err = raw.Control(func(fd uintptr) {
		if info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); infoErr == nil {
			state, known = info.State, true
		}
	})
	return state, known && err == nil
}
