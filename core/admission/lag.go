package admission

import "time"

// Lag measures how long the events of a daemon queue for the processor. Its samples are the
// times that an event, once it has arrived, waits until the daemon handles it. The zero value
// has no samples.
//
// A single long sample does not show a queue: a process that was paused, or that used up its
// CPU quota for the moment, catches up at once. There is a queue where the last two samples
// are long. A sample in progress counts once it is longer than the older of the two.
type Lag struct {
	lastWait, previousWait time.Duration
	// pendingSince is the start of the sample in progress; zero if there is none.
	pendingSince time.Time
}

// Begin starts a sample.
func (l *Lag) Begin(at time.Time) { l.pendingSince = at }

// End completes the sample in progress: the daemon has handled the event.
func (l *Lag) End(at time.Time) {
	if l.pendingSince.IsZero() {
		return
	}
	l.lastWait, l.previousWait = at.Sub(l.pendingSince), l.lastWait
	l.pendingSince = time.Time{}
}

// Pending reports whether a sample is in progress.
func (l *Lag) Pending() bool { return !l.pendingSince.IsZero() }

// Sustained returns the delay that the last two samples, or the last one and the one in
// progress, both reached: the least that an arriving event has to wait.
func (l *Lag) Sustained(now time.Time) time.Duration {
	other := l.previousWait
	if !l.pendingSince.IsZero() {
		other = max(other, now.Sub(l.pendingSince))
	}
	return min(l.lastWait, other)
}

// The lag from which an overloaded daemon refuses calls.
const (
	// maxLagShareOfGoal is the part of a call's goal that one wait for the processor may take.
	// A call waits some five times before its answer begins: to read its head, for the reply
	// to its placement request, for the connection to its target, to send, and for the first
	// event. The queue also keeps growing until the next samples show it.
	maxLagShareOfGoal = 0.1
	// minRefusedLag is the lag up to which no call is refused: on a weak host, validating a
	// change of settings and garbage collection delay the calls by this much.
	minRefusedLag = 30 * time.Millisecond
	// maxLagWithoutGoal is the lag from which a call without a goal is refused: a tenth of the
	// second after which callers drop a connection on which nothing is read.
	maxLagWithoutGoal = 100 * time.Millisecond
)

// OverloadCheck decides whether a daemon that handles its events late refuses a call.
type OverloadCheck struct {
	// Lag is the time that events queue for the processor, from Lag.Sustained.
	Lag time.Duration
	// Goal is the route's goal for the time to the first event; zero if the route has none.
	Goal time.Duration
}

// Refuse reports whether to refuse the call at once, which costs a daemon a fraction of the
// processor time of serving it. At twice the load that its processor can serve, a daemon that
// accepts every call serves almost none in time
// (TestRefusingWhileOverloadedKeepsCallsWithinGoal).
func (c OverloadCheck) Refuse() bool {
	bound := maxLagWithoutGoal
	if c.Goal > 0 {
		bound = time.Duration(maxLagShareOfGoal * float64(c.Goal))
	}
	return c.Lag > max(minRefusedLag, bound)
}

// RetryAfter returns the advised wait for a refused call, which is short because the retry
// reaches another daemon.
func (OverloadCheck) RetryAfter() time.Duration { return otherDaemonRetryAfter }
