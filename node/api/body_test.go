package api

import (
	"bufio"
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
	"doorstack.dev/node/telemetry"
)

// startBodyServer reads bodies and answers with the failure's kind, or "ok".
func startBodyServer(t *testing.T, limits Limits) (*Server, string) {
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
		b.release() // Twice is harmless.
		_, _ = fmt.Fprint(w, "ok")
	}))
	t.Cleanup(func() { close(hold); h.Close() })
	return s, strings.TrimPrefix(h.URL, "http://")
}

// sendRaw writes raw bytes and returns the last line of the answer.
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
	// The body is not closed, as that would read a held answer to its end; the
	// connection is.
	text := make([]byte, 64)
	n, _ := resp.Body.Read(text)
	return string(text[:n])
}

func postRequest(path string, length int, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, length, body)
}

func TestReadBodyLimits(t *testing.T) {
	limits := Limits{MaxBody: 1000, BodyMemory: 1500, ReadProgressTimeout: 50 * time.Millisecond}
	s, address := startBodyServer(t, limits)
	cases := []struct{ name, raw, want string }{
		{"whole", postRequest("/", 5, "hello"), "ok"},
		{"announced too large", postRequest("/", 1001, ""), string(fault.TooLarge)},
		{"stops in the middle", postRequest("/", 100, "only this"), string(fault.BadRequest)},
		{"larger than the shared memory", postRequest("/", 900, strings.Repeat("x", 900)), string(fault.BodyMemoryExhausted)},
		{"chunks without end", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + strings.Repeat("x", 2000) + "\r\n0\r\n\r\n", string(fault.TooLarge)},
	}
	for _, c := range cases {
		if got := sendRaw(t, address, c.raw); got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
		if s.BodyBytes() != 0 {
			t.Errorf("%s: %d bytes are still held", c.name, s.BodyBytes())
		}
	}
	if got := sendRaw(t, address, postRequest("/hold", 500, strings.Repeat("x", 500))); got != "holding" {
		t.Fatalf("got %q", got)
	}
	if got := sendRaw(t, address, postRequest("/", 300, strings.Repeat("x", 300))); got != string(fault.BodyMemoryExhausted) {
		t.Errorf("beside a held body: got %q", got)
	}
}

func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],"max_tokens":3}`))
	f.Add([]byte(`{"messages":[{"content":null}],"n":0}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		call, err := parseChat(data)
		if err == nil && (call.model == "" || call.maxTokens < 0) {
			t.Fatalf("taken: %+v", call)
		}
	})
}
