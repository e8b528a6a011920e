package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"doorstack.dev/core/fault"
	"github.com/go-faster/errors"
)

// maxEndlessBytes bounds what a test's server sends without end, and maxBytesTaken what may have left it by the time
// the daemon closes the connection: a few heads, and the buffers of both kernels.
const (
	maxEndlessBytes = 64 << 20
	maxBytesTaken   = 16 << 20
)

// repeatUntilClosed writes text again and again until the connection fails, and returns the bytes written.
func repeatUntilClosed(conn net.Conn, text string) int64 {
	part := strings.Repeat(text, 1+(32<<10)/len(text))
	sent := int64(0)
	for sent < maxEndlessBytes {
		n, err := io.WriteString(conn, part)
		sent += int64(n)
		if err != nil {
			break
		}
	}
	return sent
}

// TestHeadWithoutEndIsGivenUp guards against a target that exhausts the daemon's memory, or its time, with bytes without
// end before or in the head of an answer.
func TestHeadWithoutEndIsGivenUp(t *testing.T) {
	for name, c := range map[string]struct{ first, endless string }{
		"status line":            {"", "\x00"},
		"header lines":           {"HTTP/1.1 200 OK\r\n", "a: b\r\n"},
		"header value":           {"HTTP/1.1 200 OK\r\nValue: ", "x"},
		"folded header":          {"HTTP/1.1 200 OK\r\nValue: x\r\n", " x\r\n"},
		"informational answers":  {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		"after another answer":   {answerText("other", "body"), "\x00"},
		"answers to other calls": {"", answerText("other", "body")},
	} {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int64, 1)
			address, _ := startScriptedServer(t, func(conn net.Conn, r *http.Request, _, _ int) bool {
				drainBody(r)
				_, _ = io.WriteString(conn, c.first)
				sent <- repeatUntilClosed(conn, c.endless)
				return false
			})
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			e := NewExchanger(testDialect{}, NewConnector())
			_, err := e.Send(ctx, address, testMessage("x", ""))
			if err == nil || ctx.Err() != nil || ExecutionOf(err) != fault.Unknown {
				t.Errorf("Send = %v, with context %v; want an error of unknown execution before the deadline", err, ctx.Err())
			}
			if n := <-sent; n > maxBytesTaken {
				t.Errorf("the target could send %d bytes, want at most %d", n, int64(maxBytesTaken))
			}
		})
	}
}

// TestClientGivesUpHeadWithoutEnd is the same for the client of the project's own protocol.
func TestClientGivesUpHeadWithoutEnd(t *testing.T) {
	address, _ := startScriptedServer(t, func(conn net.Conn, r *http.Request, _, _ int) bool {
		drainBody(r)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nValue: ")
		_ = repeatUntilClosed(conn, "x")
		return false
	})
	client, taken := NewClient(), &atomic.Int64{}
	client.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &readCounter{conn, taken}, err
	}
	if _, err := client.CallService(t.Context(), address, &ServiceCall{Method: http.MethodGet, Path: "/"}); ExecutionOf(err) != fault.Unknown {
		t.Errorf("CallService = %v, want an error of unknown execution", err)
	}
	if n := taken.Load(); n > 2*maxHeadSize {
		t.Errorf("the client read %d bytes, want at most %d", n, 2*maxHeadSize)
	}
}

// readCounter is a connection that counts the bytes read from it.
type readCounter struct {
	net.Conn
	taken *atomic.Int64
}

func (c *readCounter) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.taken.Add(int64(n))
	return n, err
}

// TestSoundHeadsStayWithinTheBounds covers a head that is large but sound, after an informational answer.
func TestSoundHeadsStayWithinTheBounds(t *testing.T) {
	header := strings.Repeat("X-Header: "+strings.Repeat("v", 100)+"\r\n", 100)
	address, _ := startScriptedServer(t, func(conn net.Conn, r *http.Request, _, _ int) bool {
		drainBody(r)
		_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nId: x\r\n"+header+"Content-Length: 4\r\n\r\nbody")
		return true
	})
	e := NewExchanger(testDialect{}, NewConnector())
	for range 3 { // The bounds begin anew with each call on a connection.
		if got, err := sendAndRead(t, e, address, testMessage("x", "")); err != nil || got != "body" {
			t.Fatalf("%q, %v", got, err)
		}
	}
}

// TestDiscardedBodyWithoutEndIsGivenUp guards against a target that exhausts the daemon's memory with the body of an answer
// whose head says all that is needed.
func TestDiscardedBodyWithoutEndIsGivenUp(t *testing.T) {
	sent := make(chan int64, 1)
	address, _ := startScriptedServer(t, func(conn net.Conn, r *http.Request, _, _ int) bool {
		drainBody(r)
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nId: x\r\n\r\n")
		sent <- repeatUntilClosed(conn, "x")
		return false
	})
	e := NewExchanger(testDialect{}, NewConnector())
	reply, err := e.Send(t.Context(), address, testMessage("x", ""))
	if err != nil {
		t.Fatal(err)
	}
	if err := reply.Discard(); !errors.Is(err, errBodyTooLong) {
		t.Errorf("Discard = %v, want errBodyTooLong", err)
	}
	e.Close(reply)
	if n := <-sent; n > maxBytesTaken {
		t.Errorf("the target could send %d bytes, want at most %d", n, int64(maxBytesTaken))
	}
}

// TestAnswerToHeadHasNoBody covers an answer to HEAD, whose declared length must not count as that of a body to be held.
func TestAnswerToHeadHasNoBody(t *testing.T) {
	address, _ := startScriptedServer(t, func(conn net.Conn, _ *http.Request, _, _ int) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 1000000000000\r\n\r\n")
		return true
	})
	m := testMessage("x", "")
	m.Method = http.MethodHead
	e := NewExchanger(testDialect{}, NewConnector())
	reply, err := e.Send(t.Context(), address, m)
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close(reply)
	if body, err := io.ReadAll(reply.Body); reply.Length != 0 || len(body) != 0 || err != nil {
		t.Errorf("length %d, body %q, %v; want none", reply.Length, body, err)
	}
}

// TestConnectionOfRejectionIsReused checks that the connection is reused where the body of a rejection comes with its head, and
// closed where it does not come.
func TestConnectionOfRejectionIsReused(t *testing.T) {
	for _, body := range []string{"full", ""} {
		var connections atomic.Int64
		address, _ := startScriptedServer(t, func(conn net.Conn, r *http.Request, connection, _ int) bool {
			drainBody(r)
			connections.Store(int64(connection))
			_, err := io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nId: x\r\nContent-Length: 4\r\n\r\n"+body)
			return err == nil
		})
		e := NewExchanger(testDialect{}, NewConnector())
		before := int64(0)
		for i := range 2 {
			reply, err := e.Send(t.Context(), address, testMessage("x", ""))
			if err != nil {
				t.Fatal(err)
			}
			if err := reply.DiscardArriving(); (err == nil) != (body != "") {
				t.Errorf("body %q: DiscardArriving = %v", body, err)
			}
			e.Close(reply)
			if i == 0 {
				before = connections.Load()
			}
		}
		if reused := connections.Load() == before; reused != (body != "") {
			t.Errorf("body %q: connection reused: %v", body, reused)
		}
	}
}
