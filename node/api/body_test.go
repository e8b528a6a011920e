package api

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"doorstack.dev/core/fault"
	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/callmemory"
	"doorstack.dev/node/telemetry"
)

// startBodyServer starts a server that reads request bodies and answers with the kind of the
// failure, or "ok". At /hold it keeps the body until the test ends.
func startBodyServer(t *testing.T, limits Limits) string {
	t.Helper()
	board := blackboard.New(blackboard.Identity{Name: "d"}, blackboard.DefaultLimits())
	s := NewServer(board, nil, telemetry.NewMetrics(), limits)
	hold := make(chan struct{})
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := s.readBody(w, r)
		if err != nil {
			var e *fault.Error
			if errors.As(err, &e) {
				_, _ = fmt.Fprint(w, e.Kind)
			}
			return
		}
		if r.URL.Path == "/hold" {
			_, _ = fmt.Fprint(w, "holding")
			_ = http.NewResponseController(w).Flush()
			<-hold
		}
		b.release()
		b.release() // A second call must have no effect.
		_, _ = fmt.Fprint(w, "ok")
	}))
	t.Cleanup(func() { close(hold); h.Close() })
	return strings.TrimPrefix(h.URL, "http://")
}

// sendRaw writes a raw request and returns the start of the answer's body.
func sendRaw(t *testing.T, address, raw string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := conn.Write([]byte(raw)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	// The body is not closed, since that would wait for the rest of an answer that /hold
	// delays until the test ends. The connection is closed instead.
	text := make([]byte, 64)
	n, _ := resp.Body.Read(text)
	return string(text[:n])
}

// postRequest returns a raw POST request with a Content-Length of length.
func postRequest(path string, length int, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, length, body)
}

// TestReadBodyLimits checks that a body is rejected that is too large, too slow or over the shared
// memory budget, and that a rejected body holds no memory.
func TestReadBodyLimits(t *testing.T) {
	limits := Limits{MaxBody: 1000, Memory: callmemory.New(1500), ReadProgressTimeout: 50 * time.Millisecond}
	address := startBodyServer(t, limits)
	cases := []struct{ name, raw, want string }{
		{"complete", postRequest("/", 5, "hello"), "ok"},
		{"announced too large", postRequest("/", 1001, ""), string(fault.TooLarge)},
		{"stops in the middle", postRequest("/", 100, "only this"), string(fault.BadRequest)},
		{"larger than the shared memory", postRequest("/", 900, strings.Repeat("x", 900)), string(fault.BodyMemoryExhausted)},
		{"chunks without end", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + strings.Repeat("x", 2000) + "\r\n0\r\n\r\n", string(fault.TooLarge)},
	}
	for _, c := range cases {
		if got := sendRaw(t, address, c.raw); got != c.want {
			t.Errorf("%s: answer = %q, want %q", c.name, got, c.want)
		}
		if limits.Memory.InUse() != 0 {
			t.Errorf("%s: memory in use = %d after the request, want 0", c.name, limits.Memory.InUse())
		}
	}
	if got := sendRaw(t, address, postRequest("/hold", 500, strings.Repeat("x", 500))); got != "holding" {
		t.Fatalf("held body: answer = %q, want %q", got, "holding")
	}
	if got := sendRaw(t, address, postRequest("/", 300, strings.Repeat("x", 300))); got != string(fault.BodyMemoryExhausted) {
		t.Errorf("second body beside a held one: answer = %q, want %q", got, fault.BodyMemoryExhausted)
	}
}

func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],"max_tokens":3}`))
	f.Add([]byte(`{"messages":[{"content":null}],"n":0}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		call, err := parseChat(data)
		if err == nil && (call.model == "" || call.maxTokens < 0) {
			t.Fatalf("parseChat(%q) = %+v, want an error or a call with a model and maxTokens >= 0", data, call)
		}
	})
}

// TestBodyThatOutlastsItsCallIsRefused guards against a body that is read for as long as its caller sends a little, beyond the time of
// the call.
func TestBodyThatOutlastsItsCallIsRefused(t *testing.T) {
	memory := callmemory.New(1 << 20)
	s := NewServer(blackboard.New(blackboard.Identity{Name: "d"}, blackboard.DefaultLimits()), nil, telemetry.NewMetrics(),
		Limits{MaxBody: 1 << 20, Memory: memory, ReadProgressTimeout: time.Minute})
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := s.readBodyWithLimit(ctx, w, r, s.limits.MaxBody, 1)
		_, _ = fmt.Fprint(w, fault.From(err).Kind)
	}))
	t.Cleanup(h.Close)
	got := sendRaw(t, strings.TrimPrefix(h.URL, "http://"), postRequest("/", 1<<20, "only this"))
	if got != string(fault.DeadlinePassed) {
		t.Errorf("answer = %q, want %q", got, fault.DeadlinePassed)
	}
	if memory.InUse() != 0 {
		t.Errorf("%d bytes reserved after the request, want 0", memory.InUse())
	}
}
