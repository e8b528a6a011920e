package admission

import "time"

// When a prompt that found no room should come back.
const (
	// busyRetryShort is about the time in which an answer is written and its place is free.
	busyRetryShort = 2 * time.Second
	// busyRetryLong is when a swing of the traffic to long prompts may be over.
	busyRetryLong = 4 * time.Second
	// busyRetryShare is the most of its time left that a caller is told to stay away: callers
	// follow the advice up to a third of it.
	busyRetryShare = 0.3
)

// TurnRetry is when a request should come back whose turn is foreseen after some time.
func TurnRetry(turn, left time.Duration) time.Duration {
	return min(turn, time.Duration(busyRetryShare*float64(left)))
}

// BusyRetry is when a caller whose prompt found no room should come back.
func BusyRetry(long bool, left time.Duration) time.Duration {
	after := busyRetryShort
	if long {
		after = busyRetryLong
	}
	return min(after, time.Duration(busyRetryShare*float64(left)))
}
