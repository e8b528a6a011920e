package watch

import "time"

// Coverage tracks whether a daemon that does not watch the store can still learn of changes from the
// daemons that do.
//
// Changes travel over the links between neighbours. Daemons that no change reaches any more, because
// the watchers have ended or are cut off, have a link to a neighbour that does not answer: otherwise they
// would be linked to a watcher. So a daemon reads the store in place of the watchers from when
// a neighbour does not answer until the neighbour answers again, or until another one
// reports that a watcher has read the store since. It need not know which neighbour watches, nor wait
// until one counts as dead.
//
// Coverage is a pure state machine without a clock or I/O.
type Coverage struct {
	// watcherReadAt is the latest time at which a watcher is known to have read the store.
	watcherReadAt time.Time
	// unanswered holds the time of the first heartbeat that a neighbour did not answer, by neighbour.
	unanswered map[string]time.Time
}

// maxUnanswered is how long a neighbour that does not answer makes a daemon read the store. By then the
// neighbour counts as dead, as do all daemons that ended with it, and others watch.
const maxUnanswered = 6 * time.Second

// RecordWatcherRead records that a watcher, which may be this daemon, has read the store at a time or later.
func (c *Coverage) RecordWatcherRead(at time.Time) {
	if at.After(c.watcherReadAt) {
		c.watcherReadAt = at
	}
}

// RecordAnswer records that a neighbour has answered a heartbeat sent at a time, and how long before its
// answer it knows a watcher to have read the store; zero means that it knows of no read.
func (c *Coverage) RecordAnswer(neighbour string, sent time.Time, watcherReadAge time.Duration) {
	delete(c.unanswered, neighbour)
	if watcherReadAge > 0 {
		c.RecordWatcherRead(sent.Add(-watcherReadAge))
	}
}

// RecordUnanswered records that a neighbour has not answered a heartbeat in time.
func (c *Coverage) RecordUnanswered(neighbour string, now time.Time) {
	if c.unanswered == nil {
		c.unanswered = map[string]time.Time{}
	}
	for name, since := range c.unanswered {
		if now.Sub(since) >= 2*maxUnanswered {
			delete(c.unanswered, name)
		}
	}
	if _, known := c.unanswered[neighbour]; !known {
		c.unanswered[neighbour] = now
	}
}

// MustRead reports whether the daemon has to read the store in place of the watchers.
func (c *Coverage) MustRead(now time.Time) bool {
	for _, since := range c.unanswered {
		if since.After(c.watcherReadAt) && now.Sub(since) < maxUnanswered {
			return true
		}
	}
	return false
}

// WatcherReadAge returns how long ago a watcher is known to have read the store, or zero if none is.
func (c *Coverage) WatcherReadAge(now time.Time) time.Duration {
	if c.watcherReadAt.IsZero() {
		return 0
	}
	return max(1, now.Sub(c.watcherReadAt))
}
