// Package uptimer reads how long the machine has been up, the time that it was
// suspended included, which the runtime's clock leaves out.
package uptimer

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine started.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every supported kernel; without it the runtime's
		// clock is the next best.
		return time.Since(began)
	}
	return time.Duration(ts.Nano())
}

var began = time.Now()
