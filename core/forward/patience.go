package forward

import (
	"time"

	"doorstack.dev/core/fault"
)

// SilenceTimeouts is how long a target may say nothing before its call goes to another one. A
// target that has hung looks like one that is busy with reading, and a call that is sent
// again costs a second reading; so a target is left only when its caller would otherwise
// leave, with enough time for another one to answer.
// docs/design/routing.md, "Targets that fall silent", has the measurements.
type SilenceTimeouts struct {
	// First bounds the time from the send to the first event of a stream, or to the end
	// of another answer. Zero: no bound.
	FirstEvent time.Duration
	// Pause bounds the time between two events of a stream. Zero: no bound.
	BetweenEvents time.Duration
}

// The users' callers leave a stream after a silence of callerMinTimeout, of callerGoalFactor times
// the route's goal for the first event, or of callerGapFactor times its goal for a pause,
// whichever is the longest.
const (
	callerMinTimeout = 2 * time.Second
	callerGoalFactor = 4
	callerGapFactor  = 8
)

// The parts of a caller's patience that a target may use up. A chat's is 2 s, of which
// another engine needs some 0.3 s for a stream that goes on and twice that with the wait
// for a place.
const (
	firstEventShare    = 0.7
	betweenEventsShare = 0.85
)

// plainGoalFactor is how many times its goal a plain service may take for an answer: 99 of 100
// answers take less than one.
const plainGoalFactor = 2

// StreamTimeouts takes a streaming route's goals for the time to the first event and for
// the pause between two; zero where it has none.
func StreamTimeouts(goal, gapGoal time.Duration) SilenceTimeouts {
	callers := max(callerMinTimeout, callerGoalFactor*goal, callerGapFactor*gapGoal)
	return SilenceTimeouts{FirstEvent: scaleDuration(firstEventShare, callers), BetweenEvents: scaleDuration(betweenEventsShare, callers)}
}

// PlainTimeouts takes the goal of a route whose answers are no streams; without one there
// is no bound.
func PlainTimeouts(goal time.Duration) SilenceTimeouts {
	return SilenceTimeouts{FirstEvent: plainGoalFactor * goal}
}

func scaleDuration(part float64, d time.Duration) time.Duration {
	return time.Duration(part * float64(d))
}

// Before bounds both times.
func (p SilenceTimeouts) AtMost(limit time.Duration) SilenceTimeouts {
	bound := func(d time.Duration) time.Duration {
		if d <= 0 {
			return limit
		}
		return min(d, limit)
	}
	return SilenceTimeouts{FirstEvent: bound(p.FirstEvent), BetweenEvents: bound(p.BetweenEvents)}
}

// MayTryAfter tells whether the rules allow one more send if the one under way ends
// without the target's word that it did not run.
func (p *Progress) MayRetryAfterUnknown() bool {
	next := *p
	next.RecordFailure(fault.Unknown, true)
	return next.MayRetry()
}
