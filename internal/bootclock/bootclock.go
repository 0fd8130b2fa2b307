// Package bootclock reads the boot-time clock, which keeps running while the
// machine is suspended. Leases and the age of data are measured with it: the
// monotonic clock of the Go runtime stops during a suspension, so a lease
// measured with it would be used after it has expired.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including suspensions.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("bootclock: " + err.Error()) // unreachable: every kernel that Go supports has CLOCK_BOOTTIME
	}
	return time.Duration(t.Nano())
}
