package admission

import "time"

// Advised waits of callers whose prompt found no target with room.
const (
	// busyRetryAfterShort is about the time in which a target completes an answer and has room
	// again.
	busyRetryAfterShort = 2 * time.Second
	// busyRetryAfterLong is the time in which a burst of long prompts may be over.
	busyRetryAfterLong = 4 * time.Second
	// maxRetryAfterShare is the largest part of its remaining time that a caller is told to
	// wait: callers follow advice of up to a third of that time.
	maxRetryAfterShare = 0.3
)

// QueueRetryAfter returns the advised wait for a request that is predicted to be dispatched
// after the duration turn, where left is the time until its deadline.
func QueueRetryAfter(turn, left time.Duration) time.Duration {
	return min(turn, time.Duration(maxRetryAfterShare*float64(left)))
}

// BusyRetryAfter returns the advised wait for a prompt that found no room, where left is the
// time until its deadline.
func BusyRetryAfter(long bool, left time.Duration) time.Duration {
	after := busyRetryAfterShort
	if long {
		after = busyRetryAfterLong
	}
	return min(after, time.Duration(maxRetryAfterShare*float64(left)))
}

// RefusalRetryAfter returns the advised wait for a prompt that is refused for lack of room: turn is the
// predicted time until it would be dispatched, zero if unknown, and left the time until its deadline.
func RefusalRetryAfter(turn time.Duration, long bool, left time.Duration) time.Duration {
	if turn > 0 {
		return QueueRetryAfter(turn, left)
	}
	return BusyRetryAfter(long, left)
}
