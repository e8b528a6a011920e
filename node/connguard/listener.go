// Package connguard bounds what clients can make a daemon hold before a handler runs, on one connection and on all connections
// of a listener together: descriptors, heads of requests, and the time for which a connection waits for its client.
//
// A Listener wraps a net.Listener for a server of net/http, which needs its hooks too. The limits for one connection apply as
// bytes arrive. Where all connections together take too much, those that have waited longest for their clients are closed, so
// that a client that sends its request at once is served however many others hold connections.
package connguard

import (
	"container/list"
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"doorstack.dev/node/callmemory"
	"doorstack.dev/node/sock"
	"doorstack.dev/node/telemetry"
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// Limits are the limits on a client's connection.
type Limits struct {
	// MaxHead is the largest head of a request in bytes, as clientlimit.Head counts it.
	MaxHead int64
	// HeadTimeout is the longest time from the first byte of a head to its last, and for the rest of a body that no handler
	// has read.
	HeadTimeout time.Duration
	// IdleTimeout is the longest time without a request.
	IdleTimeout time.Duration
	// WriteTimeout limits each write for which the server sets no deadline.
	WriteTimeout time.Duration
}

// Config is what a Listener needs.
type Config struct {
	// Name is the listener's name in logs and metrics.
	Name string
	// Limits returns the current limits on a connection, and MaxConnections is the limit on all of them.
	Limits         func() Limits
	MaxConnections int
	// Memory is the budget from which heads of unusual size are reserved, and Group the listeners that share it.
	Memory  *callmemory.Budget
	Group   *Group
	Metrics *telemetry.Metrics
	Log     *slog.Logger
}

// Listener is a net.Listener that accepts a bounded number of connections and returns them as *Conn.
type Listener struct {
	net.Listener
	Config

	// mu guards the fields below and the phase of the connections. It may be taken while the group's lock is held.
	mu   sync.Mutex
	open int
	// waiting are the connections that may be closed for others, those that have waited longest first.
	waiting list.List
	// asked is the number of connections that have been asked to end and have not answered yet.
	asked int
	// changed receives a value when a connection has ended, or has not ended although it was asked.
	changed chan struct{}
	log     endLog
	gauge   prometheus.Gauge // of open
}

// NewListener returns a listener that accepts the connections of inner.
func NewListener(inner net.Listener, config Config) *Listener {
	l := &Listener{Listener: inner, Config: config, changed: make(chan struct{}, 1), gauge: config.Metrics.ClientConnections.WithLabelValues(config.Name)}
	config.Group.add(l)
	return l
}

// socket is the interface of a TCP connection that net/http and package sock use.
type socket interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
	SetLinger(seconds int) error
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := inner.(socket)
		if !ok {
			_ = inner.Close()
			return nil, errors.Errorf("connections of type %T are not supported", inner)
		}
		if c := l.admit(tcp); c != nil {
			return c, nil
		}
	}
}

// minWait is the least time for which a connection waits for its client before it is closed for others. Connections that come
// faster than that allows wait in the kernel's queue, so that a client that sends its request at once is served beside clients that
// open new connections without end.
const minWait = 50 * time.Millisecond

// admit returns the guarded connection. If there are too many, it ends the one that has waited longest for its client; if all are
// busy with requests, it refuses the new one and returns nil.
func (l *Listener) admit(tcp socket) *Conn {
	for {
		c, askedAny := l.tryAdmit(tcp)
		if c != nil {
			return c
		}
		longest, since := l.longestWaiting(hasNothingToRead())
		if longest == nil {
			longest, since = l.longestWaiting(func(*Conn) bool { return true })
		}
		if longest == nil && !askedAny {
			l.countEnd(endTooMany)
			tryWrite(tcp, tooManyAnswer)
			_ = tcp.Close()
			return nil
		}
		wait := minWait
		if longest != nil {
			if left := minWait - time.Since(since); left > 0 {
				wait = left
			} else {
				l.askToEnd(longest)
			}
		}
		l.awaitChange(wait)
	}
}

// awaitChange waits until the connections have changed, but no longer than d.
func (l *Listener) awaitChange(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-l.changed:
	case <-timer.C:
	}
}

// signalChange wakes awaitChange.
func (l *Listener) signalChange() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// maxPeeked bounds the connections whose sockets are looked at to find one that may be closed.
const maxPeeked = 64

// hasNothingToRead returns a function that reports whether a connection waits for its client and not for this host, which has yet
// to read what has arrived. It holds for none after maxPeeked connections.
func hasNothingToRead() func(*Conn) bool {
	peeked := 0
	return func(c *Conn) bool {
		peeked++
		return peeked <= maxPeeked && sock.Peek(c.socket) != sock.Readable
	}
}

// tryAdmit returns the guarded connection, or nil if there are too many, and reports whether any has been asked to end.
func (l *Listener) tryAdmit(tcp socket) (c *Conn, askedAny bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.MaxConnections {
		return nil, l.asked > 0
	}
	c = &Conn{socket: tcp, listener: l}
	l.open++
	l.gauge.Inc()
	l.enqueue(c, waiting)
	return c, false
}

// longestWaiting returns the connection for which match holds that has waited longest for its client, and since when; nil if there
// is none.
func (l *Listener) longestWaiting(match func(*Conn) bool) (*Conn, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*Conn); match(c) {
			return c, c.since
		}
	}
	return nil, time.Time{}
}

// enqueue lets a connection be closed for others from now on. The lock is held.
func (l *Listener) enqueue(c *Conn, p phase) {
	c.leaveQueue()
	c.phase, c.since = p, time.Now()
	c.element = l.waiting.PushBack(c)
}

// forget no longer counts a connection. The lock is held.
func (l *Listener) forget(c *Conn) {
	if c.phase == uncounted {
		return
	}
	c.leaveQueue()
	c.dismissAsk()
	c.phase = uncounted
	l.open--
	l.gauge.Dec()
	l.signalChange()
}

// askToEnd ends a connection for others. One that waits for a request is asked to: only its reader knows whether a request arrives
// at the same moment.
func (l *Listener) askToEnd(c *Conn) {
	l.mu.Lock()
	if c.element == nil || c.phase != waiting {
		l.mu.Unlock()
		l.evict(c, endEvicted)
		return
	}
	defer l.mu.Unlock()
	c.leaveQueue()
	c.asked = true
	l.asked++
	_ = c.socket.SetReadDeadline(past) // It fails only if the connection is closed.
}

// evict closes a connection for others, unless it no longer waits for its client.
func (l *Listener) evict(c *Conn, reason string) {
	l.mu.Lock()
	waits, sentPart := c.element != nil, c.reserved > 0 || c.phase == sendingBody
	if waits {
		c.evicted = true
		l.forget(c)
	}
	l.mu.Unlock()
	if waits {
		c.closeForOthers(reason, sentPart)
	}
}

// Group is the listeners whose clients share the budget of memory.
type Group struct {
	mu        sync.Mutex
	listeners []*Listener
}

func (g *Group) add(l *Listener) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listeners = append(g.listeners, l)
}

// evict closes the connection, of all listeners, that has waited longest for its client among those for which match holds, and
// reports whether there was one.
func (g *Group) evict(reason string, match func(*Conn) bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	var longest *Conn
	var since time.Time
	for _, l := range g.listeners {
		if c, at := l.longestWaiting(match); c != nil && (longest == nil || at.Before(since)) {
			longest, since = c, at
		}
	}
	if longest == nil {
		return false
	}
	longest.listener.evict(longest, reason)
	return true
}

// evictHead closes a connection with an unfinished head for which memory is reserved, other than except.
func (g *Group) evictHead(except *Conn) bool {
	return g.evict(endHeadMemory, func(c *Conn) bool { return c != except && c.phase == waiting && c.reserved > 0 })
}

// evictSlowBody closes a connection, other than except, whose client takes longer for the body of a request than it may take for a
// head.
func (g *Group) evictSlowBody(except *Conn) bool {
	return g.evict(endSlowBody, func(c *Conn) bool {
		return c != except && c.phase == sendingBody && time.Since(c.since) > c.listener.Limits().HeadTimeout
	})
}

// TrackState is the http.Server.ConnState hook of the listener's server.
func TrackState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.awaitNext()
	case http.StateHijacked:
		c.setHijacked()
	default:
	}
}

// connKey is the context key of a connection.
type connKey struct{}

// WithConn is the http.Server.ConnContext hook of the listener's server.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connOf returns the guarded connection of a request, or nil.
func connOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Handler returns the handler of the listener's server. It keeps connections with a request from being closed for others, and
// limits how long a body is awaited that next does not read; a handler that reads the body sets read deadlines of its own. The
// server reads the rest of a body before it writes the answer, or after that.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if !c.setBusy() {
			panic(http.ErrAbortHandler) // The client has been told that the request has not run.
		}
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		c.limitUnreadBody()
		next.ServeHTTP(w, r)
		c.limitUnreadBody()
	})
}

// BeginBody lets the connection of a request be closed for others while its handler reads the body. It must be followed by EndBody.
func BeginBody(ctx context.Context) {
	if c := connOf(ctx); c != nil {
		c.beginBody()
	}
}

// EndBody reports whether the request may be run. If not, the connection has been closed and its client may have been told that the
// request has not run.
func EndBody(ctx context.Context) bool {
	c := connOf(ctx)
	return c == nil || c.endBody()
}

// EvictSlowBody closes the connection of another request whose body has been awaited for longest, if that is longer than a head
// may take, and reports whether there was one. The memory for that body is released soon after.
func EvictSlowBody(ctx context.Context) bool {
	c := connOf(ctx)
	return c != nil && c.listener.Group.evictSlowBody(c)
}

// Trust no longer counts the connection of a request, whose client has proved to be a daemon, among those of the listener.
func Trust(ctx context.Context) {
	c := connOf(ctx)
	if c == nil {
		return
	}
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(c)
}
