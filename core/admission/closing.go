package admission

import (
	"math"
	"slices"
	"time"
)

// answerTimeCount is how many answers of a route are remembered, and minAnswerTimes how many are needed to say how long the next
// one takes.
const (
	answerTimeCount = 64
	minAnswerTimes  = 10
)

// maxCutShare is the largest part of the calls sent at some time that a daemon may have to end without their answers when it is
// about to be killed, for calls that may be repeated. Of the others, all that were observed must have had time.
const maxCutShare = 0.1

// AnswerTimes are the times that the latest calls of a route took from their placement at a target to the end of the answer. The zero value has none.
type AnswerTimes struct {
	latest []time.Duration
	next   int
}

// Add adds the time of a call. A call that its deadline has ended counts with the time that it got.
func (a *AnswerTimes) Add(took time.Duration) {
	if len(a.latest) < answerTimeCount {
		a.latest = append(a.latest, took)
		return
	}
	a.latest[a.next] = took
	a.next = (a.next + 1) % answerTimeCount
}

// within returns the shortest time that at most a part cutShare of the calls exceeded; false if too few were observed.
func (a *AnswerTimes) within(cutShare float64) (time.Duration, bool) {
	if len(a.latest) < minAnswerTimes {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(a.latest))
	exceeding := int(math.Floor(cutShare * float64(len(sorted))))
	return sorted[len(sorted)-1-exceeding], true
}

// Closing is what is known of a call that a draining daemon may still send to a target.
type Closing struct {
	// End is when the daemon ends its calls, since it is killed soon after.
	End time.Time
	// Deadline is when the call ends in any case.
	Deadline time.Time
	// Repeatable reports that the call may be sent again, by its caller or a daemon, whatever became of it.
	Repeatable bool
}

// LatestSend returns the latest time at which the call may be sent, so that its answer can be expected before the daemon ends its
// calls; limited is false if the call ends before that anyway. It returns the zero time, so that the call is not sent at all, if its
// route has not been observed.
func (a *AnswerTimes) LatestSend(c Closing) (latest time.Time, limited bool) {
	if !c.Deadline.After(c.End) {
		return time.Time{}, false
	}
	share := 0.0
	if c.Repeatable {
		share = maxCutShare
	}
	expected, known := a.within(share)
	if !known {
		return time.Time{}, true
	}
	return c.End.Add(-expected), true
}
