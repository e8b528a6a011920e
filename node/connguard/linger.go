package connguard

import (
	"time"

	"golang.org/x/sys/unix"
)

// lingerTimeout and maxLinger bound how long and how much is read after a refusal: closing a connection with unread bytes would
// reset it, and the client might not see the refusal.
const (
	lingerTimeout = 500 * time.Millisecond
	maxLinger     = 64 << 10
)

// discard reads until the client closes the connection, for a bounded time and number of bytes.
func (c *Conn) discard() {
	buffer := make([]byte, 1<<10)
	for total := 0; total < maxLinger; {
		n, err := c.socket.Read(buffer)
		if err != nil {
			return
		}
		total += n
	}
}

// maxUnread bounds how much is discarded before a connection is closed, in bytes. It is far more than a client may send ahead.
const maxUnread = 1 << 20

// keepAnswer discards what the client has sent beyond its answered requests, if the kernel has still to deliver a part of an answer:
// closing a connection with unread bytes resets it, and the rest of the answer is lost.
func keepAnswer(s socket) {
	raw, err := s.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { // It fails only if the connection is closed.
		if undelivered, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil && undelivered > 0 {
			discardArrived(int(fd))
		}
	})
}

// discardArrived discards what has arrived on a connection, without waiting for more.
func discardArrived(fd int) {
	buffer := make([]byte, 4<<10)
	for total := 0; total < maxUnread; {
		n, _, err := unix.Recvfrom(fd, buffer, unix.MSG_DONTWAIT)
		if n <= 0 || err != nil {
			return
		}
		total += n
	}
}
