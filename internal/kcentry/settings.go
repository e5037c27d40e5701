package kcentry

import (
	"cmp"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Limits bounds what one request may use. A field that is 0 has its default.
type Limits struct {
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64 `json:"maxBodyBytes"`
	// MaxHeaderBytes bounds the request line and the headers of a request.
	MaxHeaderBytes int `json:"maxHeaderBytes,omitempty"`
	// MaxResponseBytes bounds a whole answer and the answer of a plain service.
	MaxResponseBytes int64 `json:"maxAnswerBytes"`
	// DefaultMaxWaitMs is the patience of callers that state none.
	DefaultMaxWaitMs kcclock.Millis `json:"maxWaitMs"`
	// TierMaxWaitMs is the patience by service_tier, for callers that send no
	// Kingcuprail-Max-Wait-Ms.
	TierMaxWaitMs TierMaxWaits `json:"tierWaitMs,omitzero"`
	// HeaderTimeoutMs and BodyTimeoutMs bound the time in which a caller must have sent the
	// headers and then the body.
	HeaderTimeoutMs kcclock.Millis `json:"headerMs,omitempty"`
	BodyTimeoutMs   kcclock.Millis `json:"bodyMs,omitempty"`
	// WriteTimeoutMs bounds the time in which a caller must take up to 64 KiB of the
	// answer.
	WriteTimeoutMs kcclock.Millis `json:"writeMs,omitempty"`
	// IdleTimeoutMs is how long an idle connection of a caller is kept.
	IdleTimeoutMs kcclock.Millis `json:"keepMs,omitempty"`
	// Attempts bounds the dispatches of one idempotent request.
	MaxAttempts int `json:"attempts"`
}

// TierMaxWaits is the patience by service tier.
type TierMaxWaits struct {
	Flex     kcclock.Millis `json:"flex,omitempty"`
	Default  kcclock.Millis `json:"default,omitempty"`
	Priority kcclock.Millis `json:"priority,omitempty"`
}

// WithDefaults returns l with the defaults in place of zeros.
func (l Limits) WithDefaults() Limits {
	l.MaxBodyBytes = cmp.Or(l.MaxBodyBytes, 8<<20)
	l.MaxHeaderBytes = cmp.Or(l.MaxHeaderBytes, 64<<10)
	l.MaxResponseBytes = cmp.Or(l.MaxResponseBytes, 8<<20)
	l.DefaultMaxWaitMs = cmp.Or(l.DefaultMaxWaitMs, kcclock.Minute)
	l.TierMaxWaitMs.Flex = cmp.Or(l.TierMaxWaitMs.Flex, 10*kcclock.Minute)
	l.TierMaxWaitMs.Priority = cmp.Or(l.TierMaxWaitMs.Priority, 10*kcclock.Second)
	l.HeaderTimeoutMs = cmp.Or(l.HeaderTimeoutMs, 10*kcclock.Second)
	// Below the usual stop limit, so that a stalled body does not fail a stop.
	l.BodyTimeoutMs = cmp.Or(l.BodyTimeoutMs, 20*kcclock.Second)
	l.WriteTimeoutMs = cmp.Or(l.WriteTimeoutMs, 30*kcclock.Second)
	l.IdleTimeoutMs = cmp.Or(l.IdleTimeoutMs, 2*kcclock.Minute)
	l.MaxAttempts = cmp.Or(l.MaxAttempts, 3)
	return l
}

// of returns the patience of a tier, 0 for a tier without one, and whether
// the tier exists.
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
