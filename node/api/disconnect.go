package api

import (
	"context"
	"net"
	"net/http"

	"doorstack.dev/node/sock"
)

// callerConnKey is the context key of the caller's connection.
type callerConnKey struct{}

// WithCallerConn returns a context that carries the caller's connection. It is an
// http.Server.ConnContext hook.
func WithCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// callerDisconnected returns a function that reports whether the caller has closed its
// connection, according to the kernel's socket state. It returns nil if the connection is
// unknown. The call's context is cancelled on a disconnect too, but only once net/http's
// goroutine that reads the connection has been scheduled.
func callerDisconnected(r *http.Request) func() bool {
	conn, ok := r.Context().Value(callerConnKey{}).(net.Conn)
	if !ok {
		return nil
	}
	return func() bool { return sock.Peek(conn) == sock.Closed }
}

// abortAnswer ends an answer that has begun so that its caller sees that it is truncated. An answer in HTTP/1.0 has no chunks and
// ends with its connection, which must not end in order.
func abortAnswer(r *http.Request) {
	conn, ok := r.Context().Value(callerConnKey{}).(interface{ SetLinger(seconds int) error })
	if ok && !r.ProtoAtLeast(1, 1) {
		_ = conn.SetLinger(0) // It fails only if the connection is closed.
	}
	panic(http.ErrAbortHandler)
}
