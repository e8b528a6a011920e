package api

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestCallerDisconnected: a call sees that its caller has closed the connection,
// and does not take one that waits for one that has left.
func TestCallerDisconnected(t *testing.T) {
	arrived, closed, seen := make(chan bool, 1), make(chan struct{}), make(chan bool, 1)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		left := callerDisconnected(r)
		if _, err := io.ReadAll(r.Body); err != nil {
			t.Error(err)
		}
		arrived <- left()
		<-closed
		deadline := time.After(10 * time.Second)
		tick := time.NewTicker(time.Millisecond)
		defer tick.Stop()
		for !left() {
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
		t.Error("a caller that waits counts as one that has left")
	}
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	close(closed)
	if !<-seen {
		t.Error("the caller's end is not seen")
	}
}

// TestCallerDisconnectedWithoutConn: where the connection is not known, nothing is claimed of it.
func TestCallerDisconnectedWithoutConn(t *testing.T) {
	if callerDisconnected(httptest.NewRequest(http.MethodGet, "http://h/", nil)) != nil {
		t.Error("the caller of a call without a connection is looked at")
	}
}
