package kcgate

import (
	"cmp"
	"slices"

	"github.com/kingcuprail/kingcuprail/internal/kcload"
	"github.com/kingcuprail/kingcuprail/internal/kcprefix"
	"github.com/kingcuprail/kingcuprail/internal/kcroute"
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
)

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

// weighsPrefixes reports whether the belief about prefix caches is weighed for a
// service.
func (l *Upstreams) weighsPrefixes(service string) bool {
	return l.overload || l.state(service).namesSpeed
}

func (u *upstream) prefixCandidate(holders []*upstream) kcprefix.Candidate {
	return kcprefix.Candidate{
		Hash: u.idHash, StartedAtMs: u.StartedAtMs, RestartedAt: u.restartedAt, Rank: slices.Index(holders, u),
	}
}

// addPrefill adds the prefill of a prompt at an upstream to work. Holders must have
// been called.
func (l *Upstreams) addPrefill(
	w *pickCriteria, u *upstream, holders []*upstream, work *kcroute.UpstreamWork, now kcclock.Millis,
) {
	c := u.prefixCandidate(holders)
	if !l.weighsPrefixes(w.service) {
		work.RequestMs = l.prefixes.PrefillMs(c, now)
		return
	}
	// The upstream has worked since the last report on it.
	c.Running = work.Running
	c.QueuedMs = u.pendingWorkMs + max(u.peersWorkMs-float64(now-u.peersWorkAt), 0)
	cost := l.prefixes.Weigh(c, now)
	work.QueuedMs, work.RequestMs = cost.QueuedMs, cost.RequestMs
	work.DistanceMs += cost.OthersMs
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
// Only admission needs the load: in the choice of an upstream it is older than what
// instances tell of their own requests, and made waits longer.
func (l *Upstreams) addPeerFigures(loads []kcload.UpstreamLoad, now kcclock.Millis) {
	for _, s := range loads {
		if u := l.byID[s.Upstream]; u != nil && s.HasFigure {
			if at := now - kcclock.Millis(s.FigureMsAgo); l.overload {
				u.figures.Merge(at, s.Figure, u.inFlight)
				u.queue.Record(s.Figure.Waiting)
			} else {
				u.figures.MergeSpeed(at, s.Figure)
			}
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
			if sign > 0 && s.PendingWorkMs > 0 {
				u.peersWorkAt = l.clock.Now()
			}
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
