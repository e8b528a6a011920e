package admission

import "time"

// How long a daemon that has just started lets calls wait for it, and when the ones that it
// refuses should come back.
const (
	// expectedStartTime is the age up to which a daemon expects to serve at any moment. Where the
	// store answers, a fraction of that is enough on a weak host in a fleet that starts together;
	// one that is older waits for something that may stay away for long.
	expectedStartTime = 1500 * time.Millisecond
	// maxStartWait is the longest that a call waits for a daemon's start. Callers give up a
	// connection on which nothing is read for a second.
	maxStartWait = 800 * time.Millisecond
	// maxStartWaitShare bounds the wait by the caller's own time: what is left has to do for the
	// answer.
	maxStartWaitShare = 0.5
	// otherDaemonRetryAfter is when to come back where another daemon most likely serves: at once.
	otherDaemonRetryAfter = 50 * time.Millisecond
	// fleetStartRetryAfter is the mean time to come back where the whole fleet waits for its settings:
	// it asks for them up to three times a second, and a caller has few tries. It is spread
	// over fleetStartRetrySpread so that callers do not all come back together.
	fleetStartRetryAfter  = time.Second
	fleetStartRetrySpread = 0.5
)

// Starting is what a daemon that does not serve yet knows when a call reaches it.
type Starting struct {
	// Age is how long ago its process started.
	Age time.Duration
	// Left is how long the caller waits; zero where it did not say.
	CallerTimeout time.Duration
	// Others is the number of other daemons that are known to live, and Serve is true where
	// one of them has settings.
	OtherDaemons int
	OthersServe  bool
}

// Hold is how long the call waits for the daemon to serve; zero where it is refused at once.
// After a loss of power of all hosts every daemon starts at once, and few callers come back twice.
func (s Starting) MaxWait() time.Duration {
	hold := min(maxStartWait, expectedStartTime-s.Age)
	if s.CallerTimeout > 0 {
		hold = min(hold, time.Duration(maxStartWaitShare*float64(s.CallerTimeout)))
	}
	return max(0, hold)
}

// RetryAfter is when a call that is refused should come back. A daemon that knows of no
// other one is most likely cut off, and one whose peers have settings the exception; spread,
// from 0 to 1, tells the callers of a fleet that waits for its settings apart.
func (s Starting) RetryAfter(spread float64) time.Duration {
	if s.OtherDaemons == 0 || s.OthersServe {
		return otherDaemonRetryAfter
	}
	return time.Duration((1 + fleetStartRetrySpread*(spread-0.5)) * float64(fleetStartRetryAfter))
}
