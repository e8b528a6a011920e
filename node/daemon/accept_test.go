package daemon

import (
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"

	"doorstack.dev/node/blackboard"
	"doorstack.dev/node/connguard"
	"doorstack.dev/node/internal/testaddr"
	"doorstack.dev/node/telemetry"
)

// failingListener fails to accept a number of times before it accepts connections.
type failingListener struct {
	net.Listener
	failures atomic.Int32
	cause    error
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: l.cause}
	}
	return l.Listener.Accept()
}

// TestFailedAcceptDoesNotEndTheServer guards against a daemon that stops, and drops all of its calls, as one connection could not be
// accepted.
func TestFailedAcceptDoesNotEndTheServer(t *testing.T) {
	for _, cause := range []error{syscall.ENOMEM, syscall.ENOBUFS, syscall.EPERM, syscall.EPROTO, syscall.EMFILE} {
		t.Run(cause.Error(), func(t *testing.T) {
			d := &Daemon{Log: slog.New(slog.DiscardHandler), Metrics: telemetry.NewMetrics(), Board: blackboard.New(blackboard.Identity{}, blackboard.DefaultLimits())}
			limits := connguard.Config{Name: "listen", Limits: d.callerLimits, MaxConnections: 10, Group: &connguard.Group{}, Metrics: d.Metrics, Log: d.Log}
			address := testaddr.Free(t)
			handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
			server, err := d.newServer(limits, &address, handler, func(l net.Listener) net.Listener {
				failing := &failingListener{Listener: l, cause: cause}
				failing.failures.Store(2)
				return failing
			})
			if err != nil {
				t.Fatal(err)
			}
			ended := make(chan error, 1)
			go func() { ended <- server.Start(t.Context()) }()
			resp, err := http.Get("http://" + address)
			if err != nil {
				t.Fatalf("call after %v at Accept: %v", cause, err)
			}
			_ = resp.Body.Close()
			http.DefaultClient.CloseIdleConnections()
			if err := server.Stop(t.Context()); err != nil {
				t.Error(err)
			}
			if err := <-ended; err != nil {
				t.Errorf("the server ended with %v", err)
			}
		})
	}
}
