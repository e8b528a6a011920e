package admission

import "time"

// How long a daemon that has just started lets calls wait for it, and the advised waits of the
// calls that it refuses.
const (
	// expectedStartTime is the age up to which a daemon expects that it will soon serve. With a
	// store that answers, a weak host in a fleet that starts all at once needs a fraction of
	// it; an older daemon waits for something that may be unavailable for long.
	expectedStartTime = 1500 * time.Millisecond
	// maxStartWait is the longest that a call waits for a daemon's start. Callers drop a
	// connection on which nothing is read for a second.
	maxStartWait = 800 * time.Millisecond
	// maxStartWaitShare bounds the wait by the caller's timeout: the rest has to suffice for
	// the answer.
	maxStartWaitShare = 0.5
	// otherDaemonRetryAfter is the advised wait where another daemon most likely serves the
	// retry: next to nothing.
	otherDaemonRetryAfter = 50 * time.Millisecond
	// fleetStartRetryAfter is the mean advised wait where the whole fleet waits for its
	// settings: the fleet asks for them up to three times a second, and a caller has few
	// retries. Waits are spread over fleetStartRetrySpread of it so that callers do not all
	// retry at once.
	fleetStartRetryAfter  = time.Second
	fleetStartRetrySpread = 0.5
)

// Starting is what a daemon that does not serve yet knows when a call arrives.
type Starting struct {
	// Age is the time since the process started.
	Age time.Duration
	// CallerTimeout is how long the caller waits; zero if the call did not say.
	CallerTimeout time.Duration
	// OtherDaemons is the number of other daemons known to be alive. OthersServe reports
	// whether one of them has settings.
	OtherDaemons int
	OthersServe  bool
}

// MaxWait returns how long the call may wait for the daemon to serve; zero means that the call
// is refused at once. After a power loss of all hosts every daemon starts at the same time,
// and few callers retry more than once.
func (s Starting) MaxWait() time.Duration {
	hold := min(maxStartWait, expectedStartTime-s.Age)
	if s.CallerTimeout > 0 {
		hold = min(hold, time.Duration(maxStartWaitShare*float64(s.CallerTimeout)))
	}
	return max(0, hold)
}

// RetryAfter returns the advised wait for a call that is refused. A daemon that knows no other
// live daemon is most likely cut off, and where others have settings, this daemon is the
// exception in lacking them: in both cases the retry most likely reaches a daemon that serves.
// Otherwise the whole fleet waits for its settings, and spread, a random number from 0 to 1,
// spreads out the retries.
func (s Starting) RetryAfter(spread float64) time.Duration {
	if s.OtherDaemons == 0 || s.OthersServe {
		return otherDaemonRetryAfter
	}
	return time.Duration((1 + fleetStartRetrySpread*(spread-0.5)) * float64(fleetStartRetryAfter))
}
