package kcgate

import (
	"github.com/cespare/xxhash/v2"

	"github.com/kingcuprail/kingcuprail/internal/kcload"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// perRequestMs is what a running request adds to another: an engine that
	// reads a prompt in ten parts makes a step for all running requests between
	// two parts, which takes 0.1 ms more for each of them.
	perRequestMs = 1
	// engineHoldMs is about the time that a stream keeps its place.
	engineHoldMs = 3000
	// zoneMs and regionMs are the prices of an upstream in another availability
	// zone and in another region: some round trips, and bytes that are paid.
	zoneMs   = 8
	regionMs = 60
	// peerMs is how long the word of another instance counts.
	peerMs = 1200 * kcclock.Millisecond
	// readKeepMs is how long an engine is expected to keep a part of a prompt
	// that nobody used since.
	readKeepMs = 10 * kcclock.Second
	// maxReadParts bounds the parts that are remembered, twice.
	maxReadParts = 8192
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

// farMs returns the price of the distance to an upstream.
func (l *Upstreams) farMs(u *upstream) float64 {
	switch {
	case u.Zone == l.zone:
		return 0
	case u.region == l.region:
		return zoneMs
	default:
		return regionMs
	}
}

// readMs returns the time in which an upstream reads a prompt. At its home the
// shared parts are expected to be read, elsewhere those that this instance
// sent there.
func (l *Upstreams) readMs(p prompt, u *upstream, home bool) float64 {
	known := 0
	for i, part := range p.parts {
		shared := i < len(p.parts)-1
		if (!home || !shared) && !l.reads.has(p.model, part.ID, u.ID, l.clock.Now()) {
			break
		}
		known += part.Tokens
	}
	return p.msPerToken * float64(max(p.tokens-known, 0))
}

// readParts remembers which parts of prompts were sent to which upstream, for
// two generations of a bounded size.
type readParts struct{ young, old map[uint64]kcclock.Millis }

func readKey(model, part, upstream string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range [...]string{model, part, upstream} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

func (r *readParts) add(p prompt, upstream string, now kcclock.Millis) {
	for _, part := range p.parts {
		if r.young == nil || len(r.young) >= maxReadParts {
			r.old, r.young = r.young, make(map[uint64]kcclock.Millis)
		}
		r.young[readKey(p.model, part.ID, upstream)] = now
	}
}

func (r *readParts) has(model, part, upstream string, now kcclock.Millis) bool {
	key := readKey(model, part, upstream)
	at, ok := r.young[key]
	if !ok {
		at, ok = r.old[key]
	}
	return ok && now-at < readKeepMs
}

// peer is the last word of another instance.
type peer struct {
	seq    uint64
	at     kcclock.Millis
	shares []kcload.Share
}

// SetPeerLoad takes the word of another instance. Older ones are ignored.
func (l *Upstreams) SetPeerLoad(m kcload.Message) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[m.Instance]
	if p == nil {
		p = &peer{}
		l.peers[m.Instance] = p
	} else if m.Seq <= p.seq {
		return
	}
	l.addPeer(p, -1)
	p.seq, p.at, p.shares = m.Seq, now, m.Shares
	l.addPeer(p, 1)
}

func (l *Upstreams) addPeer(p *peer, sign int) {
	for _, s := range p.shares {
		if u := l.byID[s.Upstream]; u != nil {
			u.peersWorkMs = max(u.peersWorkMs+float64(sign*s.WorkMs), 0)
			u.peersRunning = max(u.peersRunning+sign*s.Running, 0)
		}
	}
}

// expirePeers forgets instances that have been silent.
func (l *Upstreams) expirePeers(now kcclock.Millis) {
	for name, p := range l.peers {
		if now-p.at > peerMs {
			l.addPeer(p, -1)
			delete(l.peers, name)
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
			out = append(out, kcload.Share{Upstream: u.ID, WorkMs: int(u.workMs), Running: u.inFlight})
		}
	}
	return out
}
