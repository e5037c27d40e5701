package kcgate

import (
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// maxPins bounds the memory for sessions.
const maxPins = 20_000

// sessionKey names a session at a service. Services have versions of their own.
type sessionKey struct{ service, name string }

// pin is the version that the last answer of a session came from.
type pin struct {
	version string
	at      kcclock.Millis
}

// point maps a session, or a request without one, to a number from 0 to 1 on
// which all instances agree.
func point(key string) float64 {
	return float64(kcset.RendezvousHash(key, "")>>11) / (1 << 53)
}

// lastVersion returns a permit with the last known version of a session.
func (o *Orders) lastVersion(key sessionKey) permit {
	known, ok := o.pins[key]
	if !ok {
		return permit{reason: byState}
	}
	return permit{reason: byState, pin: known.version, pinAgeMs: o.opts.Clock.Now() - known.at}
}

// note records the version that a session is served by.
func (o *Orders) note(key sessionKey, version string) {
	if key.name == "" {
		return
	}
	now := o.opts.Clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.pins) >= maxPins {
		for k, p := range o.pins {
			if now-p.at >= o.opts.Deployment.Bounds.SessionMs {
				delete(o.pins, k)
			}
		}
		if len(o.pins) >= maxPins {
			clear(o.pins)
		}
	}
	o.pins[key] = pin{version, now}
}
