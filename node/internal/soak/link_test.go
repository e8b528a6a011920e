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

// newEchoLink starts a server that returns each line, and a link before it.
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

// echoes writes a line and tells whether it comes back within the time.
func echoes(c net.Conn, within time.Duration) bool {
	if _, err := io.WriteString(c, "line\n"); err != nil {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(within))
	line, err := bufio.NewReader(c).ReadString('\n')
	return err == nil && line == "line\n"
}

const (
	echoTimeout = 10 * time.Second
	holdTime    = 50 * time.Millisecond
)

// refusedDials is how many callers meet a refusing link. Few see the reset while they still
// connect (3 of 5,000 on an idle machine), so both ends of a refusal are met over some runs.
const refusedDials = 200

// refusedDial connects to a refusing link. The reset may come before the system has told the
// caller of the connection, and is the outcome of the dial then.
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
		t.Error("a refusing link carries something on a new connection")
	}
}

func TestLinkFaults(t *testing.T) {
	l, dial := newEchoLink(t)
	open := dial()
	if !echoes(open, echoTimeout) {
		t.Fatal("a fine link carries nothing")
	}
	for _, f := range []Fault{Silent, OneWay} {
		l.Set(f)
		c := dial()
		if echoes(c, holdTime) {
			t.Errorf("fault %d: a line came back", f)
		}
		l.Set(NoFault)
		_ = c.SetReadDeadline(time.Now().Add(echoTimeout))
		if line, err := bufio.NewReader(c).ReadString('\n'); err != nil || line != "line\n" {
			t.Errorf("fault %d: what was held back is lost: %q %v", f, line, err)
		}
	}
	l.Set(Delayed)
	began := time.Now()
	if !echoes(open, echoTimeout) || time.Since(began) < 2*linkDelay {
		t.Errorf("a late link took %v", time.Since(began))
	}
	l.Set(Refusing)
	if echoes(open, echoTimeout) {
		t.Error("a refusing link carries something on a connection that was open")
	}
	for range refusedDials {
		refusedDial(t, l)
	}
	l.Set(NoFault)
	again := dial()
	if !echoes(again, echoTimeout) {
		t.Error("the link does not come back")
	}
	l.Reset(1)
	if echoes(again, echoTimeout) {
		t.Error("a connection that was reset carries something")
	}
}

// TestLinkPropagatesClose: the end of one side reaches the other, in order.
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
		t.Fatalf("%q %v", got, err)
	}
}
