package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine started. Unlike the monotonic clock it
// includes the time that the machine was suspended, so that leases and tokens
// are not treated as valid after they have expired.
func Boot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Every supported kernel has this clock. Without it a process cannot tell
		// whether a lease has expired.
		panic("read boot-time clock: " + err.Error())
	}
	return time.Duration(now.Nano())
}
