// Package slownet provides an in-memory network whose hosts have links of limited bandwidth,
// for tests in virtual time. All connections of a host share its link, in each direction;
// data waits for the link in order of arrival.
package slownet

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// segmentSize is the number of bytes that a connection sends before another connection may use
// the link.
const segmentSize = 16 << 10

// Network is a network of hosts that are found by their address.
type Network struct {
	// Delay is the one-way delay between any two hosts.
	Delay time.Duration

	mu    sync.Mutex
	hosts map[string]*Host
	// silenced counts the calls of SilenceConnections.
	silenced atomic.Int64
}

// SilenceConnections makes all open connections deliver nothing more, not even their end. New ones work.
func (n *Network) SilenceConnections() { n.silenced.Add(1) }

// Host is a host on the network with its link. It implements net.Listener.
type Host struct {
	network  *Network
	address  string
	in, out  linkDirection
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once

	// Lag is how long what arrives at the host waits for its processor. It must be set before the host is used.
	Lag time.Duration

	mu     sync.Mutex
	thawed chan struct{} // not nil while the host is frozen
}

// Freeze keeps all data to and from the host waiting until Thaw, like a host whose processes are stopped. It accepts
// no new connection meanwhile.
func (h *Host) Freeze() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.thawed == nil {
		h.thawed = make(chan struct{})
	}
}

// Thaw ends Freeze.
func (h *Host) Thaw() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.thawed != nil {
		close(h.thawed)
		h.thawed = nil
	}
}

// frozen returns a channel that is closed when the host thaws, or nil if it is not frozen.
func (h *Host) frozen() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.thawed
}

// linkDirection is one direction of a host's link.
type linkDirection struct {
	bytesPerSecond float64

	mu        sync.Mutex
	idleAt    time.Time // when all data accepted so far has been sent
	bytesSent int64
}

// reserve queues a number of bytes and returns when they will have been sent over the link.
func (w *linkDirection) reserve(bytes int) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.idleAt.Before(now) {
		w.idleAt = now
	}
	w.idleAt = w.idleAt.Add(time.Duration(float64(bytes) / w.bytesPerSecond * float64(time.Second)))
	w.bytesSent += int64(bytes)
	return w.idleAt
}

// AddHost adds a host with a link of the given bandwidth in each direction.
func (n *Network) AddHost(address string, bytesPerSecond float64) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hosts == nil {
		n.hosts = map[string]*Host{}
	}
	h := &Host{network: n, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	h.in.bytesPerSecond, h.out.bytesPerSecond = bytesPerSecond, bytesPerSecond
	n.hosts[address] = h
	return h
}

// BytesSent returns the number of bytes that the host has sent.
func (h *Host) BytesSent() int64 {
	h.out.mu.Lock()
	defer h.out.mu.Unlock()
	return h.out.bytesSent
}

// Client returns an HTTP client whose connections use the host's link.
func (h *Host) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: h.dial, IdleConnTimeout: idleTimeout}}
}

// idleTimeout ends connections that a client has opened and does not use.
const idleTimeout = 10 * time.Second

func (h *Host) dial(ctx context.Context, _, address string) (net.Conn, error) {
	h.network.mu.Lock()
	to := h.network.hosts[address]
	h.network.mu.Unlock()
	if to == nil {
		return nil, errors.New("no host at " + address)
	}
	if thawed := to.frozen(); thawed != nil {
		select {
		case <-thawed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	// A connection takes a round trip before anything is sent over it.
	if !sleep(ctx, 2*h.network.Delay) {
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	select {
	case to.accepted <- newConn(far, to, h):
		return newConn(near, h, to), nil
	case <-to.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// sleep waits for a time and reports whether ctx is still valid.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Accept implements net.Listener.
func (h *Host) Accept() (net.Conn, error) {
	select {
	case c := <-h.accepted:
		return c, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *Host) Close() error {
	h.once.Do(func() { close(h.closed) })
	return nil
}

// Addr implements net.Listener.
func (h *Host) Addr() net.Addr { return hostAddr(h.address) }

// hostAddr is a host's address. It implements net.Addr.
type hostAddr string

func (hostAddr) Network() string  { return "tcp" }
func (a hostAddr) String() string { return string(a) }

// maxInFlight is the number of segments that a connection may have on the way, as the window of a TCP connection.
const maxInFlight = 64

// conn is one side of a connection. Segments are on the way independent of each other, and arrive in order.
type conn struct {
	net.Conn
	from, to *Host
	onTheWay chan segment
	closed   chan struct{} // no more writes
	failed   chan struct{} // the other side reads no more
	silenced int64         // the network's count when the connection was opened
	start    sync.Once     // of deliver
	close    sync.Once
}

// segment is data on the way.
type segment struct {
	data      []byte
	arrivesAt time.Time
}

func newConn(pipe net.Conn, from, to *Host) *conn {
	return &conn{Conn: pipe, from: from, to: to, onTheWay: make(chan segment, maxInFlight), closed: make(chan struct{}), failed: make(chan struct{}), silenced: from.network.silenced.Load()}
}

// Write sends over both hosts' links, a segment at a time, and returns when the last one has been sent.
// It returns net.ErrClosed if the connection is closed while a segment waits for the links.
func (c *conn) Write(p []byte) (int, error) {
	c.start.Do(func() { go c.deliver() })
	done := 0
	for done < len(p) {
		next := p[done:min(len(p), done+segmentSize)]
		through := c.from.out.reserve(len(next))
		if in := c.to.in.reserve(len(next)); in.After(through) {
			through = in
		}
		if !c.waitUntil(through) || !c.waitThawed(c.from) {
			return done, net.ErrClosed
		}
		select {
		case c.onTheWay <- segment{append([]byte(nil), next...), time.Now().Add(c.from.network.Delay + c.to.Lag)}:
			done += len(next)
		case <-c.closed:
			return done, net.ErrClosed
		case <-c.failed:
			return done, net.ErrClosed
		}
	}
	return done, nil
}

// deliver passes segments to the other side as they arrive. After Close it delivers those that are on the way.
func (c *conn) deliver() {
	defer func() {
		if !c.silent() {
			_ = c.Conn.Close()
		}
	}()
	defer close(c.failed)
	for {
		var s segment
		select {
		case s = <-c.onTheWay:
		default:
			select {
			case s = <-c.onTheWay:
			case <-c.closed:
				return
			}
		}
		time.Sleep(time.Until(s.arrivesAt))
		for thawed := c.to.frozen(); thawed != nil; thawed = c.to.frozen() {
			<-thawed
		}
		if c.silent() {
			continue
		}
		select {
		case <-c.closed:
			c.boundWrite()
		default:
		}
		if _, err := c.Conn.Write(s.data); err != nil {
			return
		}
	}
}

// silent reports whether the connection delivers nothing more.
func (c *conn) silent() bool { return c.from.network.silenced.Load() > c.silenced }

// closeTimeout bounds how long data on the way to a host that reads no more outlives a closed connection.
const closeTimeout = time.Second

func (c *conn) boundWrite() { _ = c.SetWriteDeadline(time.Now().Add(closeTimeout)) }

// waitUntil waits until a time and reports whether the connection is still open.
func (c *conn) waitUntil(until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.closed:
		return false
	}
}

// waitThawed waits while a host is frozen and reports whether the connection is still open.
func (c *conn) waitThawed(h *Host) bool {
	for {
		thawed := h.frozen()
		if thawed == nil {
			return true
		}
		select {
		case <-thawed:
		case <-c.closed:
			return false
		}
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		select {
		case <-c.closed:
			err = net.ErrClosed
		default:
		}
	}
	return n, err
}

// Close implements net.Conn. A Read or Write that waits returns at once; what is on the way is delivered before the
// other side sees the end.
func (c *conn) Close() error {
	c.close.Do(func() {
		close(c.closed)
		c.boundWrite()
		c.start.Do(func() { go c.deliver() })
		_ = c.SetReadDeadline(time.Unix(1, 0))
	})
	return nil
}
