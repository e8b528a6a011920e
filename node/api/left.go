package api

import (
	"context"
	"net"
	"net/http"

	"doorstack.dev/node/sock"
)

// callerConnKey finds the connection of a call in its context.
type callerConnKey struct{}

// WithCallerConn is the HTTP server's hook by which a call knows the connection that it came
// over.
func WithCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// callerDisconnected returns a function that tells whether a call's caller has closed its connection,
// by the system's word; nil where the connection is not known. The end of the call's context
// says the same, but only once the goroutine that reads the connection has had its turn.
func callerDisconnected(r *http.Request) func() bool {
	conn, ok := r.Context().Value(callerConnKey{}).(net.Conn)
	if !ok {
		return nil
	}
	return func() bool { return sock.Peek(conn) == sock.Closed }
}
