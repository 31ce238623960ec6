// Package clock is the time by which leases and freshness are counted: it also
// runs while the machine is suspended, and no change of the wall clock moves it.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the present time. Only differences are meaningful.
type Clock func() time.Time

// Now is the clock of a running process: Go's monotonic time, and the time
// that the machine has spent suspended.
func Now() time.Time { return time.Now().Add(suspended()) }

// bracket bounds the time between the two readings that suspended compares.
const bracket = 1 * time.Millisecond

// suspended returns how long the machine was suspended since it booted. A
// reading that was interrupted, for example by a pause of the process, is
// taken again.
func suspended() time.Duration {
	for {
		before := read(unix.CLOCK_MONOTONIC)
		boot := read(unix.CLOCK_BOOTTIME)
		after := read(unix.CLOCK_MONOTONIC)
		if after-before < bracket {
			return (boot - before).Truncate(bracket)
		}
	}
}

func read(id int32) time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(id, &now); err != nil {
		panic(err) // Both clocks exist on every supported kernel.
	}
	return time.Duration(now.Nano())
}
