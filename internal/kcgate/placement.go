package kcgate

import (
	"github.com/cespare/xxhash/v2"

	"github.com/kingcuprail/kingcuprail/internal/kcload"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// perRequestCostMs is what a running request adds to another: an engine that
	// reads a prompt in ten parts makes a step for all running requests between
	// two parts, which takes 0.1 ms more for each of them.
	perRequestCostMs = 1
	// streamHoldMs is about the time that a stream keeps its place.
	streamHoldMs = 3000
	// crossZoneCostMs and crossRegionCostMs are the prices of an upstream in another availability
	// zone and in another region: some round trips, and bytes that are paid.
	crossZoneCostMs   = 8
	crossRegionCostMs = 60
	// peerLoadTTLMs is how long the word of another instance counts.
	peerLoadTTLMs = 1200 * kcclock.Millisecond
	// prefixTTLMs is how long an engine is expected to keep a part of a prompt
	// that nobody used since.
	prefixTTLMs = 10 * kcclock.Second
	// maxPrefixParts bounds the parts that are remembered, twice.
	maxPrefixParts = 8192
)

// prompt is what a request gives an engine to read.
type prompt struct {
	model string
	parts []PromptPart
	// tokens is the length of the whole prompt.
	tokens int
	// msPerToken is the time in which the engine reads a token.
	msPerToken float64
	// affinity is the key of the longest part that other requests share, 0 for
	// none.
	affinity uint64
}

// distanceCostMs returns the price of the distance to an upstream.
func (l *Upstreams) distanceCostMs(u *upstream) float64 {
	switch {
	case u.Zone == l.zone:
		return 0
	case u.region == l.region:
		return crossZoneCostMs
	default:
		return crossRegionCostMs
	}
}

// prefillMs returns the time in which an upstream reads a prompt. At its home the
// shared parts are expected to be read, elsewhere those that this instance
// sent there.
func (l *Upstreams) prefillMs(p prompt, u *upstream, home bool) float64 {
	known := 0
	for i, part := range p.parts {
		shared := i < len(p.parts)-1
		if (!home || !shared) && !l.prefixes.has(p.model, part.ID, u.ID, l.clock.Now()) {
			break
		}
		known += part.Tokens
	}
	return p.msPerToken * float64(max(p.tokens-known, 0))
}

// prefixCache remembers which parts of prompts were sent to which upstream, for
// two generations of a bounded size.
type prefixCache struct{ current, previous map[uint64]kcclock.Millis }

func prefixKey(model, part, upstream string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range [...]string{model, part, upstream} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

func (r *prefixCache) add(p prompt, upstream string, now kcclock.Millis) {
	for _, part := range p.parts {
		if r.current == nil || len(r.current) >= maxPrefixParts {
			r.previous, r.current = r.current, make(map[uint64]kcclock.Millis)
		}
		r.current[prefixKey(p.model, part.ID, upstream)] = now
	}
}

func (r *prefixCache) has(model, part, upstream string, now kcclock.Millis) bool {
	key := prefixKey(model, part, upstream)
	at, ok := r.current[key]
	if !ok {
		at, ok = r.previous[key]
	}
	return ok && now-at < prefixTTLMs
}

// peer is the last word of another instance.
type peerLoad struct {
	seq    uint64
	at     kcclock.Millis
	shares []kcload.Share
}

// SetPeerLoad takes the word of another instance. Older ones are ignored.
func (l *Upstreams) SetPeerLoad(m kcload.Message) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peerLoads[m.Instance]
	if p == nil {
		p = &peerLoad{}
		l.peerLoads[m.Instance] = p
	} else if m.Seq <= p.seq {
		return
	}
	l.addPeerLoad(p, -1)
	p.seq, p.at, p.shares = m.Seq, now, m.Shares
	l.addPeerLoad(p, 1)
}

func (l *Upstreams) addPeerLoad(p *peerLoad, sign int) {
	for _, s := range p.shares {
		if u := l.byID[s.Upstream]; u != nil {
			u.peersWorkMs = max(u.peersWorkMs+float64(sign*s.WorkMs), 0)
			u.peersRunning = max(u.peersRunning+sign*s.Running, 0)
		}
	}
}

// expirePeerLoads forgets instances that have been silent.
func (l *Upstreams) expirePeerLoads(now kcclock.Millis) {
	for name, p := range l.peerLoads {
		if now-p.at > peerLoadTTLMs {
			l.addPeerLoad(p, -1)
			delete(l.peerLoads, name)
		}
	}
}

// Shares returns the work of this instance for its peers.
func (l *Upstreams) LoadShares() []kcload.Share {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []kcload.Share
	for _, u := range l.byID {
		if u.inFlight > 0 {
			out = append(out, kcload.Share{Upstream: u.ID, WorkMs: int(u.pendingWorkMs), Running: u.inFlight})
		}
	}
	return out
}
