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

// slot returns the length of a slot of the counts.
func (l *RepeatLimit) slot() time.Duration { return l.Window / repeatSlots }

// callsPart returns the repeats that a daemon may send for its calls.
func (l *RepeatLimit) callsPart(calls int) float64 {
	return repeatSafetyFactor * l.Share * float64(calls)
}

// timePart returns a daemon's part of Slack for a span of time, where the given number of daemons share it.
func (l *RepeatLimit) timePart(span time.Duration, daemons int) float64 {
	return repeatSafetyFactor * l.Slack / float64(max(1, daemons)) * span.Seconds() / l.Window.Seconds()
}

const (
	// repeatSafetyFactor is the part of the limit that is used: a repeat reaches its target some time
	// after it was counted, up to seconds later over a link that loses packets.
	repeatSafetyFactor = 0.8
	// repeatBurstShare is the part of a daemon's limit that it may use at once. The rest accrues
	// evenly with its calls and with time.
	repeatBurstShare = 0.6
	// repeatStartShare is the part of RepeatLimit.Slack that new processes may use at once, so that the
	// first calls that fail after a start can be sent again. What repeatSafetyFactor leaves covers it for
	// daemons that start up to twice in a window.
	repeatStartShare = 0.12
)

// RepeatBudget is one daemon's part of the fleet's repeat limit for one pool. Daemons exchange
// no messages about it: each uses RepeatLimit.Share for the calls that it received itself, and an
// equal part of RepeatLimit.Slack. The parts are equal among all daemons that may be sending calls,
// those included that are draining or unreachable. Its methods take the time since the start of the
// daemon's process, as the time of day may step.
//
// A new process does not know what the daemon's last process has used. The limit holds all the same:
// a process that ends has used, in any span up to its end, at most the burst and what accrued in that
// span, and its successors use what accrues in the rest of the window and a small part at their start.
type RepeatBudget struct {
	slots [repeatSlots + 1]repeatSlot
	// reserved is the number of repeats that were allowed and have not been sent yet.
	reserved int
}

type repeatSlot struct {
	number         int64 // slots since the start of the process
	calls, repeats int
}

// slot returns the slot of the present, empty if it has just begun.
func (r *RepeatBudget) slot(l *RepeatLimit, now time.Duration) *repeatSlot {
	number := int64(now / l.slot())
	s := &r.slots[int(number%int64(len(r.slots)))]
	if s.number != number {
		*s = repeatSlot{number: number}
	}
	return s
}

// CountCall records the first send of a call.
func (r *RepeatBudget) CountCall(l *RepeatLimit, now time.Duration) { r.slot(l, now).calls++ }

// RepeatVerdict is the decision on one repeat, with what was known.
type RepeatVerdict struct {
	Allowed bool `json:"allowed"`
	// Span is the time up to now, at most the window, for which the limit leaves the fewest repeats.
	Span time.Duration `json:"span_ns"`
	// Calls and Repeats are those of this daemon in the span, without the repeat decided on. The repeats
	// include those that were allowed and have not been sent yet.
	Calls   int `json:"calls"`
	Repeats int `json:"repeats"`
	// Daemons is the number of daemons that share the limit.
	Daemons int `json:"daemons"`
	// Limit is the largest number of repeats that this daemon may send in the span.
	Limit float64 `json:"limit"`
}

// left returns the number of repeats left in the span.
func (v *RepeatVerdict) left() float64 { return v.Limit - float64(v.Repeats) }

// ReserveRepeat decides on one repeat, where the given number of daemons share the limit, and
// reserves it if it is allowed. The number is zero while it is unknown. A reserved repeat counts as
// sent now, whenever now is, until CountRepeat or ReturnRepeat: a call may wait for its placement,
// and repeats that were allowed at different times may be sent together.
func (r *RepeatBudget) ReserveRepeat(l *RepeatLimit, daemons int, now time.Duration) RepeatVerdict {
	var v RepeatVerdict
	if now < l.Window {
		v = r.newProcessVerdict(l, daemons, now)
	} else {
		v = r.verdict(l, daemons, now)
	}
	v.Allowed = v.left() >= 1
	if v.Allowed {
		r.reserved++
	}
	return v
}

// CountRepeat records that a reserved repeat is sent now.
func (r *RepeatBudget) CountRepeat(l *RepeatLimit, now time.Duration) {
	r.reserved--
	r.slot(l, now).repeats++
}

// ReturnRepeat gives up a reserved repeat that will not be sent.
func (r *RepeatBudget) ReturnRepeat() { r.reserved-- }

// newProcessVerdict returns the counts and the limit of a process that is younger than a window.
func (r *RepeatBudget) newProcessVerdict(l *RepeatLimit, daemons int, now time.Duration) RepeatVerdict {
	v := r.count(0)
	v.Span, v.Daemons = now, daemons
	atStart, accrued := repeatStartShare*l.timePart(l.Window, daemons), l.callsPart(v.Calls)
	if daemons == 0 {
		atStart = min(1, atStart)
	} else {
		accrued += l.timePart(now, daemons)
	}
	v.Limit = atStart + (1-repeatBurstShare)*accrued
	return v
}

// verdict returns the counts and the limit of the span, among those that end now, for which the limit
// leaves the fewest repeats, of a process that has run for a window.
func (r *RepeatBudget) verdict(l *RepeatLimit, daemons int, now time.Duration) RepeatVerdict {
	var least RepeatVerdict
	oldest := int64(now/l.slot()) - repeatSlots
	burst := repeatBurstShare * (l.callsPart(r.count(oldest).Calls) + l.timePart(l.Window, daemons))
	for first := oldest; first <= oldest+repeatSlots; first++ {
		v := r.count(first)
		v.Span, v.Daemons = min(l.Window, now-time.Duration(first)*l.slot()), daemons
		v.Limit = burst + (1-repeatBurstShare)*(l.callsPart(v.Calls)+l.timePart(v.Span, daemons))
		if first == oldest || v.left() < least.left() {
			least = v
		}
	}
	return least
}

// count returns the calls and repeats since the beginning of a slot, and the reserved repeats.
func (r *RepeatBudget) count(first int64) RepeatVerdict {
	v := RepeatVerdict{Repeats: r.reserved}
	for i := range r.slots {
		if s := &r.slots[i]; s.number >= first {
			v.Calls += s.calls
			v.Repeats += s.repeats
		}
	}
	return v
}
