package api

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestHandlerWithoutAnswerGivesNoSuccess guards against the 200 that net/http writes for a handler that returns without an
// answer.
func TestHandlerWithoutAnswerGivesNoSuccess(t *testing.T) {
	for name, c := range map[string]struct {
		handle func(http.ResponseWriter)
		want   int // the status, or 0 for a closed connection
	}{
		"nothing":              {func(http.ResponseWriter) {}, 0},
		"headers only":         {func(w http.ResponseWriter) { w.Header().Set("A", "b") }, 0},
		"informational answer": {func(w http.ResponseWriter) { w.WriteHeader(http.StatusEarlyHints) }, 0},
		"status":               {func(w http.ResponseWriter) { w.WriteHeader(http.StatusNoContent) }, http.StatusNoContent},
		"body":                 {func(w http.ResponseWriter) { _, _ = io.WriteString(w, "x") }, http.StatusOK},
		"flushed": {func(w http.ResponseWriter) {
			w.WriteHeader(http.StatusAccepted)
			if err := http.NewResponseController(w).Flush(); err != nil {
				t.Error(err)
			}
		}, http.StatusAccepted},
	} {
		server := httptest.NewServer(RequireAnswer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { c.handle(w) })))
		conn, err := net.Dial("tcp4", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		in := bufio.NewReader(conn)
		status := 0
		for {
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				break
			}
			_ = resp.Body.Close()
			if status = resp.StatusCode; status >= http.StatusOK {
				break
			}
			status = 0
		}
		if status != c.want {
			t.Errorf("%s: status %d, want %d", name, status, c.want)
		}
		_ = conn.Close()
		server.Close()
	}
}
