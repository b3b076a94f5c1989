// Package uptimer reads a monotonic clock that also advances while the machine is suspended. Go's
// own monotonic clock stops during a suspend on Linux.
package uptimer

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine booted, including time spent suspended.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has CLOCK_BOOTTIME. Otherwise fall back to the time since the
		// process started, which excludes suspends.
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()
