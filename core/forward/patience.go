package forward

import (
	"time"

	"doorstack.dev/core/fault"
)

// Patience is how long a target may say nothing before its call goes to another one. A
// target that has hung looks like one that is busy with reading, and a call that is sent
// again costs a second reading; so a target is left only when its caller would otherwise
// leave, with enough time for another one to answer.
// docs/design/routing.md, "Targets that fall silent", has the measurements.
type Patience struct {
	// First bounds the time from the send to the first event of a stream, or to the end
	// of another answer. Zero: no bound.
	First time.Duration
	// Pause bounds the time between two events of a stream. Zero: no bound.
	Pause time.Duration
}

// The users' callers leave a stream after a silence of callersLeast, of callersGoals times
// the route's goal for the first event, or of callersPauses times its goal for a pause,
// whichever is the longest.
const (
	callersLeast  = 2 * time.Second
	callersGoals  = 4
	callersPauses = 8
)

// The parts of a caller's patience that a target may use up. A chat's is 2 s, of which
// another engine needs some 0.3 s for a stream that goes on and twice that with the wait
// for a place.
const (
	firstShare = 0.7
	pauseShare = 0.85
)

// plainGoals is how many times its goal a plain service may take for an answer: 99 of 100
// answers take less than one.
const plainGoals = 2

// StreamPatience takes a streaming route's goals for the time to the first event and for
// the pause between two; zero where it has none.
func StreamPatience(goal, gapGoal time.Duration) Patience {
	callers := max(callersLeast, callersGoals*goal, callersPauses*gapGoal)
	return Patience{First: share(firstShare, callers), Pause: share(pauseShare, callers)}
}

// PlainPatience takes the goal of a route whose answers are no streams; without one there
// is no bound.
func PlainPatience(goal time.Duration) Patience { return Patience{First: plainGoals * goal} }

func share(part float64, d time.Duration) time.Duration { return time.Duration(part * float64(d)) }

// Before bounds both times.
func (p Patience) Before(limit time.Duration) Patience {
	bound := func(d time.Duration) time.Duration {
		if d <= 0 {
			return limit
		}
		return min(d, limit)
	}
	return Patience{First: bound(p.First), Pause: bound(p.Pause)}
}

// MayTryAfter tells whether the rules allow one more send if the one under way ends
// without the target's word that it did not run.
func (p *Progress) MayTryAfter() bool {
	next := *p
	next.Failed(fault.Unknown, true)
	return next.MayTryAgain()
}
