package connguard

import (
	"container/list"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"doorstack.dev/core/clientlimit"
	"doorstack.dev/node/sock"
	"github.com/go-faster/errors"
)

// phase is what a connection does.
type phase int

// The phases of a connection.
const (
	// waiting connections wait for the head of a request, or the rest of one.
	waiting phase = iota
	// busy connections have a request with a handler.
	busy
	// sendingBody connections have a request whose handler reads the body.
	sendingBody
	// hijacked connections are those of handlers that speak another protocol; their client has proved nothing yet.
	hijacked
	// uncounted connections are closed, or trusted.
	uncounted
)

// Conn is a connection of a client.
type Conn struct {
	socket
	listener *Listener

	// The listener's lock guards these. since is the start of a phase in which the connection may be closed for others.
	phase   phase
	since   time.Time
	element *list.Element
	// asked reports that the connection was asked to end, unless a request arrives. evicted reports that it has been closed for
	// others.
	asked, evicted bool
	// reserved is the memory that is reserved for the head.
	reserved int64

	// head is the head that is being read, and headDeadline when it must be complete; extended reports that it has been
	// extended. Only the reader uses them.
	head         clientlimit.Head
	headDeadline time.Time
	extended     bool

	// serverDeadlines counts the read deadlines that the server has set.
	serverDeadlines atomic.Int64

	// writeMu guards writeDeadlineSet: whether the server has set a deadline for writes.
	writeMu          sync.Mutex
	writeDeadlineSet bool
}

// leaveQueue takes the connection out of the listener's queue. The listener's lock is held.
func (c *Conn) leaveQueue() {
	if c.element != nil {
		c.listener.waiting.Remove(c.element)
		c.element = nil
	}
}

// awaitNext lets the connection wait for its next request.
func (c *Conn) awaitNext() {
	c.releaseHead()
	c.head, c.extended = clientlimit.Head{}, false
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.phase != uncounted {
		l.enqueue(c, waiting)
	}
}

// setBusy keeps the connection from being closed for others. It reports false if that has happened.
func (c *Conn) setBusy() bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.phase == waiting {
		c.leaveQueue()
		if c.dismissAsk() {
			_ = c.socket.SetReadDeadline(time.Time{})
		}
		c.phase = busy
	}
	return !c.evicted
}

// dismissAsk withdraws a request to end, and reports whether there was one. The listener's lock is held.
func (c *Conn) dismissAsk() bool {
	if !c.asked {
		return false
	}
	c.asked = false
	c.listener.asked--
	c.listener.signalChange()
	return true
}

// keepAsked lets a connection that was asked to end go on, as a part of a request has arrived, and reports whether it was asked.
// It may be asked again at once if the rest does not arrive.
func (c *Conn) keepAsked() bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.dismissAsk() {
		return false
	}
	c.element = l.waiting.PushFront(c)
	return true
}

// endAsked ends the connection if it was asked to, and reports whether it was.
func (c *Conn) endAsked() bool {
	l := c.listener
	l.mu.Lock()
	asked := c.asked
	if asked {
		c.evicted = true
		l.forget(c)
	}
	l.mu.Unlock()
	if asked {
		c.closeForOthers(endEvicted, c.head.Started())
	}
	return asked
}

// setHijacked lets the connection be closed for others until it is trusted.
func (c *Conn) setHijacked() {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.phase != uncounted {
		l.enqueue(c, hijacked)
	}
}

// beginBody lets the connection be closed for others while a handler reads the body.
func (c *Conn) beginBody() {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.phase == busy {
		l.enqueue(c, sendingBody)
	}
}

// endBody ends that, and reports false if the connection has been closed.
func (c *Conn) endBody() bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.phase == sendingBody {
		c.leaveQueue()
		c.phase = busy
	}
	return !c.evicted
}

// currentPhase returns the phase and its start.
func (c *Conn) currentPhase() (phase, time.Time) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.phase, c.since
}

// Read implements net.Conn. While the connection waits for a head, it applies the limits on heads and idle time.
func (c *Conn) Read(p []byte) (int, error) {
	current, since := c.currentPhase()
	if current != waiting {
		return c.socket.Read(p)
	}
	limits := c.listener.Limits()
	set := c.serverDeadlines.Load()
	n, err := c.readHead(p, since, &limits)
	if n > 0 {
		c.keepAsked()
		if r := c.addToHead(p[:n], &limits); r != nil {
			return 0, c.refuse(r)
		}
		return n, err
	}
	if !isTimeout(err) {
		return n, err
	}
	if c.endAsked() {
		return 0, readError(endEvicted)
	}
	if c.serverDeadlines.Load() != set {
		return n, err
	}
	if current, _ = c.currentPhase(); current != waiting {
		// The server had the head in its buffer. It reads on to find out whether the client disconnects.
		_ = c.socket.SetReadDeadline(time.Time{})
		return c.socket.Read(p)
	}
	return 0, c.endWait(err)
}

// readHead reads a part of a head.
func (c *Conn) readHead(p []byte, since time.Time, limits *Limits) (int, error) {
	deadline := since.Add(limits.IdleTimeout)
	if c.head.Started() {
		deadline = c.headDeadline
	}
	c.limitRead(deadline)
	n, err := c.socket.Read(p)
	if n > 0 || !isTimeout(err) || sock.Peek(c.socket) != sock.Readable {
		return n, err
	}
	// The client was in time; this host was not.
	if !c.keepAsked() {
		if c.extended {
			return n, err
		}
		c.extended = true
		c.headDeadline = time.Now().Add(limits.HeadTimeout)
		deadline = c.headDeadline
	}
	c.limitRead(deadline)
	return c.socket.Read(p)
}

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// limitRead sets the deadline of the next read of a connection that waits for a request.
func (c *Conn) limitRead(deadline time.Time) {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.asked {
		deadline = past
	}
	_ = c.socket.SetReadDeadline(deadline) // It fails only if the connection is closed, as the read will.
}

// addToHead measures a part of a head, and returns a refusal if the head takes too much.
func (c *Conn) addToHead(p []byte, limits *Limits) *refusal {
	if !c.head.Started() && !c.extended {
		c.headDeadline = time.Now().Add(limits.HeadTimeout)
	}
	state := c.head.Add(p, limits.MaxHead)
	switch {
	case state == clientlimit.HeadTooLarge:
		return &headTooLarge
	case !c.reserveHead():
		return &headMemoryExhausted
	case state == clientlimit.HeadComplete && !c.setBusy():
		return &headMemoryExhausted
	}
	return nil
}

const (
	// unreservedHead is the memory of a head of usual size, in bytes, which is part of what a connection takes.
	unreservedHead = 16 << 10
	// headMemoryShare is the share of the budget up to which memory is reserved for heads.
	headMemoryShare = 0.5
)

// reserveHead reserves memory for what has arrived of the head. It reports false if there is none, although no other connection
// waits for the rest of such a head, or if this one has been closed for another.
func (c *Conn) reserveHead() bool {
	l := c.listener
	l.mu.Lock()
	missing, evicted := c.head.Memory()-unreservedHead-c.reserved, c.evicted
	l.mu.Unlock()
	if evicted || missing <= 0 {
		return !evicted
	}
	for !l.Memory.TryReserve(missing, headMemoryShare) {
		if !l.Group.evictHead(c) {
			return false
		}
	}
	l.mu.Lock()
	evicted = c.evicted
	if !evicted {
		c.reserved += missing
	}
	l.mu.Unlock()
	if evicted {
		l.Memory.Release(missing)
	}
	return !evicted
}

// releaseHead releases the memory that is reserved for the head.
func (c *Conn) releaseHead() {
	c.listener.mu.Lock()
	reserved := c.reserved
	c.reserved = 0
	c.listener.mu.Unlock()
	c.listener.Memory.Release(reserved)
}

// endWait ends a connection whose client has sent nothing, or only a part of a head, in time. It returns the error for the
// server.
func (c *Conn) endWait(err error) error {
	if c.head.Started() {
		return c.refuse(&headTimeout)
	}
	c.listener.countEnd(endIdle)
	return err
}

// isTimeout reports whether a read failed because its deadline passed.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// refuse answers a head that is not read to its end, and returns the error for the server, which closes the connection.
func (c *Conn) refuse(r *refusal) error {
	c.listener.countEnd(r.reason)
	c.releaseHead()
	_ = c.socket.SetDeadline(time.Now().Add(lingerTimeout))
	if _, err := c.socket.Write([]byte(r.answer)); err == nil && c.CloseWrite() == nil {
		c.discard()
	}
	return readError(r.reason)
}

// readError returns an error at which the server closes a connection without an answer.
func readError(reason string) error {
	return &net.OpError{Op: "read", Net: "tcp", Err: errors.New(reason)}
}

// closeForOthers closes a connection that the listener has forgotten. A client that has sent a part of a request, as far as that is
// known, is told that it has not run.
func (c *Conn) closeForOthers(reason string, sentPart bool) {
	c.listener.countEnd(reason)
	c.releaseHead()
	if sentPart {
		tryWrite(c.socket, gaveWayAnswer)
	}
	_ = c.socket.Close()
}

// limitUnreadBody limits how long the server waits for the rest of a body before it closes the connection. The server ends the
// limit once it has the rest.
func (c *Conn) limitUnreadBody() {
	if current, _ := c.currentPhase(); current == busy {
		_ = c.socket.SetReadDeadline(time.Now().Add(c.listener.Limits().HeadTimeout))
	}
}

// Write implements net.Conn. It sets a deadline, unless the server or a handler has set one.
func (c *Conn) Write(p []byte) (int, error) {
	if current, _ := c.currentPhase(); current != hijacked && current != uncounted {
		c.limitWrite()
	}
	return c.socket.Write(p)
}

func (c *Conn) limitWrite() {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if !c.writeDeadlineSet {
		_ = c.socket.SetWriteDeadline(time.Now().Add(c.listener.Limits().WriteTimeout))
	}
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.serverDeadlines.Add(1)
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.asked {
		return nil // The reader is being woken, and sets the next deadline.
	}
	return c.socket.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.writeDeadlineSet = !t.IsZero()
	return c.socket.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	l := c.listener
	l.mu.Lock()
	l.forget(c)
	l.mu.Unlock()
	c.releaseHead()
	keepAnswer(c.socket)
	return c.socket.Close()
}
