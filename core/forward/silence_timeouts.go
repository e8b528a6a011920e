package forward

import (
	"time"

	"doorstack.dev/core/fault"
)

// SilenceTimeouts bounds how long a target may send nothing before its call goes to another
// one. A hung target looks like one that is busy with prefill, and sending a call again costs
// a second prefill. A target is therefore given up only shortly before its caller would give
// up, with enough time left for another target to answer.
// docs/design/routing.md, "Targets that fall silent", has the measurements.
type SilenceTimeouts struct {
	// FirstEvent bounds the time from the send to the first event of a stream, or to the end
	// of an answer that is not a stream. Zero means no bound.
	FirstEvent time.Duration
	// BetweenEvents bounds the time between two events of a stream. Zero means no bound.
	BetweenEvents time.Duration
}

// Callers give up a stream that is silent for the longest of callerMinTimeout, callerGoalFactor
// times the route's goal for the first event, and callerGapFactor times its goal for the time
// between two events.
const (
	callerMinTimeout = 2 * time.Second
	callerGoalFactor = 4
	callerGapFactor  = 8
)

// Shares of the caller's timeout after which a silent target is given up. The timeout of a chat is
// 2 s. Of that, another target needs some 0.3 s to resume a stream, and twice that if the call
// has to wait for one to be free.
const (
	firstEventShare    = 0.7
	betweenEventsShare = 0.85
)

// plainGoalFactor is how many times its goal a plain service may take to answer: 99 of 100
// answers take less than the goal.
const plainGoalFactor = 2

// CallerStreamTimeout returns how long the caller of a stream waits for its first event and between
// two events, from the route's goals; a goal is zero if the route has none or is not known.
func CallerStreamTimeout(goal, gapGoal time.Duration) time.Duration {
	return max(callerMinTimeout, callerGoalFactor*goal, callerGapFactor*gapGoal)
}

// StreamTimeouts returns the timeouts for a streaming route from its goals for the time to the
// first event and between two events; a goal is zero if the route has none.
func StreamTimeouts(goal, gapGoal time.Duration) SilenceTimeouts {
	callerTimeout := CallerStreamTimeout(goal, gapGoal)
	return SilenceTimeouts{FirstEvent: scaleDuration(firstEventShare, callerTimeout), BetweenEvents: scaleDuration(betweenEventsShare, callerTimeout)}
}

// PlainTimeouts returns the timeouts for a route whose answers are not streams, from its goal;
// without a goal there is no bound.
func PlainTimeouts(goal time.Duration) SilenceTimeouts {
	return SilenceTimeouts{FirstEvent: plainGoalFactor * goal}
}

func scaleDuration(part float64, d time.Duration) time.Duration {
	return time.Duration(part * float64(d))
}

// AtMost returns t with both timeouts capped at limit; one without a bound becomes limit.
func (t SilenceTimeouts) AtMost(limit time.Duration) SilenceTimeouts {
	bound := func(d time.Duration) time.Duration {
		if d <= 0 {
			return limit
		}
		return min(d, limit)
	}
	return SilenceTimeouts{FirstEvent: bound(t.FirstEvent), BetweenEvents: bound(t.BetweenEvents)}
}

// MayRetryAfterUnknown reports whether the rules allow one more send if the current one ends
// without proof that the call did not run.
func (p *Progress) MayRetryAfterUnknown() bool {
	next := *p
	next.RecordFailure(fault.Unknown, true)
	return next.MayRetry()
}
