package api

import (
	"net"
	"net/http"
	"sync"
	"time"

	"doorstack.dev/node/blackboard"
)

// defaultIdleTimeout is how long a caller's connection may be idle where the settings do not
// say.
const defaultIdleTimeout = 2 * time.Minute

// IdleConns closes connections of callers that were idle for as long as the settings in
// force allow. The HTTP server's own timeout is fixed at its start.
type IdleConns struct {
	Board *blackboard.Blackboard

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

// Track is the HTTP server's hook for the states of its connections.
func (c *IdleConns) Track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if timer := c.timers[conn]; timer != nil {
		timer.Stop()
		delete(c.timers, conn)
	}
	if state != http.StateIdle {
		return
	}
	if c.timers == nil {
		c.timers = map[net.Conn]*time.Timer{}
	}
	c.timers[conn] = time.AfterFunc(c.timeout(), func() { _ = conn.Close() })
}

// timeout is the idle time in force.
func (c *IdleConns) timeout() time.Duration {
	if view := c.Board.Settings.Current(); view != nil {
		if set := time.Duration(view.Tree.CallerLimits().IdleTimeout); set > 0 {
			return set
		}
	}
	return defaultIdleTimeout
}
