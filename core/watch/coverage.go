package watch

import (
	"math"
	"time"

	"doorstack.dev/core/rendezvous"
)

// Coverage tracks whether a daemon that does not watch the store can still learn of changes from the
// daemons that do. When it cannot, the daemon reads the store in place of the watchers. There are two reasons:
//
//   - A neighbour does not answer. Changes travel over the links between neighbours. Daemons that no change
//     reaches any more, because the watchers have ended or are cut off, have a link to a
//     neighbour that does not answer: otherwise they would be linked to a watcher. So the daemon reads the store at
//     once, until the neighbour answers again, or until another one reports that a watcher has read
//     the store since. It need not know which neighbour watches, nor wait until one counts as dead.
//   - Nobody is known to read the store. Daemons tell each other how long ago it was read, and whether
//     their own reads fail. The store may refuse all watchers and serve others, so one daemon
//     after the other tries, until one of them succeeds and tells the others. It goes on until
//     a watcher has read the store.
//
// Coverage is a pure state machine without a clock or I/O.
type Coverage struct {
	// turn is this daemon's place in the order in which daemons try to read the store, between 0 and 1.
	turn float64
	// daemons is the number of daemons in the fleet.
	daemons int
	// maxReadAge is how old the latest read by any daemon may be.
	maxReadAge time.Duration
	// watcherReadAt and readAt are the latest times at which a watcher, and any daemon, is known to have read the store.
	watcherReadAt, readAt time.Time
	// unanswered holds the time of the first heartbeat that a neighbour did not answer, and failing the time
	// from which it has reported that its reads fail, by neighbour.
	unanswered, failing map[string]time.Time
	// substituteSince is when this daemon began to read the store because nobody did; zero while it does not.
	substituteSince time.Time
	// failures counts this daemon's own failed reads since the store was last read, and failedAt is the time of the last.
	failures int
	failedAt time.Time
}

const (
	// maxUnanswered is how long a neighbour that does not answer makes a daemon read the store. By then the
	// neighbour counts as dead, as do all daemons that ended with it, and others watch.
	maxUnanswered = 6 * time.Second
	// reportTime is how long it takes as a rule until others know that a daemon has read the store: two
	// heartbeats.
	reportTime = 2 * time.Second
	// turnInterval is the mean time between the calls of daemons that try to read the store, so that an outage
	// is not met by a call of each daemon at once. It doubles with each failed call up to maxTurnDoublings times.
	turnInterval     = 50 * time.Millisecond
	maxTurnDoublings = 4
)

// NewCoverage returns the coverage of a daemon, given how long watches of the store are held.
func NewCoverage(self string, hold time.Duration) *Coverage {
	return &Coverage{
		turn: float64(rendezvous.Score("substitute", self)) / math.MaxUint64, daemons: 1,
		maxReadAge: hold + AnswerMargin + reportTime,
		unanswered: map[string]time.Time{}, failing: map[string]time.Time{},
	}
}

// SetHold sets how long watches of the store are held.
func (c *Coverage) SetHold(hold time.Duration) { c.maxReadAge = hold + AnswerMargin + reportTime }

// SetDaemons sets the number of daemons in the fleet.
func (c *Coverage) SetDaemons(n int) { c.daemons = max(1, n) }

// RecordRead records that this daemon has read the store, as a watcher or not.
func (c *Coverage) RecordRead(at time.Time, watches bool) {
	switch {
	case watches:
		c.recordWatcherRead(at)
	case c.substituteSince.IsZero() && !c.readAt.IsZero() && !at.Before(c.unreadFrom()):
		c.substituteSince = at
	}
	c.readAt, c.failures = later(c.readAt, at), 0
}

// RecordFailure records that the store has not answered this daemon.
func (c *Coverage) RecordFailure(at time.Time) {
	if c.readAt.After(c.failedAt) {
		c.failures = 0
	}
	c.failures, c.failedAt = c.failures+1, at
}

// Fails reports whether this daemon has to read the store, as a watcher or not, and cannot.
func (c *Coverage) Fails(watches bool) bool {
	return c.failures > 0 && (watches || !c.readAt.After(c.failedAt))
}

// ReadAges are what daemons tell each other of reads of the store. An age of zero means that no read is known.
type ReadAges struct {
	// Watcher and Any are how long ago a watcher, and any daemon, is known to have read the store.
	Watcher, Any time.Duration
	// Fails reports whether the sender's own reads fail.
	Fails bool
}

// Ages returns what to tell other daemons, one that watches or not.
func (c *Coverage) Ages(now time.Time, watches bool) ReadAges {
	return ReadAges{Watcher: age(c.watcherReadAt, now), Any: age(c.readAt, now), Fails: c.Fails(watches)}
}

// RecordReport records what a neighbour has told.
func (c *Coverage) RecordReport(neighbour string, r ReadAges, now time.Time) {
	if r.Any > 0 {
		c.readAt = later(c.readAt, now.Add(-r.Any))
	}
	if r.Fails {
		record(c.failing, neighbour, now)
	} else {
		delete(c.failing, neighbour)
	}
}

// RecordAnswer records that a neighbour has answered a heartbeat sent at a time. What it tells of watchers counts from
// then, so that an answer that was long on its way proves nothing about the time since.
func (c *Coverage) RecordAnswer(neighbour string, sent time.Time, r ReadAges) {
	delete(c.unanswered, neighbour)
	if r.Watcher > 0 {
		c.recordWatcherRead(sent.Add(-r.Watcher))
	}
}

func (c *Coverage) recordWatcherRead(at time.Time) {
	c.watcherReadAt, c.readAt = later(c.watcherReadAt, at), later(c.readAt, at)
	if c.watcherReadAt.After(c.substituteSince) {
		c.substituteSince = time.Time{}
	}
}

// RecordUnanswered records that a neighbour has not answered a heartbeat in time.
func (c *Coverage) RecordUnanswered(neighbour string, now time.Time) {
	record(c.unanswered, neighbour, now)
}

// record adds a neighbour to a map with the time from which it is in it, and removes those that are in it for long.
func record(m map[string]time.Time, neighbour string, now time.Time) {
	for name, since := range m {
		if now.Sub(since) >= maxRecorded {
			delete(m, name)
		}
	}
	if _, known := m[neighbour]; !known {
		m[neighbour] = now
	}
}

// maxRecorded is how long a neighbour's state is remembered unless it is reported again.
const maxRecorded = time.Minute

// unreadFrom returns the time from which nobody counts as reading the store.
func (c *Coverage) unreadFrom() time.Time {
	from := c.readAt.Add(c.maxReadAge)
	for _, since := range c.failing {
		if since.After(c.readAt) {
			from = earlier(from, since.Add(reportTime))
		}
	}
	return from
}

// Due returns when this daemon has to read the store in place of the watchers.
func (c *Coverage) Due(now time.Time) time.Time {
	due := c.unreadFrom().Add(c.turns(c.turn, 0))
	if !c.substituteSince.IsZero() {
		due = earlier(due, c.substituteSince)
	}
	for _, since := range c.unanswered {
		if since.After(c.watcherReadAt) && now.Sub(since) < maxUnanswered {
			due = earlier(due, since)
		}
	}
	if c.failures > 0 && !c.readAt.After(c.failedAt) {
		due = later(due, c.failedAt.Add(c.turns(0.5+c.turn, c.failures)))
	}
	return due
}

// turns returns the time that a share of the fleet takes to have its turns, after a number of failed reads.
func (c *Coverage) turns(share float64, failures int) time.Duration {
	return time.Duration(share * float64(c.daemons) * float64(turnInterval<<min(failures, maxTurnDoublings)))
}

// MustRead reports whether the daemon has to read the store in place of the watchers.
func (c *Coverage) MustRead(now time.Time) bool { return !c.Due(now).After(now) }

// ReadAt returns the latest time at which any daemon is known to have read the store.
func (c *Coverage) ReadAt() time.Time { return c.readAt }

// age returns the time since a read, at least the shortest, or zero if there was none.
func age(at, now time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return max(1, now.Sub(at))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
