//go:build unix

package kcmetric

import "syscall"

// CPUMicros returns the CPU time that the process has used so far, in
// microseconds, or 0 if it is not known.
func CPUMicros() int64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return (u.Utime.Nano() + u.Stime.Nano()) / 1000
}
