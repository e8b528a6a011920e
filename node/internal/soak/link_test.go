package soak

import (
	"bufio"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// newEchoLink starts an echo server and a link to it. It returns the link and a function that
// connects to the link.
func newEchoLink(t *testing.T) (*Link, func() net.Conn) {
	t.Helper()
	server, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := server.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	l, err := NewLink("127.0.0.1:0", server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close(); _ = server.Close() })
	return l, func() net.Conn {
		c, err := net.Dial("tcp4", l.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
}

// echoes writes a line and reports whether it is echoed within a time.
func echoes(c net.Conn, within time.Duration) bool {
	if _, err := io.WriteString(c, "line\n"); err != nil {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(within))
	line, err := bufio.NewReader(c).ReadString('\n')
	return err == nil && line == "line\n"
}

const (
	// echoTimeout bounds the wait for an echo.
	echoTimeout = 10 * time.Second
	// noEchoTime is how long a test waits to see that a link holds a line back.
	noEchoTime = 50 * time.Millisecond
)

// refusedDials is how many clients connect to a refusing link. Few of them get the reset while they
// still connect (3 of 5,000 on an idle machine), so that several runs are needed to test a reset
// both during and after the connect.
const refusedDials = 200

// refusedDial connects to a refusing link. The reset may arrive before the dial has returned; then
// the dial fails with it.
func refusedDial(t *testing.T, l *Link) {
	t.Helper()
	c, err := net.Dial("tcp4", l.Address())
	if errors.Is(err, syscall.ECONNRESET) {
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if echoes(c, echoTimeout) {
		t.Error("new connection through a refusing link echoed a line")
	}
}

// TestLinkFaults checks that a link delays, holds back and resets data as its fault says, and works
// again without the fault.
func TestLinkFaults(t *testing.T) {
	l, dial := newEchoLink(t)
	open := dial()
	if !echoes(open, echoTimeout) {
		t.Fatal("link without fault did not echo a line")
	}
	for _, f := range []Fault{Silent, OneWay} {
		l.Set(f)
		c := dial()
		if echoes(c, noEchoTime) {
			t.Errorf("link with fault %d echoed a line", f)
		}
		l.Set(NoFault)
		_ = c.SetReadDeadline(time.Now().Add(echoTimeout))
		if line, err := bufio.NewReader(c).ReadString('\n'); err != nil || line != "line\n" {
			t.Errorf("after the end of fault %d the link echoed %q, error %v; want the line held back until then", f, line, err)
		}
	}
	l.Set(Delayed)
	started := time.Now()
	if !echoes(open, echoTimeout) || time.Since(started) < 2*linkDelay {
		t.Errorf("delayed link echoed a line after %v or not at all, want an echo after at least %v", time.Since(started), 2*linkDelay)
	}
	l.Set(Refusing)
	if echoes(open, echoTimeout) {
		t.Error("open connection through a refusing link echoed a line")
	}
	for range refusedDials {
		refusedDial(t, l)
	}
	l.Set(NoFault)
	again := dial()
	if !echoes(again, echoTimeout) {
		t.Error("link did not echo a line after the end of the refusal")
	}
	l.Reset(1)
	if echoes(again, echoTimeout) {
		t.Error("reset connection echoed a line")
	}
}

// TestLinkPropagatesClose checks that a link forwards a half-close after all data sent before it.
func TestLinkPropagatesClose(t *testing.T) {
	_, dial := newEchoLink(t)
	c := dial()
	if _, err := io.WriteString(c, "all"); err != nil {
		t.Fatal(err)
	}
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(c); err != nil || string(got) != "all" {
		t.Fatalf("ReadAll after half-close = %q, %v; want \"all\"", got, err)
	}
}
