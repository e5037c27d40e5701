//go:build !linux

package kcclock

import "time"

var processStart = time.Now()

// Now returns the milliseconds since the start of the process.
func (Boot) Now() Millis { return FromDuration(time.Since(processStart)) }
