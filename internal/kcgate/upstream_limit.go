package kcgate

import (
	"maps"
	"slices"

	"github.com/kingcuprail/kingcuprail/internal/kclimit"
	"github.com/kingcuprail/kingcuprail/internal/kcload"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// limitReportIntervalMs is the time between reports on a limit that has not
	// changed, for instances that have started since or missed the last one.
	limitReportIntervalMs = 500 * kcclock.Millisecond
	// limitReportSends is the number of times that the end of a limit is reported.
	limitReportSends = 3
	// senderShareTTLMs is how long the share of this instance is kept. Peers count
	// as live for several times as long.
	senderShareTTLMs = 100 * kcclock.Millisecond
)

// upstreamLimit is the limit of an upstream and the share of this instance.
type upstreamLimit struct {
	kclimit.Upstream
	share   float64
	shareAt kcclock.Millis
	// heard is true if this instance has the limit from the upstream. reportAt is
	// the time of the next report, reportsLeft the number of reports on the end of
	// the limit.
	heard       bool
	reportAt    kcclock.Millis
	reportsLeft int
}

// mayUse reports whether the limit of an upstream, and its state if it is cold, leave
// room for a request of this instance.
func (l *Upstreams) mayUse(u *upstream, now kcclock.Millis) bool {
	return (!u.warm.Cold(now) || u.region == l.region && l.warmup.May(u.warm, now, l.heard())) &&
		(u.limit == nil || u.limit.PerSecond < 0 || u.limit.Has(now, l.senderShare(u, now)))
}

// senderShare returns the share of this instance in the limit of an upstream, in
// requests a second. Only instances of its region send to it.
func (l *Upstreams) senderShare(u *upstream, now kcclock.Millis) float64 {
	lim := u.limit
	if lim.shareAt != 0 && now-lim.shareAt < senderShareTTLMs {
		return lim.share
	}
	lim.share, lim.shareAt = 0, now
	if u.region == l.region {
		live := make([]kclimit.Sender, 0, l.peers.Len())
		for name := range l.peers.Names() {
			live = append(live, kclimit.Sender{Instance: name, Near: l.peerZones[name] == u.Zone})
		}
		lim.share = kclimit.SenderShare(u.ID, lim.PerSecond, kclimit.Sender{Instance: l.instance, Near: l.zone == u.Zone}, live)
	}
	return lim.share
}

// takeLimit counts a request to an upstream against its limit.
func (l *Upstreams) takeLimit(u *upstream, now kcclock.Millis) {
	l.warmup.Take(u.warm, now)
	if u.limit != nil && u.limit.PerSecond >= 0 {
		u.limit.Take(now, l.senderShare(u, now))
	}
}

// shared returns the upstreams that name a limit of which this instance has a part
// left. They are compared for each request, however many upstreams there are,
// because few other instances may send to them.
func (l *Upstreams) shared(w *pickCriteria, candidates upstreamsByDistance, now kcclock.Millis) (list []*upstream) {
	for _, u := range l.limited {
		if u.limit.PerSecond >= 0 && l.accepts(w, u, now) && slices.Contains(candidates[l.distance(u)], u) {
			list = append(list, u)
		}
	}
	return list
}

// SetPeerZones sets the availability zones of the other instances of the region.
func (l *Upstreams) SetPeerZones(zones map[string]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peerZones = zones
	l.warmup.SetInstances(slices.Collect(maps.Keys(zones)))
}

// recordLimit records the limit that a response of an upstream names, or that it
// names none.
func (l *Upstreams) recordLimit(c *pickedUpstream, head ResponseMeta) {
	perSecond := kclimit.NoLimit
	switch {
	case head.HasLimit:
		perSecond = head.LimitPerSecond
	case !head.FromApplication:
		// Whatever sent the response may not know the limit.
		return
	}
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.u.limit == nil && perSecond < 0 {
		return
	}
	l.setLimit(c.u, perSecond, now, "response")
	c.u.limit.heard = true
}

func (l *Upstreams) setLimit(u *upstream, perSecond float64, at kcclock.Millis, source string) {
	now := l.clock.Now()
	if u.limit == nil {
		u.limit = &upstreamLimit{Upstream: kclimit.Upstream{PerSecond: kclimit.NoLimit}}
	}
	if !u.limit.Set(perSecond, at, now) {
		return
	}
	u.limit.heard, u.limit.shareAt, u.limit.reportAt = false, 0, now
	u.limit.reportsLeft = limitReportSends
	if !slices.Contains(l.limited, u) {
		l.limited = append(l.limited, u)
	}
	l.log.Info("upstream limit", "upstream", u.ID, "perSecond", perSecond, "ageMs", now-at, "source", source,
		"share", l.senderShare(u, now))
}

// LimitReport returns what the peers should hear about limits now. ok is false if
// there is nothing.
func (l *Upstreams) LimitReport() (r kcload.LimitReport, ok bool) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Instance = l.instance
	l.limited = slices.DeleteFunc(l.limited, func(u *upstream) bool { return l.byID[u.ID] != u })
	for _, u := range l.limited {
		lim := u.limit
		if !lim.heard || now < lim.reportAt || lim.PerSecond < 0 && lim.reportsLeft == 0 {
			continue
		}
		lim.reportAt = now + limitReportIntervalMs
		lim.reportsLeft = max(lim.reportsLeft-1, 0)
		r.Limits = append(r.Limits, kcload.UpstreamLimit{
			Upstream: u.ID, StartedAtMs: u.StartedAtMs, PerSecond: lim.PerSecond, At: lim.At,
		})
	}
	return r, len(r.Limits) > 0
}

// MergeLimits adds what a peer has heard about limits. A limit ends with the process
// that has named it.
func (l *Upstreams) MergeLimits(r kcload.LimitReport) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, x := range r.Limits {
		u := l.byID[x.Upstream]
		if u != nil && u.StartedAtMs == x.StartedAtMs && (x.PerSecond >= 0 || u.limit != nil) {
			l.setLimit(u, x.PerSecond, min(x.At, now), r.Instance)
		}
	}
}
