package kcclock

// Boot is a clock that counts from the boot of the machine (CLOCK_BOOTTIME on
// Linux). Unlike System it cannot be set back, and unlike the monotonic clock
// of the Go runtime it includes the time for which the machine was suspended.
// The age of data is therefore never underestimated.
type Boot struct{}

// After returns a channel that is closed once d milliseconds have passed.
func (Boot) After(d Millis) <-chan struct{} { return System{}.After(d) }
