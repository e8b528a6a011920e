// Package clock tells how long the host has slept. The steady clock that time.Now carries stands
// still while a host is suspended, so what counts on ages of a few seconds (leases, permits,
// reports) has to add that time.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SuspendedTime is for how long the host has slept since it booted. It never falls. A kernel that does
// not tell counts as one that never sleeps.
func SuspendedTime() time.Duration {
	// The steady clock is read first: a pause between the two reads makes the sleep seem longer,
	// which ends a belief too soon, not too late.
	steady, err := readClock(unix.CLOCK_MONOTONIC)
	if err != nil {
		return 0
	}
	all, err := readClock(unix.CLOCK_BOOTTIME)
	if err != nil {
		return 0
	}
	return max(0, all-steady)
}

func readClock(id int32) (time.Duration, error) {
	var at unix.Timespec
	if err := unix.ClockGettime(id, &at); err != nil {
		return 0, err
	}
	return time.Duration(at.Nano()), nil
}
