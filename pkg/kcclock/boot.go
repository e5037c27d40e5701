package kcclock

// Boot is the clock of the operating system that counts from the start of the
// machine. Unlike System it cannot be set back, and unlike the monotonic clock
// of the runtime it counts the time for which the machine was suspended, so
// that the age of what a process knows is never taken for less than it is.
type Boot struct{}

// After returns a channel that is closed once d milliseconds have passed.
func (Boot) After(d Millis) <-chan struct{} { return System{}.After(d) }
