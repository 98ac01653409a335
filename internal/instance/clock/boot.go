package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine started, including the time for which it was suspended. The monotonic reading
// of time.Time leaves that out, so that ages and leases are measured by Boot.
func Boot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every kernel that the product runs on has this clock.
		panic("clock: boot time: " + err.Error())
	}
	return time.Duration(t.Nano())
}
