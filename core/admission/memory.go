package admission

const (
	// sharePerLevel is how much less of the memory for calls is left to each less urgent level, and
	// minMemoryShare what is left to the least urgent.
	sharePerLevel  = 0.1
	minMemoryShare = 0.5
)

// MemoryShare returns the share of a daemon's memory for calls that new requests of a priority level may
// use. As the memory fills up with the requests and unread answers of slow callers, less urgent requests are
// refused first; level 0 is the most urgent.
func MemoryShare(level int) float64 {
	return max(minMemoryShare, 1-sharePerLevel*float64(max(0, level)))
}

// HeldMemoryShare returns the share of the memory for calls that requests may use while the daemon
// starts. Their levels are not known yet, so it is the share of the least urgent: the rest is left
// to more urgent requests that arrive after the start.
func HeldMemoryShare() float64 { return minMemoryShare }
