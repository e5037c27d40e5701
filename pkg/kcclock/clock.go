// Package kcclock provides the millisecond clock that all time-dependent code
// takes as a parameter, and a manual clock for tests.
package kcclock

import "time"

// Millis is a point in time as milliseconds since the Unix epoch, or a duration
// in milliseconds.
type Millis int64

// Common durations.
const (
	Millisecond Millis = 1
	Second             = 1000 * Millisecond
	Minute             = 60 * Second
	Hour               = 60 * Minute
	Day                = 24 * Hour
)

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// FromDuration converts d to milliseconds, rounded toward zero.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock returns the current time and signals when a duration has passed.
type Clock interface {
	// Now returns the current time in milliseconds since the Unix epoch.
	Now() Millis
	// After returns a channel that is closed once d milliseconds have passed.
	After(d Millis) <-chan struct{}
}

// System is the wall clock of the operating system.
type System struct{}

// Now returns the current time in milliseconds since the Unix epoch.
func (System) Now() Millis { return Millis(time.Now().UnixMilli()) }

// After returns a channel that is closed once d milliseconds have passed.
func (System) After(d Millis) <-chan struct{} {
	done := make(chan struct{})
	time.AfterFunc(d.Duration(), func() { close(done) })
	return done
}
