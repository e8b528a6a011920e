package api

import (
	"net"
	"net/http"
	"sync"
	"time"

	"doorstack.dev/node/blackboard"
)

// defaultIdleTimeout is how long a caller's connection may be idle if the settings set no
// timeout.
const defaultIdleTimeout = 2 * time.Minute

// IdleConns closes connections of callers after the idle timeout of the current settings.
// http.Server.IdleTimeout cannot be used, as it is fixed when the server starts.
type IdleConns struct {
	Board *blackboard.Blackboard

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

// Track starts or stops the idle timer of a connection. It is an http.Server.ConnState hook.
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

// timeout returns the idle timeout of the current settings.
func (c *IdleConns) timeout() time.Duration {
	if view := c.Board.Settings.Current(); view != nil {
		if set := time.Duration(view.Tree.CallerLimits().IdleTimeout); set > 0 {
			return set
		}
	}
	return defaultIdleTimeout
}
