package target

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"doorstack.dev/core/fault"
	"doorstack.dev/core/reach"
	"github.com/go-faster/errors"
)

// The bounds of connections to targets.
const (
	// connectTimeout is many times the round trip between data centres (2 ms) and
	// below the shortest goal for an answer (300 ms).
	connectTimeout = 250 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged. Without it a target
	// whose host lost power or network would not be noticed.
	unackedTimeout = time.Second
	// relayTimeout bounds the opening of a relayed connection, in which the relay connects to the target within
	// connectTimeout.
	relayTimeout = 2 * connectTimeout
)

var (
	// ErrUnreachableFromRelay means that a relay could not connect to the target either.
	ErrUnreachableFromRelay = errors.New("the relay cannot connect to the target")
	// ErrRelayEnded means that a relayed connection ended without the relay's word that the target had ended it.
	ErrRelayEnded = errors.New("the relay ended the connection")
	// ErrNoPath means that this host has lost its path to the target and that no other daemon relays for it.
	ErrNoPath = errors.New("this host has no path to the target, and no other host relays for it")
)

// Relays opens connections to targets through other daemons.
type Relays interface {
	// Candidates returns this daemon and the daemons that may serve as relays.
	Candidates() (self reach.Relay, relays []reach.Relay)
	// Open connects to a target through a relay. The error is ErrUnreachableFromRelay if the target is at fault. Reads
	// from the connection return io.EOF only if the target has ended it, and ErrRelayEnded if that is not known.
	Open(ctx context.Context, relay, address string) (Socket, error)
	// Usable reports whether connections through a relay may carry further calls.
	Usable(relay string) bool
	// Targets returns the addresses of all known targets.
	Targets() map[string]bool
}

// Connector opens connections to targets, directly or through relays, and records which paths work.
type Connector struct {
	// Dial opens a TCP connection. Tests replace it to cut the host off.
	Dial func(ctx context.Context, address string) (Socket, error)
	// Relays is nil if all connections are direct.
	Relays Relays
	// OnConnect is called after each attempt to connect, with the state of all paths; nil means no call.
	OnConnect func(relay string, connected bool, paths reach.Summary)

	// spare takes a connection that was opened and is not needed at once.
	spare func(*persistConn)

	mu        sync.Mutex
	paths     *reach.Paths
	verifying map[string]*verification // by target address
}

// NewConnector returns a Connector that knows no path yet.
func NewConnector() *Connector {
	return &Connector{Dial: DialTCP, paths: reach.New(), spare: (*persistConn).close, verifying: map[string]*verification{}}
}

// Socket is a TCP connection.
type Socket interface {
	net.Conn
	syscall.Conn
	SetKeepAliveConfig(config net.KeepAliveConfig) error
}

// DialTCP opens a TCP connection with the timeouts of connections to targets.
func DialTCP(ctx context.Context, address string) (Socket, error) {
	return dial(ctx, address, &net.Dialer{Timeout: connectTimeout, KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		return setUnackedTimeout(raw, unackedTimeout)
	}})
}

// DialForLargeBodies opens a TCP connection to a target that may read a large body slowly.
func DialForLargeBodies(ctx context.Context, address string) (Socket, error) {
	return dial(ctx, address, &net.Dialer{Timeout: dialTimeout})
}

func dial(ctx context.Context, address string, dialer *net.Dialer) (Socket, error) {
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return conn.(*net.TCPConn), nil
}

// AllLost reports whether this host counts as cut off from all targets.
func (c *Connector) AllLost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.paths.AllLost()
}

// Lost reports whether this host's own path to a target counts as lost.
func (c *Connector) Lost(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.paths.Lost(address)
}

// Summary returns the state of the paths.
func (c *Connector) Summary() reach.Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.paths.Summary()
}

// ConnectDirect opens a direct connection to a target and records whether that worked.
func (c *Connector) ConnectDirect(ctx context.Context, address string) (Socket, error) {
	began := time.Now()
	conn, err := c.Dial(ctx, address)
	if err == nil || ctx.Err() == nil { // A cancelled attempt says nothing about the path.
		c.recordDirect(address, began, err)
	}
	return conn, err
}

// recordDirect records the end of a direct attempt to connect.
func (c *Connector) recordDirect(address string, began time.Time, err error) {
	c.update("", err == nil, func(p *reach.Paths, now time.Time) {
		if err == nil {
			p.DirectConnected(address, now.Sub(began))
		} else {
			p.DirectFailed(address)
		}
	})
}

// CheckOwnPath reports whether this host's path works although a direct connection to a target has failed: it connects to
// another target.
func (c *Connector) CheckOwnPath(ctx context.Context, address string) bool {
	c.mu.Lock()
	reference, known := c.paths.ReferenceTarget(address)
	c.mu.Unlock()
	if !known {
		return false
	}
	conn, err := c.ConnectDirect(ctx, reference)
	if err != nil {
		if ctx.Err() == nil {
			c.update("", false, func(p *reach.Paths, _ time.Time) { p.ReferenceFailed() })
		}
		return false
	}
	c.spare(newPersistConn(reference, "", conn))
	return true
}

// update changes the paths and reports an attempt to connect.
func (c *Connector) update(relay string, connected bool, change func(*reach.Paths, time.Time)) {
	c.mu.Lock()
	change(c.paths, time.Now())
	summary := c.paths.Summary()
	c.mu.Unlock()
	if c.OnConnect != nil {
		c.OnConnect(relay, connected, summary)
	}
}

// connect opens a connection to a target, directly or through a relay.
func (c *Connector) connect(ctx context.Context, address string) (net.Conn, error) {
	pc, err := c.open(ctx, address)
	if err != nil {
		return nil, err
	}
	return pc.conn, nil // A target sends nothing before the first call, so the reader holds no bytes.
}

// ways returns the ways to a target, in the order in which to try them.
func (c *Connector) ways(address string) []reach.Way {
	if c.Relays == nil {
		return []reach.Way{{}}
	}
	self, relays := c.Relays.Candidates()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.paths.Ways(address, self, relays, time.Now())
}

// preferred reports whether a kept connection is one that would be opened now: a direct one unless the path is lost,
// and otherwise one through a relay that is still usable.
func (c *Connector) preferred(pc *persistConn) bool {
	lost := c.Lost(pc.address)
	if pc.relay == "" {
		return !lost
	}
	return lost && c.Relays.Usable(pc.relay)
}

// verification is an attempt to connect that tells why a call failed.
type verification struct {
	done chan struct{}
	// connected reports, once done is closed, whether the target was reached in some way.
	connected bool
}

// verify finds out, in the background, whether a target can be reached, and in which ways.
func (c *Connector) verify(address string) *verification {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v := c.verifying[address]; v != nil {
		return v
	}
	v := &verification{done: make(chan struct{})}
	c.verifying[address] = v
	go func() {
		defer close(v.done)
		ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
		defer cancel()
		if pc, err := c.open(ctx, address); err == nil {
			v.connected = true
			c.spare(pc)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.verifying, address)
	}()
	return v
}

// verifyReference finds out whether the path to another target works too, once that to one target is lost. Otherwise each
// target would be found to be lost only by a call that its open connections hold up.
func (c *Connector) verifyReference(address string) {
	c.mu.Lock()
	reference, known := c.paths.ReferenceTarget(address)
	c.mu.Unlock()
	if known {
		c.verify(reference)
	}
}

// PathFailed reports whether a call failed because of the path to its target and not because of the target. relay is
// the daemon that the call went through, if any. It waits until a new attempt to connect has shown which, at most
// relayTimeout.
func (c *Connector) PathFailed(address, relay string, err error) bool {
	switch {
	case errors.Is(err, ErrNoPath):
		return true
	case c.Relays == nil || ExecutionOf(err) == fault.NotRun:
		return false // The ways to the target have been tried.
	}
	v := c.verify(address)
	<-v.done
	if relay == "" {
		return c.Lost(address)
	}
	return v.connected
}

// MayBePathFailure reports whether a call may have failed because of the path to its target: no byte arrived for too long, or
// the connection was reset or ended by a relay. Any other connection that ends in order was ended by the target.
func MayBePathFailure(err error) bool {
	return errors.Is(err, ErrRelayEnded) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, ErrNoPath)
}

// probeCheckInterval is how often it is checked whether a probe of a lost path is due, and forgetInterval how often
// what is known of targets that are gone is removed.
const (
	probeCheckInterval = 100 * time.Millisecond
	forgetInterval     = 10 * time.Second
)

// Run probes lost paths until ctx ends.
func (c *Connector) Run(ctx context.Context) {
	ticker := time.NewTicker(probeCheckInterval)
	defer ticker.Stop()
	forget := time.NewTicker(forgetInterval)
	defer forget.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-forget.C:
			c.forget(now)
		case now := <-ticker.C:
			c.mu.Lock()
			address, due := c.paths.Probe(now)
			c.mu.Unlock()
			if due {
				go c.probe(ctx, address)
			}
		}
	}
}

func (c *Connector) probe(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	if conn, err := c.ConnectDirect(ctx, address); err == nil {
		c.spare(newPersistConn(address, "", conn))
	}
}

// forget removes what is known of targets that no longer exist.
func (c *Connector) forget(now time.Time) {
	if c.Relays == nil {
		return
	}
	targets := c.Relays.Targets()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paths.Forget(func(address string) bool { return targets[address] }, now)
}
