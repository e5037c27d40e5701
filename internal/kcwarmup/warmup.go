package kcwarmup

import (
	"log/slog"
	"math"
	"slices"

	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// windowMs is the time in which the senders of an upstream keep its bound: the
	// second that counts, and the difference between the times that two requests
	// take to the upstream.
	windowMs = 1250 * kcclock.Millisecond
	// views is the number of sets of instances that may disagree on who is listed,
	// each with senders of its own: after a partition in which instances were
	// replaced, or while a list is read.
	views = 2
	// entryAgeMs is how old an entry of an upstream may be when it is read. What it
	// says does not count against anything more recent.
	entryAgeMs = 2000 * kcclock.Millisecond
	// maxColdMs bounds the time for which an upstream may say that it stays cold. It
	// says so again before that.
	maxColdMs = 10 * kcclock.Minute
	// maxBound is above any number of requests that an upstream gets in a second.
	maxBound = 1 << 20
	// minWaitMs is the shortest time that is proposed to a caller: another instance
	// may have a share now.
	minWaitMs = 100 * kcclock.Millisecond
)

// Plan tells how many instances send to a cold upstream, and how often each of them
// does.
type Plan struct {
	Senders int
	// IntervalMs is the shortest time between two requests of a sender.
	IntervalMs kcclock.Millis
}

// NewPlan returns the plan with the highest rate that keeps the bound of
// perSecond * overage + slack requests in any second, also if two sets of senders
// use it. The mean rate of one set stays below perSecond. With equal rates, more
// senders are better: fewer requests have to be turned away. No instance sends if
// there is no such plan.
func NewPlan(perSecond, overage, slack float64, listed int) Plan {
	bound := math.Floor(perSecond*overage + slack)
	if math.IsNaN(bound) || perSecond <= 0 {
		return Plan{}
	}
	budget := int(max(min(bound, maxBound), 0)) / views
	var p Plan
	best := 0
	for n := 1; n <= min(listed, budget); n++ {
		each := budget / n
		if n*each < best {
			continue
		}
		best = n * each
		atRate := min(math.Ceil(float64(n)*float64(kcclock.Second)/perSecond), float64(maxColdMs))
		p = Plan{n, max((windowMs+kcclock.Millis(each)-1)/kcclock.Millis(each), kcclock.Millis(atRate))}
	}
	return p
}

// rank returns the number of instances that come before one in the order in which
// instances are chosen as senders of an upstream, counted up to limit. listed holds
// the other ones.
func rank(upstream, instance string, listed []string, limit int) (ahead int) {
	own := kcset.RendezvousHash(upstream, instance)
	for _, other := range listed {
		if ahead == limit {
			break
		}
		if h := kcset.RendezvousHash(upstream, other); h > own || h == own && other < instance {
			ahead++
		}
	}
	return ahead
}

// State is what an instance knows about how warm an upstream is, and when it last
// sent to it.
//
// A nil State is that of an upstream without a rate.
type State struct {
	// since and until bound the time for which the upstream counts as cold.
	until, since      kcclock.Millis
	upstream, service string
	// Each of these times makes the upstream cold for some time, if it is not 0.
	newAt, returnedAt, failedAt kcclock.Millis
	// reportedUntil is the end of the time that the upstream or its entry has
	// reported. reportedAt is when the upstream itself last did.
	reportedAt, reportedUntil kcclock.Millis
	sentAt                    kcclock.Millis
	// The fields below hold for the time after since and the list of instances
	// number listing. nextAt is the time of the next request of a sender.
	planned bool
	listing int
	sender  bool
	plan    Plan
	nextAt  kcclock.Millis
}

// Entry is what the registry says of an upstream.
type Entry struct {
	Upstream, Service string
	ColdLeftMs        kcclock.Millis
	// Fresh is true for a process that this instance has not known before, and that
	// may have started just before it was listed.
	Fresh bool
}

// Warmup decides which requests of an instance cold upstreams get. It answers
// upstreams that crash under a rate that all instances together reach easily: few
// instances send to each of them, at fixed intervals, and all instances choose the
// same ones from the list of instances, whether or not they can reach each other. It
// is not safe for concurrent use.
type Warmup struct {
	Instance string
	// Overage and Slack are the settings of the bound.
	Overage, Slack float64
	Log            *slog.Logger
	services       map[string]kctable.ColdStart
	// listed holds the other instances of the region.
	listed    []string
	listKnown bool
	// listing counts the lists and configurations, with which the senders change.
	// plans holds the current plans by service.
	listing int
	plans   map[string]Plan
}

// SetServices sets what the configuration says of cold upstreams. Refresh must be
// called for each upstream.
func (w *Warmup) SetServices(services map[string]kctable.ColdStart) {
	w.services, w.plans, w.listing = services, nil, w.listing+1
}

// HasRate reports whether upstreams of a service take few requests while cold.
func (w *Warmup) HasRate(service string) bool { return w.services[service].PerSecond > 0 }

// SetInstances sets the other instances of the region.
func (w *Warmup) SetInstances(names []string) {
	list := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == w.Instance })
	slices.Sort(list)
	if !w.listKnown || !slices.Equal(list, w.listed) {
		w.listed, w.listKnown, w.listing, w.plans = list, true, w.listing+1, nil
	}
}

// Observe records an entry of the registry.
func (w *Warmup) Observe(s *State, e Entry, now kcclock.Millis) {
	s.upstream, s.service = e.Upstream, e.Service
	if e.Fresh {
		s.newAt = now
	}
	until := now + min(e.ColdLeftMs, maxColdMs)
	if !e.Fresh && now-s.reportedAt < entryAgeMs {
		until = max(until, s.reportedUntil)
	}
	s.reportedUntil = until
	if e.Fresh || now-s.failedAt >= entryAgeMs {
		s.failedAt = 0
	}
	w.Refresh(s, now)
}

// Report records what the upstream itself says with a response.
func (w *Warmup) Report(s *State, coldMs, now kcclock.Millis) {
	if s == nil {
		return
	}
	s.reportedAt, s.reportedUntil, s.failedAt = now, now+min(coldMs, maxColdMs), 0
	w.Refresh(s, now)
}

// Failed records a connection to the upstream that failed or broke: its process may
// have started anew.
func (w *Warmup) Failed(s *State, now kcclock.Millis) {
	if s != nil {
		s.failedAt = now
		w.Refresh(s, now)
	}
}

// Returned records the end of the evacuation of the zone of the upstream.
func (w *Warmup) Returned(s *State, now kcclock.Millis) {
	if s != nil {
		s.returnedAt = now
		w.Refresh(s, now)
	}
}

// Refresh computes until when the upstream counts as cold. A failure counts until a
// newer entry, and without one as long as a process that has started since may need,
// so that an instance without the store goes on.
func (w *Warmup) Refresh(s *State, now kcclock.Millis) {
	c := w.services[s.service]
	until, cause := s.reportedUntil, "reported"
	for _, x := range [...]struct {
		cause     string
		at, forMs kcclock.Millis
	}{{"new", s.newAt, c.ForMs}, {"evacuated", s.returnedAt, c.ForMs}, {"failed", s.failedAt, c.ForMs + entryAgeMs}} {
		if x.at > 0 && c.ForMs > 0 && x.at+x.forMs > until {
			until, cause = x.at+x.forMs, x.cause
		}
	}
	if c.PerSecond <= 0 {
		until = 0
	}
	wasCold := now < s.until
	if s.until = until; now >= until || wasCold {
		return
	}
	s.since, s.planned = now, false
	if w.Log != nil {
		w.Log.Info("upstream cold", "upstream", s.upstream, "service", s.service, "cause", cause, "forMs", until-now,
			"listed", len(w.listed)+1, "listKnown", w.listKnown)
	}
}

// StartedRecently reports whether an upstream of a service that has started some
// time ago may be cold. The clocks of two machines differ by less than the age of an
// entry, or are of no use.
func (w *Warmup) StartedRecently(service string, ago kcclock.Millis) bool {
	return ago > -entryAgeMs && ago < w.services[service].ForMs+entryAgeMs
}

// Cold reports whether the upstream counts as cold.
func (s *State) Cold(now kcclock.Millis) bool { return s != nil && now < s.until }

// May reports whether this instance may send a request to the upstream. heard is
// true if it has heard from a peer recently.
func (w *Warmup) May(s *State, now kcclock.Millis, heard bool) bool {
	return !s.Cold(now) || w.shares(s, now, heard) && now >= s.nextAt
}

// shares reports whether this instance is a sender of the cold upstream. An instance
// that should hear peers and does not may be the only one that takes itself for a
// part of the deployment.
func (w *Warmup) shares(s *State, now kcclock.Millis, heard bool) bool {
	// An instance that hears peers which its list does not name yet has an old list.
	if !w.listKnown || (len(w.listed) > 0) != heard {
		return false
	}
	if s.planned && s.listing == w.listing {
		return s.sender
	}
	wasSender := s.planned && s.sender
	c := w.services[s.service]
	if w.plans == nil {
		w.plans = make(map[string]Plan)
	}
	p, known := w.plans[s.service]
	if !known {
		p = NewPlan(c.PerSecond, w.Overage, w.Slack, len(w.listed)+1)
		w.plans[s.service] = p
	}
	s.plan = p
	ahead := rank(s.upstream, w.Instance, w.listed, s.plan.Senders)
	s.sender = ahead < s.plan.Senders
	every := s.plan.IntervalMs
	switch {
	case !s.sender:
	case !s.planned:
		// The first requests of the senders are spread over an interval.
		s.nextAt = max(s.since+every*kcclock.Millis(ahead+1)/kcclock.Millis(s.plan.Senders), s.sentAt+every)
	case wasSender:
		s.nextAt = max(s.nextAt, s.sentAt+every)
	default:
		s.nextAt = max(now, s.sentAt) + every
	}
	s.planned, s.listing = true, w.listing
	return s.sender
}

// Take counts a request to the upstream.
func (w *Warmup) Take(s *State, now kcclock.Millis) {
	if s == nil {
		return
	}
	s.sentAt = now
	if now < s.until {
		s.nextAt = now + s.plan.IntervalMs
	}
}

// Wait returns the time until this instance may send to the cold upstream: its next
// turn, or the end of the time for which the upstream is cold.
func (w *Warmup) Wait(s *State, now kcclock.Millis, heard bool) kcclock.Millis {
	left := s.until - now
	if w.shares(s, now, heard) {
		left = min(left, s.nextAt-now)
	}
	return max(left, minWaitMs)
}
