package admission

import "time"

// RepeatLimit is the fleet-wide limit on the repeats of the calls to one pool. A repeat is any
// send of a call to a target after the call's first send. In any window of length Window the
// fleet sends at most Share repeats per call plus Slack.
type RepeatLimit struct {
	Share  float64
	Slack  float64
	Window time.Duration
}

// repeatSlots is the number of slots of a window. The counts cover one slot more than the
// window, so that they err on the high side.
const repeatSlots = 10

// repeatSafetyFactor is the part of the limit that is used: the daemons do not know each
// other's exact counts, and a daemon that restarted has lost its own.
const repeatSafetyFactor = 0.6

// RepeatBudget is one daemon's part of the fleet's repeat limit for one pool. Daemons exchange
// no messages about it: each uses RepeatLimit.Share for the calls that it received itself, and an
// equal part of RepeatLimit.Slack.
type RepeatBudget struct {
	slots [repeatSlots + 1]repeatSlot
}

type repeatSlot struct {
	number         int64 // slots since the Unix epoch
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

// CountCall records the first send of a call.
func (r *RepeatBudget) CountCall(l *RepeatLimit, now time.Time) { r.slot(l, now).calls++ }

// TakeRepeat records one repeat and reports true if the limit allows it, where the given
// number of daemons share the limit. Otherwise it records nothing.
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
