// Package kcroom estimates how many requests the upstreams of a service can
// accept.
package kcroom

import "github.com/kingcuprail/kingcuprail/pkg/kcclock"

// Room is the capacity that the usable upstreams of a service can accept at a
// point in time.
type Room struct {
	// Upstreams is the number of usable upstreams, Slots the sum of their slots.
	Upstreams, Slots int
	// Busy is the estimated number of running and waiting requests.
	Busy int
	// Free is the number of requests that would start immediately.
	Free int
	// Queueable is the number of further requests that upstreams would queue
	// without rejecting them.
	Queueable int
	// WaitMs is the expected wait of one more request for a slot. It is 0 if there
	// is a free one.
	WaitMs float64
	// HoldMs is the mean time that a request holds a slot, speed included.
	HoldMs float64
	// PrefillMs is the prefill work that is queued at the least busy upstreams.
	PrefillMs float64
	// AgeMs is the mean age of the figures.
	AgeMs kcclock.Millis
}
