package kcclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the milliseconds since the boot of the machine.
func (Boot) Now() Millis {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return FromDuration(time.Since(processStart))
	}
	return Millis(ts.Nano() / int64(time.Millisecond))
}

// processStart is the origin of Boot on kernels without CLOCK_BOOTTIME.
var processStart = time.Now()
