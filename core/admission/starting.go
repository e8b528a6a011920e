package admission

import (
	"time"

	"doorstack.dev/core/forward"
)

// How long a starting daemon holds calls, and the advised waits of the calls that it refuses.
const (
	// maxStartHoldShare bounds a hold by the caller's timeout: the rest has to suffice for the answer.
	maxStartHoldShare = 0.5
	// firstEventMargin is the part of the time in which a caller waits for the first event of a stream
	// that is left for placing the call and for the event: the goal of short prompts.
	firstEventMargin = 300 * time.Millisecond
	// otherDaemonRetryAfter is the advised wait where another daemon most likely serves the
	// retry: next to nothing.
	otherDaemonRetryAfter = 50 * time.Millisecond
	// fleetStartRetryAfter is the least mean advised wait where the whole fleet waits for its
	// settings: the fleet asks for them up to three times a second, and a caller has few
	// retries. fleetStartRetryShare makes it longer the longer the store has not answered, up to
	// maxFleetStartRetryAfter: it most likely stays away for as long again.
	fleetStartRetryAfter    = time.Second
	fleetStartRetryShare    = 0.5
	maxFleetStartRetryAfter = 5 * time.Second
	// startRetrySpread is the part of the mean advised wait over which the waits of callers are
	// spread so that they do not all retry at once.
	startRetrySpread = 0.5
)

// Starting is what a daemon that does not serve yet knows when a call arrives.
type Starting struct {
	// Age is the time since the process started.
	Age time.Duration
	// CallerTimeout is how long the caller waits; zero if the call did not say. Waited is the part
	// of it that has passed.
	CallerTimeout, Waited time.Duration
	// FirstEventTimeout is how long the caller waits for the first event of a stream
	// (forward.CallerStreamTimeout); zero if the answer is known not to be a stream.
	FirstEventTimeout time.Duration
	// OtherDaemons is the number of other daemons known to be alive. OthersServe reports
	// whether one of them has settings.
	OtherDaemons int
	OthersServe  bool
}

// MaxHold returns how long after its arrival the call may be held, whatever the daemon's age. After
// a power loss of all hosts every daemon starts at the same time, and few callers retry more than
// once: a call that is refused before the fleet serves often gets no answer at all.
func (s Starting) MaxHold() time.Duration {
	// A caller that tells no timeout and whose answer is not a stream is held like that of a stream.
	hold := maxHoldWithoutSettings()
	if s.FirstEventTimeout > 0 {
		hold = s.FirstEventTimeout - firstEventMargin
	}
	if s.CallerTimeout > 0 {
		share := time.Duration(maxStartHoldShare * float64(s.CallerTimeout))
		if s.FirstEventTimeout == 0 {
			return share
		}
		hold = min(hold, share)
	}
	return max(0, hold)
}

// maxHoldWithoutSettings returns the longest hold of a call whose route is not known.
func maxHoldWithoutSettings() time.Duration {
	return forward.CallerStreamTimeout(0, 0) - firstEventMargin
}

// RefuseAtOnce reports whether the call is not held: the daemon has been unable to start for longer
// than it would hold any call, so it waits for something that may be unavailable for long, while
// another daemon can serve the retry.
func (s Starting) RefuseAtOnce() bool {
	return s.OthersServe && s.Age > max(maxHoldWithoutSettings(), s.MaxHold())
}

// RetryAfter returns the advised wait for a call that is refused; spread, a random number from 0 to
// 1, spreads out the retries. It is never longer than callers follow.
func (s Starting) RetryAfter(spread float64) time.Duration {
	mean := otherDaemonRetryAfter
	if s.fleetStarts() {
		waiting := time.Duration(fleetStartRetryShare * float64(s.Age))
		mean = min(max(fleetStartRetryAfter, waiting), maxFleetStartRetryAfter)
	}
	if s.CallerTimeout > 0 {
		longest := maxRetryAfterShare * float64(max(0, s.CallerTimeout-s.Waited))
		mean = min(mean, time.Duration(longest/(1+startRetrySpread/2)))
	}
	return time.Duration((1 + startRetrySpread*(spread-0.5)) * float64(mean))
}

// fleetStarts reports whether the whole fleet most likely waits for its settings. A daemon that
// finds no other within a call's hold is most likely cut off, so that the retry reaches one that
// serves; before that, the others may just not be known yet.
func (s Starting) fleetStarts() bool {
	if s.OtherDaemons == 0 {
		return s.Age <= maxHoldWithoutSettings()
	}
	return !s.OthersServe
}
