package requestcontrol

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"doorstack.dev/core/forward"
	"doorstack.dev/node/callmemory"
	"doorstack.dev/node/target"
	"doorstack.dev/platform"
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
	if f.heldBytes != memory.InUse() || f.heldBytes < large-2*unaccountedAnswer {
		t.Errorf("held %d bytes, %d in use, want the answer accounted", f.heldBytes, memory.InUse())
	}
}
