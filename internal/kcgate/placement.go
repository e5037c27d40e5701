package kcgate

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuprail/kingcuprail/internal/kcload"
	"github.com/kingcuprail/kingcuprail/internal/kcspeed"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// perRequestCostMs is the cost of each running request. An engine that
	// prefills a prompt in ten chunks makes a step for all running requests
	// between two chunks, which takes 0.1 ms longer for each of them.
	perRequestCostMs = 1
	// streamHoldMs is roughly how long a stream occupies a slot.
	streamHoldMs = 3000
	// crossZoneCostMs and crossRegionCostMs are the placement costs of an
	// upstream in another availability zone and in another region. They cover
	// some round trips and the paid traffic.
	crossZoneCostMs   = 8
	crossRegionCostMs = 60
	// prefixTTLMs is how long an engine is expected to keep an unused part of a
	// prompt in its prefix cache.
	prefixTTLMs = 10 * kcclock.Second
	// maxPrefixParts bounds the entries of each of the two generations of a
	// prefixCache.
	maxPrefixParts = 8192
)

// prompt is what an engine has to prefill for a request.
type prompt struct {
	model string
	parts []PromptPart
	// tokens is the length of the whole prompt.
	tokens int
	// msPerToken is the prefill time per token in milliseconds.
	msPerToken float64
	// affinity identifies the longest part that is shared with other requests. It
	// is 0 if there is none.
	affinity uint64
}

// distance is how far an upstream is away.
type distance int

const (
	inZone distance = iota
	inRegion
	inOtherRegion
	distances
)

func (l *Upstreams) distance(u *upstream) distance {
	switch {
	case u.Zone == l.zone:
		return inZone
	case u.region == l.region:
		return inRegion
	default:
		return inOtherRegion
	}
}

// distanceCostMs holds the placement cost of each distance.
var distanceCostMs = [distances]float64{inRegion: crossZoneCostMs, inOtherRegion: crossRegionCostMs}

// prefillMs returns the expected prefill time of a prompt at an upstream. At the
// prefix home, the shared parts are expected to be cached. Elsewhere, only the
// parts that this instance has sent there are.
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

// prefixCache remembers which parts of prompts were sent to which upstream. It
// keeps two generations of bounded size.
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

// SetPeerLoad records the load report of another instance. Older reports are
// ignored.
func (l *Upstreams) SetPeerLoad(m kcload.Message) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	old, newer := l.peers.Set(now, m, l.peerZones[m.Instance] != l.zone)
	if !newer {
		return
	}
	l.addPeerLoad(old, -1)
	l.addPeerLoad(m.Loads, 1)
	l.addPeerActivity(m.Loads, now)
	l.addPeerFigures(m.Loads, now)
}

// addPeerFigures records what a peer has heard from upstreams about their load and
// speed. An instance among hundreds hears of an upstream itself every half minute.
func (l *Upstreams) addPeerFigures(loads []kcload.UpstreamLoad, now kcclock.Millis) {
	for _, s := range loads {
		if u := l.byID[s.Upstream]; u != nil && s.HasFigure {
			u.figures.Merge(now-kcclock.Millis(s.FigureMsAgo), s.Figure, u.inFlight)
			u.queue.Record(s.Figure.Waiting)
			l.recordSpeedNamed(u, s.Figure)
		}
	}
}

// recordSpeedNamed records that an upstream names its speed, if it does.
func (l *Upstreams) recordSpeedNamed(u *upstream, load Load) {
	if load.Speed > 0 && !l.state(u.Service).namesSpeed {
		l.state(u.Service).namesSpeed, l.sharesFigures = true, true
	}
}

func (l *Upstreams) addPeerLoad(loads []kcload.UpstreamLoad, sign int) {
	for _, s := range loads {
		if u := l.byID[s.Upstream]; u != nil {
			u.peersWorkMs = max(u.peersWorkMs+float64(sign*s.PendingWorkMs), 0)
			u.peersRunning = max(u.peersRunning+sign*s.RunningRequests, 0)
			u.memory.AddPeer(sign, s.RunningRequests, s.Tokens)
		}
	}
}

// addPeerActivity records what a peer has heard of upstreams. It answers
// deployments of hundreds of instances, each of which has one request at an
// upstream: a prompt that waits behind those of others looks like a dead upstream
// there.
func (l *Upstreams) addPeerActivity(loads []kcload.UpstreamLoad, now kcclock.Millis) {
	for _, s := range loads {
		u := l.byID[s.Upstream]
		if u == nil || !s.Heard {
			continue
		}
		// The reports of one upstream arrive one after the other under l.mu. A
		// response of its own that is read at this moment may be lost, which makes
		// the upstream seem silent for as long as the report is old.
		if at := int64(now) - int64(s.HeardMsAgo); at > u.lastActivityAt.Load() {
			u.lastActivityAt.Store(at)
		}
	}
}

// expirePeerLoads removes the reports of instances that stopped sending them.
func (l *Upstreams) expirePeerLoads(now kcclock.Millis) {
	l.peers.Expire(now, func(loads []kcload.UpstreamLoad) { l.addPeerLoad(loads, -1) })
}

// LoadShares returns the load of this instance on each upstream, for its peers.
// An unchanged load is returned in the same order, so that it is not sent again.
func (l *Upstreams) LoadShares() []kcload.UpstreamLoad {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []kcload.UpstreamLoad
	for _, u := range l.byID {
		figure, age, heard := u.figures.Own(now)
		heard = heard && l.sharesFigures
		if u.inFlight > 0 || heard && age <= kcspeed.DeviationSpanMs {
			s := kcload.UpstreamLoad{Upstream: u.ID, PendingWorkMs: int(u.pendingWorkMs), RunningRequests: u.inFlight}
			if heardAt := u.heardAt.Load(); heardAt != 0 {
				s.Heard, s.HeardMsAgo = true, int(int64(now)-heardAt)
			}
			if l.capacity != nil {
				s.Tokens = u.memory.Own
			}
			if heard {
				figure.Slots = 0
				s.HasFigure, s.Figure, s.FigureMsAgo = true, figure, int(age)
			}
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b kcload.UpstreamLoad) int {
		return cmp.Or(cmp.Compare(min(b.RunningRequests, 1), min(a.RunningRequests, 1)), cmp.Compare(a.Upstream, b.Upstream))
	})
	return out
}
