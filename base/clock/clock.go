// Package clock provides the clock that measures the age of leases and
// configuration. It keeps running while the machine is suspended, and changes of
// the wall clock don't affect it.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the current time. Only differences between times are meaningful.
type Clock func() time.Time

// Now returns Go's monotonic time plus the time that the machine has spent
// suspended.
func Now() time.Time { return time.Now().Add(suspendedTime()) }

// maxReadingGap limits the time between the clock readings that suspendedTime
// compares.
const maxReadingGap = 1 * time.Millisecond

// suspendedTime returns how long the machine has been suspended since it booted.
// It repeats a reading that took too long, for example because the process was
// paused.
func suspendedTime() time.Duration {
	for {
		before := readClock(unix.CLOCK_MONOTONIC)
		boot := readClock(unix.CLOCK_BOOTTIME)
		after := readClock(unix.CLOCK_MONOTONIC)
		if after-before < maxReadingGap {
			return (boot - before).Truncate(maxReadingGap)
		}
	}
}

func readClock(id int32) time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(id, &now); err != nil {
		panic(err) // Both clocks exist on every supported kernel.
	}
	return time.Duration(now.Nano())
}
