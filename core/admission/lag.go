package admission

import "time"

// Lag is how far a daemon is behind its own events, from samples of how long something that
// has arrived waits for the processor. The zero value knows of no sample.
//
// One long sample is no queue: a process that was paused or used up its share of a core for
// the moment catches up at once. A queue stands where the last two samples are long, and the
// one under way counts once it is longer than the older of them.
type Lag struct {
	lastWait, previousWait time.Duration
	// pending is since when the sample under way waits; zero where there is none.
	pendingSince time.Time
}

// Begin notes that a sample was sent.
func (l *Lag) Begin(at time.Time) { l.pendingSince = at }

// End notes that the sample under way has had its turn.
func (l *Lag) End(at time.Time) {
	if l.pendingSince.IsZero() {
		return
	}
	l.lastWait, l.previousWait = at.Sub(l.pendingSince), l.lastWait
	l.pendingSince = time.Time{}
}

// Pending tells whether a sample is under way.
func (l *Lag) Pending() bool { return !l.pendingSince.IsZero() }

// Standing is how long what arrives has to wait at least.
func (l *Lag) Sustained(now time.Time) time.Duration {
	other := l.previousWait
	if !l.pendingSince.IsZero() {
		other = max(other, now.Sub(l.pendingSince))
	}
	return min(l.lastWait, other)
}

// Which calls a daemon that is behind refuses.
const (
	// maxLagShareOfGoal is the part of a call's goal that one wait for the processor may take. A call has
	// some five turns before its answer begins: its head, the answer to its question for a
	// place, the connection to its target, the send, the first event; and the queue goes on
	// growing until the next samples tell of it.
	maxLagShareOfGoal = 0.1
	// minRefusedLag is a wait for which no call is refused: on a weak host the check of a change of
	// settings and the collection of garbage take this long beside the calls.
	minRefusedLag = 30 * time.Millisecond
	// maxLagWithoutGoal is the wait from which a call without a goal is refused: a tenth of the second
	// after which callers leave a connection on which nothing is read.
	maxLagWithoutGoal = 100 * time.Millisecond
)

// OverloadCheck is what a daemon knows when a call reaches it while it is behind its own events.
type OverloadCheck struct {
	// Lag is the wait for the processor that stands, as Lag.Standing tells it.
	Lag time.Duration
	// Goal is the time to the first event that the call's route asks for; zero where it has none.
	Goal time.Duration
}

// Refuse tells whether the call is refused at once, for which a daemon needs a fraction of the
// time that serving it takes. Who takes all that comes at twice what the processor can serve
// serves nobody in time (TestRefusingWhileOverloadedKeepsCallsWithinGoal). A caller comes back at once
// (otherDaemonRetryAfter), since it reaches another daemon.
func (b OverloadCheck) Refuse() bool {
	bound := maxLagWithoutGoal
	if b.Goal > 0 {
		bound = time.Duration(maxLagShareOfGoal * float64(b.Goal))
	}
	return b.Lag > max(minRefusedLag, bound)
}

// RetryAfter is when a call that is refused should come back.
func (OverloadCheck) RetryAfter() time.Duration { return otherDaemonRetryAfter }
