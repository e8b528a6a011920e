package requestcontrol

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"doorstack.dev/core/forward"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/callmemory"
	"doorstack.dev/node/target"
	"doorstack.dev/platform"
	"github.com/go-faster/errors"
)

// TestBufferedAnswersStayWithinTheMemoryForCalls checks that a large answer waits while the memory for calls
// is exhausted and is then read whole, and that a small one does not wait.
func TestBufferedAnswersStayWithinTheMemoryForCalls(t *testing.T) {
	const limit, large = 1 << 20, 600 << 10
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size := 800
		if r.URL.Path == "/large" {
			size = large
		}
		_, _ = w.Write([]byte(strings.Repeat("x", size)))
	}))
	defer server.Close()
	exchanger := target.NewExchanger(platform.Headers{}, target.NewConnector())
	f := &forwarding{director: &Director{Memory: callmemory.New(limit)}}
	hold := func(path string) (*bufferedAnswer, error) {
		reply, err := exchanger.Send(t.Context(), strings.TrimPrefix(server.URL, "http://"), &forward.Message{Method: http.MethodGet, URI: path, Host: "x", Header: http.Header{}})
		if err != nil {
			return nil, err
		}
		defer exchanger.Close(reply)
		f.hold = f.director.Memory.NewHold(func() { t.Error("the answer had to give way") })
		defer f.hold.Release()
		return f.holdAnswer(t.Context(), reply)
	}
	memory := f.director.Memory
	if !memory.TryReserve(limit, 1) {
		t.Fatal("TryReserve of the whole budget = false")
	}
	if answer, err := hold("/small"); err != nil || len(answer.body) != 800 {
		t.Fatalf("small answer beside an exhausted budget: %v, want it whole", err)
	}
	type result struct {
		answer *bufferedAnswer
		err    error
	}
	got := make(chan result, 1)
	go func() {
		answer, err := hold("/large")
		got <- result{answer, err}
	}()
	memory.Release(100 << 10) // Not enough for the whole answer.
	select {
	case r := <-got:
		t.Fatalf("large answer beside an exhausted budget: %+v, want it to wait", r.err)
	case <-memory.Freed():
	default:
	}
	memory.Release(limit - 100<<10)
	r := <-got
	if r.err != nil || len(r.answer.body) != large {
		t.Fatalf("large answer: %v, want it whole", r.err)
	}
	if held := r.answer.held; held != memory.InUse() || held < large-2*unaccountedAnswer {
		t.Errorf("held %d bytes, %d in use, want the answer accounted", held, memory.InUse())
	}
}

// startRawTarget starts a target that answers each call with these bytes and leaves the connection open.
func startRawTarget(t *testing.T, answer string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		t.Cleanup(func() { _ = conn.Close() })
		_, _ = io.WriteString(conn, answer)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// newHoldingForwarding returns a call that reads the answer of the target at an address.
func newHoldingForwarding(t *testing.T, address string, memory *callmemory.Budget) (*forwarding, *target.Reply) {
	exchanger := target.NewExchanger(platform.Headers{}, target.NewConnector())
	reply, err := exchanger.Send(t.Context(), address, &forward.Message{Method: http.MethodGet, URI: "/", Host: "x", Header: http.Header{}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { exchanger.Close(reply) })
	f := &forwarding{director: &Director{Memory: memory}}
	f.hold = memory.NewHold(func() {})
	return f, reply
}

// TestAnswerDeclaredTooLongIsRefusedAtOnce guards against reading megabytes of an answer that cannot be delivered.
func TestAnswerDeclaredTooLongIsRefusedAtOnce(t *testing.T) {
	address := startRawTarget(t, "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n")
	f, reply := newHoldingForwarding(t, address, callmemory.New(1<<20))
	if _, err := f.holdAnswer(t.Context(), reply); !errors.Is(err, errAnswerTooLarge) {
		t.Errorf("holdAnswer = %v, want errAnswerTooLarge", err)
	}
}

// TestUnfinishedEventTakesMemoryForCalls guards against unfinished events that exhaust the daemon's memory: they wait for the
// memory for calls, and release it when the event is complete or the call ends.
func TestUnfinishedEventTakesMemoryForCalls(t *testing.T) {
	const size, limit = 100 << 10, 64 << 10
	address := startRawTarget(t, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: "+strings.Repeat("x", size))
	memory := callmemory.New(limit)
	f, reply := newHoldingForwarding(t, address, memory)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- f.relay(ctx, reply, &blackboard.Placement{}) }()
	for deadline := time.Now().Add(10 * time.Second); memory.InUse() < limit-relayBufferSize; {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes in use, want nearly %d", memory.InUse(), limit)
		}
		runtime.Gosched()
	}
	cancel()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Errorf("relay = %v", err)
	}
	if f.hold.Release(); memory.InUse() != 0 {
		t.Errorf("%d bytes in use after the call", memory.InUse())
	}
	f.hold = memory.NewHold(func() {})
	for _, pending := range []int{10, 50 << 10, 30 << 10, 0} {
		if err := f.holdPending(t.Context(), pending); err != nil || memory.InUse() != int64(max(0, pending-unaccountedAnswer)) {
			t.Errorf("%d bytes pending: %d in use, %v", pending, memory.InUse(), err)
		}
	}
}
