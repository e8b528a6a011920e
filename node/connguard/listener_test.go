package connguard

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"doorstack.dev/node/callmemory"
	"doorstack.dev/node/sock"
	"doorstack.dev/node/telemetry"
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

// testTimeout bounds each wait of a test.
const testTimeout = time.Minute

// server is a server of net/http behind a Listener.
type server struct {
	t       *testing.T
	address string
	metrics *telemetry.Metrics
	memory  *callmemory.Budget
}

// startServer starts a server with limits on its clients, which are generous where they are zero.
func startServer(t *testing.T, limits Limits, maxConnections int, handler http.HandlerFunc) *server {
	t.Helper()
	for limit, generous := range map[*time.Duration]time.Duration{&limits.HeadTimeout: testTimeout, &limits.IdleTimeout: testTimeout, &limits.WriteTimeout: testTimeout} {
		if *limit == 0 {
			*limit = generous
		}
	}
	limits.MaxHead = max(limits.MaxHead, 64<<10)
	return startServerWith(t, &limits, maxConnections, handler)
}

// startServerWith is like startServer with the limits as they are.
func startServerWith(t *testing.T, limits *Limits, maxConnections int, handler http.HandlerFunc) *server {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{t: t, address: inner.Addr().String(), metrics: telemetry.NewMetrics(), memory: callmemory.New(1 << 20)}
	listener := NewListener(inner, Config{
		Name: "test", Limits: func() Limits { return *limits }, MaxConnections: maxConnections,
		Memory: s.memory, Group: &Group{}, Metrics: s.metrics, Log: slog.New(slog.DiscardHandler),
	})
	httpServer := &http.Server{Handler: Handler(handler), ConnState: TrackState, ConnContext: WithConn, MaxHeaderBytes: 1 << 30}
	ended := make(chan error, 1)
	go func() { ended <- httpServer.Serve(listener) }()
	t.Cleanup(func() {
		_ = httpServer.Close()
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	return s
}

func answerOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// client is a client's connection.
type client struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func (s *server) dial() *client {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return &client{conn, s.t, bufio.NewReader(conn)}
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// answer reads an answer and returns it, or nil at the end of the connection.
func (c *client) answer() *http.Response {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
			c.t.Fatal("no answer, and the connection does not end")
		}
		return nil
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp
}

func (c *client) wantStatus(want int) *http.Response {
	c.t.Helper()
	resp := c.answer()
	if resp == nil || resp.StatusCode != want {
		c.t.Fatalf("answer %v, want status %d", resp, want)
	}
	return resp
}

const wholeRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// TestLongestWaitingConnectionGivesWay checks that a new client is served at once while others hold all connections, and that it
// is the one that has waited longest which is closed.
func TestLongestWaitingConnectionGivesWay(t *testing.T) {
	s := startServer(t, Limits{}, 2, answerOK)
	first, second := s.dial(), s.dial()
	second.send(wholeRequest)
	second.wantStatus(http.StatusOK)
	third := s.dial()
	third.send(wholeRequest)
	third.wantStatus(http.StatusOK)
	if resp := first.answer(); resp != nil {
		t.Errorf("the connection that has waited longest got %v, want its end", resp)
	}
	second.send(wholeRequest)
	second.wantStatus(http.StatusOK)
}

// TestBusyConnectionsDoNotGiveWay checks that requests in progress are not ended for new connections, which are told to retry.
func TestBusyConnectionsDoNotGiveWay(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	s := startServer(t, Limits{}, 1, func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-release
		answerOK(w, r)
	})
	busy := s.dial()
	busy.send(wholeRequest)
	<-started
	late := s.dial()
	if resp := late.wantStatus(http.StatusServiceUnavailable); resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("the refusal has headers %v, want Retry-After and Connection: close", resp.Header)
	}
	close(release)
	busy.wantStatus(http.StatusOK)
	if n := testutil.ToFloat64(s.metrics.ClientConnectionsEnded.WithLabelValues("test", endTooMany)); n != 1 {
		t.Errorf("connections ended as too many are busy = %v, want 1", n)
	}
}

// TestHeadsInProgressShareTheMemory checks that heads without an end give way to each other and not to ordinary requests, and that
// all reserved memory is released.
func TestHeadsInProgressShareTheMemory(t *testing.T) {
	s := startServer(t, Limits{}, 1000, answerOK)
	head := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("k:\r\n", 500)
	clients := make([]*client, 20) // Each reserves a tenth of the budget.
	for i := range clients {
		clients[i] = s.dial()
		clients[i].send(head)
		ordinary := s.dial()
		ordinary.send(wholeRequest)
		ordinary.wantStatus(http.StatusOK)
	}
	if resp := clients[0].answer(); resp != nil && resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("the head that has waited longest got %v, want 503 or the end of the connection", resp)
	}
	last := clients[len(clients)-1]
	last.send("\r\n")
	last.wantStatus(http.StatusOK)
	for _, c := range clients {
		_ = c.Close()
	}
	for deadline := time.Now().Add(testTimeout); s.memory.InUse() > 0; {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes stay reserved after all clients have left", s.memory.InUse())
		}
	}
}

// TestHeadTimeoutSaysThatTheRequestDidNotRun checks the end of a head that does not arrive, and that the time for it does not
// begin before its first byte.
func TestHeadTimeoutSaysThatTheRequestDidNotRun(t *testing.T) {
	s := startServer(t, Limits{HeadTimeout: 50 * time.Millisecond}, 10, answerOK)
	silent, slow := s.dial(), s.dial()
	slow.send("GET / HTTP/1.1\r\n")
	slow.wantStatus(http.StatusRequestTimeout)
	silent.send(wholeRequest)
	silent.wantStatus(http.StatusOK)
}

// TestPipelinedRequestsOutliveTheIdleTimeout guards against a request that was in the server's buffer with an earlier one, takes
// longer than the idle timeout and is ended as if its client were silent.
func TestPipelinedRequestsOutliveTheIdleTimeout(t *testing.T) {
	const idle = 50 * time.Millisecond
	requests := 0
	s := startServer(t, Limits{IdleTimeout: idle, HeadTimeout: idle}, 10, func(w http.ResponseWriter, r *http.Request) {
		requests++
		if requests == 2 {
			select {
			case <-r.Context().Done():
				return // The request was ended.
			case <-time.After(4 * idle):
			}
		}
		answerOK(w, r)
	})
	c := s.dial()
	c.send(wholeRequest + wholeRequest)
	for range 2 {
		if resp := c.wantStatus(http.StatusOK); resp.ContentLength != int64(len("ok")) {
			t.Errorf("the answer has %d bytes, want %d", resp.ContentLength, len("ok"))
		}
	}
}

// TestUnreadBodyEndsTheConnection checks that a body which its handler does not read, and which does not arrive, does not hold the
// connection, and that one which arrives does not end it.
func TestUnreadBodyEndsTheConnection(t *testing.T) {
	s := startServer(t, Limits{HeadTimeout: 50 * time.Millisecond}, 10, answerOK)
	c := s.dial()
	request := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"
	for range 2 {
		c.send(request + "body")
		c.wantStatus(http.StatusOK)
	}
	c.send(request)
	for resp := c.answer(); resp != nil; resp = c.answer() {
		if resp.StatusCode != http.StatusOK {
			t.Fatalf("answer %v, want 200 and the end of the connection", resp)
		}
	}
}

// TestHeadLimitPerConnection checks requests one after another on a connection, of which the last is too large.
func TestHeadLimitPerConnection(t *testing.T) {
	s := startServer(t, Limits{MaxHead: 64 << 10}, 10, answerOK)
	c := s.dial()
	for range 5 {
		c.send(fmt.Sprintf("GET / HTTP/1.1\r\nHost: h\r\nPadding: %s\r\n\r\n", strings.Repeat("p", 60<<10)))
		c.wantStatus(http.StatusOK)
	}
	c.send(fmt.Sprintf("GET / HTTP/1.1\r\nHost: h\r\nPadding: %s\r\n\r\n", strings.Repeat("p", 64<<10)))
	c.wantStatus(http.StatusRequestHeaderFieldsTooLarge)
}

// readBody returns a handler that reads bodies as those of package api do, and reports in run which requests it runs. It sends to
// reading once it reads a body.
func readBody(reading chan<- struct{}, run chan<- string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		BeginBody(r.Context())
		reading <- struct{}{}
		_, err := io.ReadAll(r.Body)
		if !EndBody(r.Context()) || err != nil {
			run <- ""
			return
		}
		run <- r.URL.Path
		answerOK(w, r)
	}
}

// TestUnfinishedBodyGivesWayToNewConnection checks that a client that holds the only connection with a part of a body is told that
// its request has not run, that it does not run, and that the new client is served.
func TestUnfinishedBodyGivesWayToNewConnection(t *testing.T) {
	reading, run := make(chan struct{}, 2), make(chan string, 2)
	s := startServer(t, Limits{}, 1, readBody(reading, run))
	slow := s.dial()
	slow.send("POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo")
	<-reading
	quick := s.dial()
	quick.send("POST /quick HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
	quick.wantStatus(http.StatusOK)
	if resp := slow.answer(); resp != nil && resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("the slow client got %v, want 503 or the end of its connection", resp)
	}
	ran := []string{<-run, <-run} // The handlers end in any order.
	if slices.Sort(ran); !slices.Equal(ran, []string{"", "/quick"}) {
		t.Errorf("ran %q, want only /quick", ran)
	}
}

// TestSlowBodyGivesWayWhereMemoryIsShort checks that only bodies which take longer than a head may are closed for others, and never
// the one that needs the memory.
func TestSlowBodyGivesWayWhereMemoryIsShort(t *testing.T) {
	for name, c := range map[string]struct {
		headTimeout time.Duration
		evicts      bool
	}{"slow": {0, true}, "in time": {testTimeout, false}} {
		t.Run(name, func(t *testing.T) {
			reading, evicted := make(chan struct{}), make(chan bool, 1)
			limits := Limits{MaxHead: 1 << 10, HeadTimeout: c.headTimeout, IdleTimeout: testTimeout, WriteTimeout: testTimeout}
			s := startServerWith(t, &limits, 10, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/evict" {
					BeginBody(r.Context())
					evicted <- EvictSlowBody(r.Context())
					if !EndBody(r.Context()) {
						t.Error("the request that needs the memory was closed")
					}
					answerOK(w, r)
					return
				}
				BeginBody(r.Context())
				// The server's limit on bodies that are not read does not apply to this one.
				_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(testTimeout))
				close(reading)
				_, _ = io.ReadAll(r.Body)
				if EndBody(r.Context()) == c.evicts {
					t.Errorf("the body was closed: %v, want %v", !c.evicts, c.evicts)
				}
			})
			slow, other := s.dial(), s.dial()
			slow.send("POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo")
			<-reading
			other.send("GET /evict HTTP/1.1\r\nHost: h\r\n\r\n")
			other.wantStatus(http.StatusOK)
			if got := <-evicted; got != c.evicts {
				t.Errorf("a body was closed: %v, want %v", got, c.evicts)
			}
			if !c.evicts {
				slow.send("dy")
			}
			_ = slow.answer()
		})
	}
}

// TestRequestThatArrivesOutlivesAskToEnd guards against a client whose request has arrived, but not been read, as its connection is
// needed for another, and checks that one which sends nothing more ends.
func TestRequestThatArrivesOutlivesAskToEnd(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewListener(inner, Config{
		Name: "test", Limits: func() Limits { return Limits{MaxHead: 1 << 10, HeadTimeout: testTimeout, IdleTimeout: testTimeout} }, MaxConnections: 10,
		Memory: callmemory.New(1 << 20), Group: &Group{}, Metrics: telemetry.NewMetrics(), Log: slog.New(slog.DiscardHandler),
	})
	t.Cleanup(func() { _ = l.Close() })
	remote, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = remote.Close() })
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := accepted.(*Conn)
	part := "GET / HTTP/1.1\r\n"
	if _, err := io.WriteString(remote, part); err != nil {
		t.Fatal(err)
	}
	for sock.Peek(c.socket) != sock.Readable { // The bytes are on their way through the kernel.
		runtime.Gosched()
	}
	l.askToEnd(c)
	buffer := make([]byte, 100)
	if n, err := c.Read(buffer); string(buffer[:n]) != part || err != nil {
		t.Fatalf("Read = %q, %v, want what had arrived", buffer[:n], err)
	}
	l.askToEnd(c)
	if n, err := c.Read(buffer); n != 0 || err == nil {
		t.Fatalf("Read = %d, %v, want the end of the connection", n, err)
	}
	if l.open != 0 || l.asked != 0 || l.waiting.Len() != 0 {
		t.Errorf("%d connections are counted, %d asked to end and %d waiting, want none", l.open, l.asked, l.waiting.Len())
	}
	_ = remote.SetReadDeadline(time.Now().Add(testTimeout))
	if resp, err := http.ReadResponse(bufio.NewReader(remote), nil); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("the client got %v, %v, want 503", resp, err)
	}
}
