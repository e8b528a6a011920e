package api

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestCallerDisconnected checks that a closed connection of the caller is detected, and that a
// caller that waits for the answer does not count as disconnected.
func TestCallerDisconnected(t *testing.T) {
	arrived, closed, seen := make(chan bool, 1), make(chan struct{}), make(chan bool, 1)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		disconnected := callerDisconnected(r)
		if _, err := io.ReadAll(r.Body); err != nil {
			t.Error(err)
		}
		arrived <- disconnected()
		<-closed
		deadline := time.After(10 * time.Second)
		tick := time.NewTicker(time.Millisecond)
		defer tick.Stop()
		for !disconnected() {
			select {
			case <-deadline:
				seen <- false
				return
			case <-tick.C:
			}
		}
		seen <- true
	}))
	server.Config.ConnContext = WithCallerConn
	server.Start()
	defer server.Close()
	conn, err := net.Dial("tcp4", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"); err != nil {
		t.Fatal(err)
	}
	if <-arrived {
		t.Error("callerDisconnected: got true while the caller waits, want false")
	}
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	close(closed)
	if !<-seen {
		t.Error("callerDisconnected: got false for 10s after the caller closed the connection, want true")
	}
}

// TestCallerDisconnectedWithoutConn checks that callerDisconnected returns nil if the connection is
// unknown.
func TestCallerDisconnectedWithoutConn(t *testing.T) {
	if callerDisconnected(httptest.NewRequest(http.MethodGet, "http://h/", nil)) != nil {
		t.Error("callerDisconnected of a request without a connection: got a function, want nil")
	}
}
