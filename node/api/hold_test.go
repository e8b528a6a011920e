package api

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"doorstack.dev/core/fault"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/callmemory"
	"doorstack.dev/node/requestcontrol"
	"doorstack.dev/node/telemetry"
	"doorstack.dev/platform"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

// pipeListener is a listener of connections in memory, which keep the virtual time of synctest.
// Nothing of what one end writes is buffered: a write ends when the other end has read it.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// holdServer is an HTTP server in memory whose daemon is starting.
type holdServer struct {
	board    *blackboard.Blackboard
	memory   *callmemory.Budget
	metrics  *telemetry.Metrics
	listener *pipeListener
}

// startHoldServer starts a server with a memory budget in bytes. It must be stopped within the
// test's bubble.
func startHoldServer(budget int64) (s *holdServer, stop func()) {
	s = &holdServer{
		board: blackboard.New(blackboard.Identity{Name: "d1"}, blackboard.DefaultLimits()), memory: callmemory.New(budget),
		metrics: telemetry.NewMetrics(), listener: newPipeListener(),
	}
	director := &requestcontrol.Director{Board: s.board, Recorder: &telemetry.Recorder{Board: s.board, Log: slog.New(slog.DiscardHandler), Metrics: s.metrics}}
	limits := DefaultLimits()
	limits.Memory = s.memory
	server := &http.Server{Handler: NewServer(s.board, director, s.metrics, limits).PathHandler(platform.Headers{})}
	served := make(chan struct{})
	go func() { defer close(served); _ = server.Serve(s.listener) }()
	return s, func() {
		_ = server.Close()
		<-served
		<-time.After(time.Second) // net/http keeps a connection for 500 ms after an answer that closes it.
	}
}

// dial opens a connection and sends the head of a call with a timeout and a body of a length.
func (s *holdServer) dial(t *testing.T, timeout time.Duration, length int) net.Conn {
	t.Helper()
	near, far := net.Pipe()
	s.listener.conns <- far
	if _, err := fmt.Fprintf(near, "POST /a/ HTTP/1.1\r\nHost: calls.example\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n", timeout.Milliseconds(), length); err != nil {
		t.Fatal(err)
	}
	return near
}

// readAnswer returns the status, the kind of failure in the body and the advised wait of an answer.
func readAnswer(t *testing.T, conn net.Conn) (status int, body string, retryAfter time.Duration) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Error(err)
		return 0, "", 0
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return resp.StatusCode, string(text), time.Duration(seconds * float64(time.Second))
}

// refusals returns how many calls were refused for a reason.
func (s *holdServer) refusals(reason string) float64 {
	return testutil.ToFloat64(s.metrics.StartRefusals.WithLabelValues(reason))
}

// TestHeldCallIsReadAtOnce: callers drop a connection on which nothing is read for a second, or for
// a third of their time, so that calls could be held for 0.8 s only. A held call is read whole, at
// once.
func TestHeldCallIsReadAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, stop := startHoldServer(64 << 20)
		defer stop()
		time.AfterFunc(1500*time.Millisecond, func() { adoptEmptySettings(s.board) })
		began := time.Now()
		conn := s.dial(t, 10*time.Second, 1<<20)
		defer func() { _ = conn.Close() }()
		if _, err := conn.Write(make([]byte, 1<<20)); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took != 0 {
			t.Errorf("body of 1 MB read after %v, want it read at once", took)
		}
		synctest.Wait()
		if s.memory.InUse() < 2<<20 {
			t.Errorf("memory in use while the call is held = %d, want twice the body at least", s.memory.InUse())
		}
		if status, _, _ := readAnswer(t, conn); status != http.StatusNotFound || time.Since(began) != 1500*time.Millisecond {
			t.Errorf("answer = %d after %v, want 404 after 1.5s, when the daemon serves", status, time.Since(began))
		}
		synctest.Wait()
		if s.memory.InUse() != 0 {
			t.Errorf("memory in use after the call = %d, want 0", s.memory.InUse())
		}
	})
}

// TestSlowlySentCallIsRefusedWhenItsHoldEnds: a caller that stops in the middle of its body is
// refused at the end of the hold, with a wait that it can follow, rather than after the 10 s in
// which a caller must make progress.
func TestSlowlySentCallIsRefusedWhenItsHoldEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, stop := startHoldServer(64 << 20)
		defer stop()
		began := time.Now()
		conn := s.dial(t, 1200*time.Millisecond, 1<<20)
		defer func() { _ = conn.Close() }()
		if _, err := conn.Write(make([]byte, 100_000)); err != nil {
			t.Fatal(err)
		}
		status, body, retryAfter := readAnswer(t, conn)
		if took := time.Since(began); status != http.StatusServiceUnavailable || !strings.Contains(body, string(fault.NotReady)) || took != 600*time.Millisecond {
			t.Errorf("answer = %d %s after %v, want 503 %s after 600ms", status, body, took, fault.NotReady)
		}
		if retryAfter <= 0 || retryAfter > 200*time.Millisecond {
			t.Errorf("Retry-After = %v, want at most 200ms, a third of the time left", retryAfter)
		}
		synctest.Wait()
		if s.memory.InUse() != 0 || s.refusals(refusedHoldEnded) != 1 {
			t.Errorf("memory in use = %d, refusals at the end of a hold = %v; want 0 and 1", s.memory.InUse(), s.refusals(refusedHoldEnded))
		}
	})
}

// TestSlowlySentCallIsServedAfterStart: a call whose body is still being sent when the daemon
// starts is served, also if the rest comes after the end of what would have been its hold.
func TestSlowlySentCallIsServedAfterStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, stop := startHoldServer(64 << 20)
		defer stop()
		time.AfterFunc(time.Second, func() { adoptEmptySettings(s.board) })
		conn := s.dial(t, 10*time.Second, 200_000)
		defer func() { _ = conn.Close() }()
		for range 2 {
			if _, err := conn.Write(make([]byte, 100_000)); err != nil {
				t.Fatal(err)
			}
			<-time.After(3 * time.Second)
		}
		if status, _, _ := readAnswer(t, conn); status != http.StatusNotFound {
			t.Errorf("answer = %d, want 404 of a daemon that serves", status)
		}
	})
}

// TestNewestCallsAreRefusedWhenHeldOnesFillMemory: a call that is held takes memory for its head,
// its connection and its body. When the share of the budget for held calls is used up, new ones are
// refused at once, and those held before are served.
func TestNewestCallsAreRefusedWhenHeldOnesFillMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const body = 100_000
		// Half of the budget is for held calls: room for two, of three.
		s, stop := startHoldServer(2 * (2*(heldCallBytes+bodyMemoryFactor*body) + 100_000))
		defer stop()
		time.AfterFunc(time.Second, func() { adoptEmptySettings(s.board) })
		began := time.Now()
		var conns []net.Conn
		for range 2 {
			conn := s.dial(t, 10*time.Second, body)
			defer func() { _ = conn.Close() }()
			if _, err := conn.Write(make([]byte, body)); err != nil {
				t.Fatal(err)
			}
			conns = append(conns, conn)
		}
		synctest.Wait()
		newest := s.dial(t, 10*time.Second, body)
		defer func() { _ = newest.Close() }()
		go func() { _, _ = newest.Write(make([]byte, body)) }()
		status, text, retryAfter := readAnswer(t, newest)
		if status != http.StatusServiceUnavailable || !strings.Contains(text, string(fault.BodyMemoryExhausted)) || time.Since(began) != 0 {
			t.Errorf("third call: answer = %d %s after %v, want 503 %s at once", status, text, time.Since(began), fault.BodyMemoryExhausted)
		}
		if retryAfter <= 0 || retryAfter > 10*time.Second/3 {
			t.Errorf("third call: Retry-After = %v, want at most a third of its 10s", retryAfter)
		}
		for _, conn := range conns {
			if status, _, _ := readAnswer(t, conn); status != http.StatusNotFound || time.Since(began) != time.Second {
				t.Errorf("held call: answer = %d after %v, want 404 after 1s, when the daemon serves", status, time.Since(began))
			}
		}
		synctest.Wait()
		if s.memory.InUse() != 0 || s.refusals(refusedMemory) != 1 {
			t.Errorf("memory in use = %d, refusals for memory = %v; want 0 and 1", s.memory.InUse(), s.refusals(refusedMemory))
		}
	})
}

// TestHeldCallsWithoutBodyAreBounded: calls without a body take memory too, so that a flood of them
// cannot exhaust a small host while the store is away.
func TestHeldCallsWithoutBodyAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const room = 10
		s, stop := startHoldServer(2 * (room*heldCallBytes + heldCallBytes/2))
		defer stop()
		for i := range room + 5 {
			conn := s.dial(t, 10*time.Second, 0)
			defer func() { _ = conn.Close() }()
			go func() { _, _ = io.Copy(io.Discard, conn) }()
			synctest.Wait()
			if got, want := s.refusals(refusedMemory), float64(max(0, i+1-room)); got != want {
				t.Errorf("after %d calls %v were refused for memory, want %v", i+1, got, want)
			}
		}
	})
}

// TestMemoryOfHeldCallEndsWithItsCaller: whatever part of a held call has been read, its memory is
// free as soon as its caller disconnects, not only at the end of the hold.
func TestMemoryOfHeldCallEndsWithItsCaller(t *testing.T) {
	for _, sent := range []int{0, 100_000, 200_000} {
		synctest.Test(t, func(t *testing.T) {
			s, stop := startHoldServer(64 << 20)
			defer stop()
			conn := s.dial(t, 10*time.Second, 200_000)
			if _, err := conn.Write(make([]byte, sent)); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
			if s.memory.InUse() == 0 {
				t.Errorf("%d bytes sent: no memory in use while the call is held", sent)
			}
			if err := conn.Close(); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
			if s.memory.InUse() != 0 {
				t.Errorf("%d bytes sent: memory in use after the caller has disconnected = %d, want 0", sent, s.memory.InUse())
			}
		})
	}
}
