package admission

import "time"

// RepeatLimit is the fleet's bound on sends beyond the first of each call to one
// pool: in any window at most Share of the calls plus Slack.
type RepeatLimit struct {
	Share  float64
	Slack  float64
	Window time.Duration
}

// repeatSlots divides the window; the count runs over one slot more than the window
// has, so that it errs on the side of too many.
const repeatSlots = 10

// repeatSafetyFactor is the part of the limit that is used: the daemons do not know each
// other's exact counts, and one that restarted has forgotten its own.
const repeatSafetyFactor = 0.6

// RepeatBudget is a daemon's part of the bound for one pool. It needs no message: each
// daemon uses the share of the calls that came to itself, and an equal part of the
// slack.
type RepeatBudget struct {
	slots [repeatSlots + 1]repeatSlot
}

type repeatSlot struct {
	number         int64 // which slot of time since 1970
	calls, repeats int
}

func (r *RepeatBudget) slot(l *RepeatLimit, now time.Time) *repeatSlot {
	number := now.UnixNano() / int64(l.Window/repeatSlots)
	s := &r.slots[int(number%int64(len(r.slots)))]
	if s.number != number {
		*s = repeatSlot{number: number}
	}
	return s
}

// Call counts the first send of a call.
func (r *RepeatBudget) CountCall(l *RepeatLimit, now time.Time) { r.slot(l, now).calls++ }

// Take counts one more send of a call, if the limit lets it, when so many daemons
// share the limit.
func (r *RepeatBudget) TakeRepeat(l *RepeatLimit, daemons int, now time.Time) bool {
	current := r.slot(l, now)
	calls, repeats := 0, 0
	for i := range r.slots {
		if age := current.number - r.slots[i].number; age < 0 || age > repeatSlots {
			continue
		}
		calls += r.slots[i].calls
		repeats += r.slots[i].repeats
	}
	allowed := repeatSafetyFactor * (l.Share*float64(calls) + l.Slack/float64(max(1, daemons)))
	if float64(repeats+1) > allowed {
		return false
	}
	current.repeats++
	return true
}
