package target

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"doorstack.dev/core/fault"
	"doorstack.dev/core/forward"
	"github.com/go-faster/errors"
)

// testDialect reads the id of an answer from the header Id and implements nothing else.
type testDialect struct{}

func (testDialect) ReadCall(http.Header) forward.Call                { return forward.Call{} }
func (testDialect) WriteSendParams(http.Header, *forward.SendParams) {}
func (testDialect) ReleaseMessage(string, string) forward.Message    { return forward.Message{} }

func (testDialect) ReportMessage(string) forward.Message {
	return forward.Message{Method: http.MethodGet, URI: "/report"}
}
func (testDialect) HealthMessage(_, path string) forward.Message {
	return forward.Message{Method: http.MethodGet, URI: path}
}

// ReadReport reads the start of the target's process; a report without it is valid.
func (testDialect) ReadReport(body []byte) (forward.Report, error) {
	started, err := strconv.ParseInt(string(body), 10, 64)
	if err != nil {
		return forward.Report{}, nil //nolint:nilerr // As documented.
	}
	return forward.Report{Started: started}, nil
}

func (testDialect) ReadHead(s int, h http.Header) forward.Head {
	return forward.Head{Status: s, RequestID: h.Get("Id"), Instance: h.Get("Instance")}
}
func (testDialect) ReserveMessage(string, string, int64, time.Duration) forward.Message {
	return forward.Message{}
}
func (testDialect) WriteFailure(http.Header, string, bool, time.Duration) {}

// startScriptedServer starts a server that passes each call to script, with the number of its
// connection and of the call on it, both from zero. The server closes the connection where
// script returns false. The counter holds the calls received.
func startScriptedServer(t *testing.T, script func(conn net.Conn, r *http.Request, connection, call int) bool) (string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	received := &atomic.Int64{}
	go func() {
		for connection := 0; ; connection++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				in := bufio.NewReader(conn)
				for call := 0; ; call++ {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					received.Add(1)
					if !script(conn, r, connection, call) {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), received
}

func writeAnswer(conn net.Conn, id, body string) { _, _ = io.WriteString(conn, answerText(id, body)) }

func answerText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func drainBody(r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }

func testMessage(id, body string) *forward.Message {
	return &forward.Message{ID: id, Method: http.MethodPost, URI: "/a?b=c", Host: "h.example", Header: http.Header{}, Body: []byte(body)}
}

func sendAndRead(t *testing.T, e *Exchanger, address string, m *forward.Message) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	reply, err := e.Send(ctx, address, m)
	if err != nil {
		return "", err
	}
	defer e.Close(reply)
	body, err := io.ReadAll(reply.Body)
	return string(body), err
}

// TestSendIsNotRepeatedWhenConnectionCloses guards against a second send, whatever the method,
// when the target reads a call on a reused connection and closes it without an answer.
func TestSendIsNotRepeatedWhenConnectionCloses(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		address, received := startScriptedServer(t, func(conn net.Conn, r *http.Request, _, call int) bool {
			drainBody(r)
			if call == 1 {
				return false
			}
			writeAnswer(conn, "x", "ok")
			return true
		})
		e := NewExchanger(testDialect{}, NewConnector())
		for i := range 2 {
			m := testMessage("x", "")
			m.Method = method
			_, err := sendAndRead(t, e, address, m)
			if i == 1 && ExecutionOf(err) != fault.Unknown {
				t.Errorf("%s: second call = %v, want an error of unknown execution", method, err)
			}
		}
		if received.Load() != 2 {
			t.Errorf("%s: target received %d calls, want 2", method, received.Load())
		}
	}
}

func TestConnectionIsReused(t *testing.T) {
	address, _ := startScriptedServer(t, func(conn net.Conn, r *http.Request, connection, call int) bool {
		drainBody(r)
		writeAnswer(conn, "x", fmt.Sprint(connection, call))
		return true
	})
	e := NewExchanger(testDialect{}, NewConnector())
	for i := range 3 {
		if got, err := sendAndRead(t, e, address, testMessage("x", "")); err != nil || got != fmt.Sprint(0, i) {
			t.Fatalf("answer = %q, %v, want the next answer of the first connection", got, err)
		}
	}
	e.closeExpired(time.Now().Add(defaultIdleTimeout))
	if got, err := sendAndRead(t, e, address, testMessage("x", "")); err != nil || got != fmt.Sprint(1, 0) {
		t.Fatalf("answer after closeExpired = %q, %v, want the first answer of a second connection", got, err)
	}
}

// TestRepeatedRejectionIsNoAnswerToSecondSend guards against a call that counts as not executed although it is: the target rejects it, and
// repeats the rejection when the call is sent again.
func TestRepeatedRejectionIsNoAnswerToSecondSend(t *testing.T) {
	const rejection = "HTTP/1.1 421 Misdirected Request\r\nId: x\r\nContent-Length: 0\r\n\r\n"
	address, received := startScriptedServer(t, func(conn net.Conn, r *http.Request, connection, call int) bool {
		drainBody(r)
		switch {
		case connection == 0 && call <= 1:
			_, _ = io.WriteString(conn, rejection)
		default:
			writeAnswer(conn, "x", "executed")
		}
		return true
	})
	e := NewExchanger(testDialect{}, NewConnector())
	var answers []string
	for range 2 {
		answer, err := sendAndRead(t, e, address, testMessage("x", ""))
		if err != nil {
			t.Fatal(err)
		}
		answers = append(answers, answer)
	}
	if answers[0] != "" || answers[1] != "executed" || received.Load() != 2 {
		t.Errorf("answers = %q to %d calls, want the rejection and then the answer to the second call", answers, received.Load())
	}
}

// TestConnectionWithUnreadBytesIsNotReused covers a connection whose answer was not read to its
// end, and one on which bytes followed the answer.
func TestConnectionWithUnreadBytesIsNotReused(t *testing.T) {
	address, _ := startScriptedServer(t, func(conn net.Conn, r *http.Request, connection, call int) bool {
		drainBody(r)
		text := answerText("x", fmt.Sprint(connection, call))
		if connection == 1 {
			text += answerText("x", "extra") // In one write, so that both answers arrive together.
		}
		_, _ = io.WriteString(conn, text)
		return true
	})
	e := NewExchanger(testDialect{}, NewConnector())
	ctx := context.Background()
	reply, err := e.Send(ctx, address, testMessage("x", ""))
	if err != nil {
		t.Fatal(err)
	}
	e.Close(reply) // The body is not read.
	for connection := 1; connection < 3; connection++ {
		if got, err := sendAndRead(t, e, address, testMessage("x", "")); err != nil || got != fmt.Sprint(connection, 0) {
			t.Fatalf("answer = %q, %v, want the first answer of connection %d", got, err, connection)
		}
	}
}

func TestSendOnRefusedConnectionIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	if _, err := sendAndRead(t, NewExchanger(testDialect{}, NewConnector()), address, testMessage("x", "")); ExecutionOf(err) != fault.NotRun {
		t.Fatalf("Send = %v, want an error of execution not run", err)
	}
}

// TestAnswerBeforeBodyIsWritten covers a target that answers and stops reading the body. Send
// returns the answer and does not reuse the connection, on which the target would take the
// bytes of the next call for the rest of the body.
func TestAnswerBeforeBodyIsWritten(t *testing.T) {
	address, _ := startScriptedServer(t, func(conn net.Conn, _ *http.Request, connection, _ int) bool {
		writeAnswer(conn, "x", fmt.Sprint(connection))
		if connection == 0 {
			select {} // Never reads the rest.
		}
		return true
	})
	e := NewExchanger(testDialect{}, NewConnector())
	large := strings.Repeat("x", 32<<20)
	if got, err := sendAndRead(t, e, address, testMessage("x", large)); err != nil || got != "0" {
		t.Fatalf("answer to the large call = %q, %v, want the one of connection 0", got, err)
	}
	if got, err := sendAndRead(t, e, address, testMessage("x", "")); err != nil || got != "1" {
		t.Fatalf("answer to the next call = %q, %v, want the one of connection 1", got, err)
	}
}

// TestNothingIsSentAfterCallerDisconnects covers a caller that disconnects while the connection
// to the target is made, before the context has ended, as happens on a host short of CPU.
func TestNothingIsSentAfterCallerDisconnects(t *testing.T) {
	address, received := startScriptedServer(t, func(conn net.Conn, r *http.Request, connection, call int) bool {
		drainBody(r)
		writeAnswer(conn, "x", fmt.Sprint(connection, call))
		return true
	})
	e := NewExchanger(testDialect{}, NewConnector())
	m := testMessage("x", "")
	m.CallerDisconnected = func() bool { return true }
	_, err := e.Send(context.Background(), address, m)
	if !errors.Is(err, ErrCallerDisconnected) || ExecutionOf(err) != fault.NotRun {
		t.Errorf("Send = %v, want ErrCallerDisconnected of execution not run", err)
	}
	m = testMessage("x", "")
	m.CallerDisconnected = func() bool { return false }
	if got, err := sendAndRead(t, e, address, m); err != nil || got != fmt.Sprint(0, 0) {
		t.Errorf("answer to the next call = %q, %v, want the first answer of the same connection", got, err)
	}
	if received.Load() != 1 {
		t.Errorf("target received %d calls, want only the one whose caller is connected", received.Load())
	}
}
