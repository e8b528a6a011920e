package admission

import "time"

// When a prompt that found no room should come back.
const (
	// busyRetryAfterShort is about the time in which an answer is written and its place is free.
	busyRetryAfterShort = 2 * time.Second
	// busyRetryAfterLong is when a swing of the traffic to long prompts may be over.
	busyRetryAfterLong = 4 * time.Second
	// maxRetryAfterShare is the most of its time left that a caller is told to stay away: callers
	// follow the advice up to a third of it.
	maxRetryAfterShare = 0.3
)

// QueueRetryAfter is when a request should come back whose turn is foreseen after some time.
func QueueRetryAfter(turn, left time.Duration) time.Duration {
	return min(turn, time.Duration(maxRetryAfterShare*float64(left)))
}

// BusyRetryAfter is when a caller whose prompt found no room should come back.
func BusyRetryAfter(long bool, left time.Duration) time.Duration {
	after := busyRetryAfterShort
	if long {
		after = busyRetryAfterLong
	}
	return min(after, time.Duration(maxRetryAfterShare*float64(left)))
}
