package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"doorstack.dev/core/forward"
	"golang.org/x/sys/unix"
)

// tcpOptions are the keep-alive options and the user timeout of a TCP socket.
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

// optionsDuring sends a call and returns the options of its connection while the answer is read.
func optionsDuring(t *testing.T, e *Exchanger, address string, m *forward.Message) tcpOptions {
	t.Helper()
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

// maxReservationOverrun is how long memory may stay reserved after the request that used it has ended.
const maxReservationOverrun = 4 * time.Second

// TestProbesDetectDeadTarget guards against waiting on a host that lost power: while its answer
// is awaited nothing is sent that could go unacknowledged, so that only keep-alive probes detect
// its death. They must do so in time to free memory reserved elsewhere, and one lost packet must not end a call.
func TestProbesDetectDeadTarget(t *testing.T) {
	address, _ := startScriptedServer(t, func(conn net.Conn, r *http.Request, _, _ int) bool {
		drainBody(r)
		writeAnswer(conn, "x", "ok")
		return true
	})
	e := NewExchanger(testDialect{}, NewConnector())
	send := func(probe bool) tcpOptions {
		m := testMessage("x", "")
		m.ProbeConnection = probe
		return optionsDuring(t, e, address, m)
	}
	o := send(true)
	if !o.keepAlive {
		t.Fatal("keep-alive probes are off while an answer is awaited, want on")
	}
	detected := o.idle + time.Duration(o.count)*o.interval
	if detected >= maxReservationOverrun {
		t.Errorf("a dead target is detected after %v, want less than %v", detected, maxReservationOverrun)
	}
	if o.count < 2 {
		t.Errorf("%d unanswered probe ends a call, want at least 2", o.count)
	}
	// The kernel checks the user timeout whenever a probe is due, from the second probe on.
	if second := o.idle + o.interval; o.userTimeout <= second || o.userTimeout > detected {
		t.Errorf("user timeout = %v, want more than %v (second probe) and at most %v", o.userTimeout, second, detected)
	}
	if o := send(false); o.keepAlive || o.userTimeout != unackedTimeout {
		t.Errorf("options of a call without probes on the reused connection = %+v, want no keep-alive and the default user timeout", o)
	}
}

// TestLargeBodyMayBeReadSlowly guards against ending a call whose target reads its body slowly: the kernel
// counts the time in which the target takes nothing towards the user timeout, so a target that stopped for
// 1.5 s was cut off. The call after it has the usual timeout again.
func TestLargeBodyMayBeReadSlowly(t *testing.T) {
	const slowestRead = 5 * time.Second
	address, _ := startScriptedServer(t, func(conn net.Conn, r *http.Request, _, _ int) bool {
		drainBody(r)
		writeAnswer(conn, "x", "ok")
		return true
	})
	e := NewExchanger(testDialect{}, NewConnector())
	send := func(body string) tcpOptions { return optionsDuring(t, e, address, testMessage("x", body)) }
	if o := send(strings.Repeat("x", 100<<10)); o.userTimeout < slowestRead || o.keepAlive {
		t.Errorf("options of a call with a large body = %+v, want a user timeout of %v at least, no keep-alive", o, slowestRead)
	}
	if o := send("small"); o.userTimeout != unackedTimeout {
		t.Errorf("user timeout of a call with a small body on the reused connection = %v, want %v", o.userTimeout, unackedTimeout)
	}
}
