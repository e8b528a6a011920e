// Package clock measures how long the host has been suspended. The monotonic clock in time.Now
// stops while the host is suspended, so code that relies on ages of a few seconds (leases, permits,
// load reports) has to add that time.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SuspendedTime returns the total time that the host was suspended since it booted, or zero if the
// kernel does not report it. It never decreases by more than the time between its two clock reads.
func SuspendedTime() time.Duration {
	// The monotonic clock is read first: a delay between the two reads then makes the suspended
	// time appear longer, so that leases and permits expire too early rather than too late.
	monotonic, err := readClock(unix.CLOCK_MONOTONIC)
	if err != nil {
		return 0
	}
	sinceBoot, err := readClock(unix.CLOCK_BOOTTIME)
	if err != nil {
		return 0
	}
	return max(0, sinceBoot-monotonic)
}

func readClock(id int32) (time.Duration, error) {
	var at unix.Timespec
	if err := unix.ClockGettime(id, &at); err != nil {
		return 0, err
	}
	return time.Duration(at.Nano()), nil
}
