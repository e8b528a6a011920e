package target

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// RelayedConn is a connection to a target that this daemon opened for another one. The kernel probes it while it is
// silent: the other daemon cannot see that the target's host has died.
type RelayedConn struct {
	*persistConn
	// unanswered counts the bytes sent since the target last sent any.
	unanswered atomic.Int64

	writing sync.Mutex // held during a write; guards writeErr
}

// NewRelayedConn prepares a connection for relaying.
func NewRelayedConn(conn Socket) (*RelayedConn, error) {
	c := &RelayedConn{persistConn: &persistConn{conn: conn, unacked: unackedTimeout}}
	if err := c.prepare(true, 0); err != nil {
		return nil, err
	}
	return c, nil
}

// Read reads from the target. It returns io.EOF only if the target has ended the connection in order: the kernel reports a
// reset once, so the reset that a write has met is an end of file here,
// and so is one that follows the end.
func (c *RelayedConn) Read(b []byte) (int, error) {
	n, err := c.conn.Read(b)
	if n > 0 {
		c.unanswered.Store(0)
	}
	if errors.Is(err, io.EOF) {
		c.writing.Lock()
		defer c.writing.Unlock()
		if c.writeErr != nil {
			return n, c.writeErr
		}
		if resetErr := c.checkNotReset(); resetErr != nil {
			return n, resetErr
		}
	}
	return n, err
}

// Write writes to the target. A target may read a large body slowly.
func (c *RelayedConn) Write(b []byte) (int, error) {
	size := c.unanswered.Add(int64(len(b)))
	if err := c.prepare(size <= maxInlineWrite, int(size)); err != nil {
		return 0, err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.conn.Write(b)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// Close closes the connection.
func (c *RelayedConn) Close() error { return c.conn.Close() }
