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
	keepAlive                   bool
	idle, interval, userTimeout time.Duration
	count                       int
}

func readTCPOptions(t *testing.T, conn net.Conn) tcpOptions {
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
		o.keepAlive = option(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE) == 1
		o.idle = time.Duration(option(fd, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)) * time.Second
		o.interval = time.Duration(option(fd, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)) * time.Second
		o.count = option(fd, unix.IPPROTO_TCP, unix.TCP_KEEPCNT)
		o.userTimeout = time.Duration(option(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)) * time.Millisecond
	})
	if err != nil {
		t.Fatal(err)
	}
	return o
}

// maxReservationOverrun is how long memory may stay set aside after the request that used it has ended.
const maxReservationOverrun = 4 * time.Second

// TestProbesDetectDeadTarget: a host without power says nothing, and a call whose
// answer takes seconds owes its target nothing that would go unacknowledged. Only probes show
// that it is dead, in time for what was set aside elsewhere to be given back, and not after a
// single lost packet.
func TestProbesDetectDeadTarget(t *testing.T) {
	address, _ := startScriptedServer(t, func(conn net.Conn, r *http.Request, _, _ int) bool {
		drainBody(r)
		writeAnswer(conn, "x", "ok")
		return true
	})
	e := NewExchanger(testDialect{})
	send := func(probed bool) tcpOptions {
		m := testMessage("x", "")
		m.ProbeConnection = probed
		reply, err := e.Send(context.Background(), address, m)
		if err != nil {
			t.Fatal(err)
		}
		defer e.Close(reply)
		if _, err := io.ReadAll(reply.Body); err != nil {
			t.Fatal(err)
		}
		return readTCPOptions(t, reply.conn.conn)
	}
	o := send(true)
	if !o.keepAlive {
		t.Fatal("the connection is not probed while its answer is awaited")
	}
	known := o.idle + time.Duration(o.count)*o.interval
	if known >= maxReservationOverrun {
		t.Errorf("a dead target is known after %v, want it before %v", known, maxReservationOverrun)
	}
	if o.count < 2 {
		t.Errorf("%d probe without an answer ends a call", o.count)
	}
	// The system compares this bound whenever a probe is due, from the second probe on.
	if second := o.idle + o.interval; o.userTimeout <= second || o.userTimeout > known {
		t.Errorf("unacknowledged for %v ends a connection; the second probe comes after %v, the last bound is %v", o.userTimeout, second, known)
	}
	if o := send(false); o.keepAlive || o.userTimeout != unackedTimeout {
		t.Errorf("the next call on the kept connection, which asks for no probes, has %+v", o)
	}
}
