package kcgate

import (
	"maps"

	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// maxPins bounds the memory for sessions.
const maxPins = 20_000

// sessionKey names a session at a service. Services have versions of their own.
type sessionKey struct{ service, name string }

// pin is the version that the last try of a session went to.
type pin struct {
	version string
	// running is the number of its requests that run, at the end of the last
	// one.
	running int
	at      kcclock.Millis
}

// age returns the time since the last request of the session ended.
func (p pin) age(now kcclock.Millis) kcclock.Millis {
	if p.running > 0 {
		return 0
	}
	return now - p.at
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
	return permit{reason: byState, pin: known.version, pinAgeMs: known.age(o.opts.Clock.Now())}
}

// enter notes that a try of a session goes to a version. first is true for the
// first try of a request. A try counts before it is answered, and also if its
// answer is dropped: it may have run.
func (o *Orders) enter(key sessionKey, version string, first bool) {
	if key.name == "" {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.pins) >= maxPins {
		o.dropPins()
	}
	p := o.pins[key]
	if p.version = version; first {
		p.running++
	}
	o.pins[key] = p
}

// leave notes that a request ended for which enter was called.
func (o *Orders) leave(key sessionKey) {
	if key.name == "" {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.pins[key]
	p.running, p.at = p.running-1, o.opts.Clock.Now()
	o.pins[key] = p
}

// dropPins makes room for sessions: it drops those that are over, and if none
// is, all that have no request running.
func (o *Orders) dropPins() {
	now := o.opts.Clock.Now()
	for _, limit := range []kcclock.Millis{o.opts.Deployment.Bounds.SessionMs, 0} {
		maps.DeleteFunc(o.pins, func(_ sessionKey, p pin) bool { return p.running == 0 && p.age(now) >= limit })
		if len(o.pins) < maxPins {
			return
		}
	}
}
