package kcentry

import (
	"cmp"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Limits bounds the resources of one request. Zero fields take their defaults.
type Limits struct {
	// MaxBodyBytes bounds the request body.
	MaxBodyBytes int64 `json:"maxBodyBytes"`
	// MaxHeaderBytes bounds the request line and the headers together.
	MaxHeaderBytes int `json:"maxHeaderBytes,omitempty"`
	// MaxResponseBytes bounds a response that is not streamed and the response of
	// a plain service.
	MaxResponseBytes int64 `json:"maxAnswerBytes"`
	// DefaultMaxWaitMs is the maximum wait for callers that specify none.
	DefaultMaxWaitMs kcclock.Millis `json:"maxWaitMs"`
	// TierMaxWaitMs is the maximum wait by service_tier, for callers that send no
	// Kingcuprail-Max-Wait-Ms header.
	TierMaxWaitMs TierMaxWaits `json:"tierWaitMs,omitzero"`
	// HeaderTimeoutMs and BodyTimeoutMs bound the time for reading the headers
	// and then the body of a request.
	HeaderTimeoutMs kcclock.Millis `json:"headerMs,omitempty"`
	BodyTimeoutMs   kcclock.Millis `json:"bodyMs,omitempty"`
	// WriteTimeoutMs bounds the time for writing each part of the response of up
	// to 64 KiB.
	WriteTimeoutMs kcclock.Millis `json:"writeMs,omitempty"`
	// IdleTimeoutMs is how long an idle keep-alive connection of a caller stays open.
	IdleTimeoutMs kcclock.Millis `json:"keepMs,omitempty"`
	// MemoryMB is the memory of the process and MaxDescriptors the number of its
	// descriptors; 0 stands for the limits of the process.
	MemoryMB       int64 `json:"memoryMB,omitempty"`
	MaxDescriptors int   `json:"maxDescriptors,omitempty"`
	// MaxAttempts bounds the dispatches of one idempotent request.
	MaxAttempts int `json:"attempts"`
}

// TierMaxWaits holds the maximum wait of each service tier.
type TierMaxWaits struct {
	Flex     kcclock.Millis `json:"flex,omitempty"`
	Default  kcclock.Millis `json:"default,omitempty"`
	Priority kcclock.Millis `json:"priority,omitempty"`
}

// WithDefaults returns l with zero fields replaced by the defaults.
func (l Limits) WithDefaults() Limits {
	l.MaxBodyBytes = cmp.Or(l.MaxBodyBytes, 8<<20)
	l.MaxHeaderBytes = cmp.Or(l.MaxHeaderBytes, 64<<10)
	l.MaxResponseBytes = cmp.Or(l.MaxResponseBytes, 8<<20)
	l.DefaultMaxWaitMs = cmp.Or(l.DefaultMaxWaitMs, kcclock.Minute)
	l.TierMaxWaitMs.Flex = cmp.Or(l.TierMaxWaitMs.Flex, 10*kcclock.Minute)
	l.TierMaxWaitMs.Priority = cmp.Or(l.TierMaxWaitMs.Priority, 10*kcclock.Second)
	l.HeaderTimeoutMs = cmp.Or(l.HeaderTimeoutMs, 10*kcclock.Second)
	// BodyTimeoutMs is below the usual time limit for a graceful stop, so that a stalled
	// request body does not exceed it.
	l.BodyTimeoutMs = cmp.Or(l.BodyTimeoutMs, 20*kcclock.Second)
	l.WriteTimeoutMs = cmp.Or(l.WriteTimeoutMs, 30*kcclock.Second)
	l.IdleTimeoutMs = cmp.Or(l.IdleTimeoutMs, 2*kcclock.Minute)
	l.MaxAttempts = cmp.Or(l.MaxAttempts, 3)
	return l
}

// forTier returns the maximum wait of a tier, 0 for a tier without one, and
// whether the tier exists.
func (t TierMaxWaits) forTier(tier string) (kcclock.Millis, bool) {
	switch tier {
	case "", "auto":
		return 0, true
	case "default":
		return t.Default, true
	case "flex":
		return t.Flex, true
	case "priority":
		return t.Priority, true
	default:
		return 0, false
	}
}
