// Package bootclock reads the clock that goes on while the machine is
// suspended. Leases and the age of data rest on it: the monotonic clock of the
// runtime stands still meanwhile, and would let a promise outlive its term.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was booted, suspension included.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("bootclock: " + err.Error()) // no kernel that Go runs on lacks it
	}
	return time.Duration(t.Nano())
}
