package target

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"doorstack.dev/core/reach"
)

// The bounds of connections to targets.
const (
	// connectTimeout is many times the round trip between data centres (2 ms) and
	// below the shortest goal for an answer (300 ms).
	connectTimeout = 250 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged. Without it a target
	// whose host lost power or network would not be noticed.
	unackedTimeout = time.Second
)

// Connector opens connections to targets and records which paths work.
type Connector struct {
	// Dial opens a TCP connection. Tests replace it to cut the host off.
	Dial func(ctx context.Context, address string) (Socket, error)
	// OnConnect is called after each attempt to connect, with the state of all paths; nil means no call.
	OnConnect func(connected bool, paths reach.Summary)

	mu    sync.Mutex
	paths *reach.Paths
}

// NewConnector returns a Connector that knows no path yet.
func NewConnector() *Connector { return &Connector{Dial: dialTCP, paths: reach.New()} }

// Socket is a TCP connection.
type Socket interface {
	net.Conn
	syscall.Conn
	SetKeepAliveConfig(config net.KeepAliveConfig) error
}

func dialTCP(ctx context.Context, address string) (Socket, error) {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		return setUnackedTimeout(raw, unackedTimeout)
	}}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return conn.(*net.TCPConn), nil
}

// open opens a connection to a target.
func (c *Connector) open(ctx context.Context, address string) (*persistConn, error) {
	conn, err := c.Dial(ctx, address)
	c.record(ctx, address, err)
	if err != nil {
		return nil, err
	}
	pc := &persistConn{address: address, conn: conn, idleTimeout: defaultIdleTimeout, unacked: unackedTimeout}
	pc.reader = bufio.NewReaderSize(conn, readBufferSize)
	return pc, nil
}

// record records the end of an attempt to connect, unless it ended because ctx did.
func (c *Connector) record(ctx context.Context, address string, err error) {
	if err != nil && ctx.Err() != nil {
		return
	}
	now := time.Now()
	c.mu.Lock()
	if err == nil {
		c.paths.DirectConnected(address, now)
	} else {
		c.paths.DirectFailed(address, now)
	}
	summary := c.paths.Summary()
	c.mu.Unlock()
	if c.OnConnect != nil {
		c.OnConnect(err == nil, summary)
	}
}

// forget removes what is known of targets that are no longer used.
func (c *Connector) forget(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paths.Forget(now)
}
