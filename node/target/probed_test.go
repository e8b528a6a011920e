package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// tcpOptions are what the system was told of a connection.
type tcpOptions struct {
	probed                          bool
	after, every, unackedForAtLeast time.Duration
	count                           int
}

func optionsOf(t *testing.T, conn net.Conn) tcpOptions {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var o tcpOptions
	option := func(fd uintptr, level, name int) int {
		value, err := unix.GetsockoptInt(int(fd), level, name)
		if err != nil {
			t.Error(err)
		}
		return value
	}
	err = raw.Control(func(fd uintptr) {
		o.probed = option(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE) == 1
		o.after = time.Duration(option(fd, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)) * time.Second
		o.every = time.Duration(option(fd, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)) * time.Second
		o.count = option(fd, unix.IPPROTO_TCP, unix.TCP_KEEPCNT)
		o.unackedForAtLeast = time.Duration(option(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)) * time.Millisecond
	})
	if err != nil {
		t.Fatal(err)
	}
	return o
}

// memoryBound is how long memory may stay set aside after the request that used it has ended.
const memoryBound = 4 * time.Second

// TestADeadTargetShowsAtItsConnection: a host without power says nothing, and a call whose
// answer takes seconds owes its target nothing that would go unacknowledged. Only probes show
// that it is dead, in time for what was set aside elsewhere to be given back, and not after a
// single lost packet.
func TestADeadTargetShowsAtItsConnection(t *testing.T) {
	address, _ := peer(t, func(conn net.Conn, r *http.Request, _, _ int) bool {
		drainBody(r)
		answer(conn, "x", "ok")
		return true
	})
	e := NewExchanger(plainDialect{})
	send := func(probed bool) tcpOptions {
		m := message("x", "")
		m.ProbeConnection = probed
		reply, err := e.Send(context.Background(), address, m)
		if err != nil {
			t.Fatal(err)
		}
		defer e.Close(reply)
		if _, err := io.ReadAll(reply.Body); err != nil {
			t.Fatal(err)
		}
		return optionsOf(t, reply.ch.conn)
	}
	o := send(true)
	if !o.probed {
		t.Fatal("the connection is not probed while its answer is awaited")
	}
	known := o.after + time.Duration(o.count)*o.every
	if known >= memoryBound {
		t.Errorf("a dead target is known after %v, want it before %v", known, memoryBound)
	}
	if o.count < 2 {
		t.Errorf("%d probe without an answer ends a call", o.count)
	}
	// The system compares this bound whenever a probe is due, from the second probe on.
	if second := o.after + o.every; o.unackedForAtLeast <= second || o.unackedForAtLeast > known {
		t.Errorf("unacknowledged for %v ends a connection; the second probe comes after %v, the last bound is %v", o.unackedForAtLeast, second, known)
	}
	if o := send(false); o.probed || o.unackedForAtLeast != unackedTimeout {
		t.Errorf("the next call on the kept connection, which asks for no probes, has %+v", o)
	}
}
