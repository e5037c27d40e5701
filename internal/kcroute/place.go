package kcroute

import (
	"cmp"

	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Upstream is what an instance knows of one upstream that runs a model engine
// or a plain service.
type Upstream struct {
	ID     string
	Zone   string
	Region string
	// Slots is the number of requests that can run at the same time; 0 means 1.
	Slots int
	// Load is the reported number of running and waiting requests plus those
	// that this instance has sent since the report.
	Load int
	// Down is true for an upstream that is leaving, unreachable or excluded by
	// a circuit breaker.
	Down     bool
	hashSeed uint64
}

// Pool is the set of upstreams that serve one version.
type Pool struct {
	Upstreams []Upstream
	// ServiceMs is the expected time that one request holds a slot.
	ServiceMs kcclock.Millis
	// Live, Load and Slots are totals over the upstreams that are not down.
	Live, Load, Slots int
	// proximity caches the proximity tier of each upstream relative to the
	// origin, usually the location of the instance. Comparing names for each
	// upstream would take a fifth of the time of a decision.
	proximity                []uint8
	originZone, originRegion string
}

// NewPool returns a pool with its totals computed. It keeps the slice.
func NewPool(upstreams []Upstream, serviceMs kcclock.Millis) *Pool {
	p := &Pool{Upstreams: upstreams, ServiceMs: serviceMs}
	for i := range p.Upstreams {
		p.Upstreams[i].Slots = max(p.Upstreams[i].Slots, 1)
		p.Upstreams[i].hashSeed = kcset.RendezvousHash("", p.Upstreams[i].ID)
	}
	p.RecomputeTotals()
	return p
}

// RecomputeTotals updates the totals after Upstreams was changed directly.
func (p *Pool) RecomputeTotals() {
	p.Live, p.Load, p.Slots = 0, 0, 0
	for i := range p.Upstreams {
		if r := &p.Upstreams[i]; !r.Down {
			p.Live++
			p.Load += r.Load
			p.Slots += r.Slots
		}
	}
}

// AddLoad changes the load of upstream i by n and updates the totals.
func (p *Pool) AddLoad(i, n int) {
	r := &p.Upstreams[i]
	n = max(n, -r.Load)
	r.Load += n
	if !r.Down {
		p.Load += n
	}
}

// ExpectedWait returns the expected time until a slot is free.
func (p *Pool) ExpectedWait() kcclock.Millis {
	if p.Slots == 0 {
		return 0
	}
	over := p.Load + 1 - p.Slots
	if over <= 0 {
		return 0
	}
	return p.ServiceMs * kcclock.Millis(over) / kcclock.Millis(p.Slots)
}

// PrefixLocator tells which upstream is believed to have a prompt prefix in its
// cache. It is built from cache events, which may be late or lost, so it may be
// wrong.
type PrefixLocator interface {
	// Holder returns the index of the upstream in the pool, or -1.
	Holder(prefix uint64) int
}

// Placement holds the properties of a request on which the choice of an
// upstream depends.
type Placement struct {
	// Prefixes holds the hashes of increasingly long prefixes of the prompt.
	Prefixes []uint64
	Zone     string
	Region   string
	// AllowRemote allows upstreams of other regions. The caller decides it by
	// the byte budget of the link between regions.
	AllowRemote bool
	// Exclude is the index of an upstream that has been tried; -1 excludes
	// none.
	Exclude int
}

// loadFactor bounds the load of an upstream relative to the mean of the pool
// before its prefixes move to another upstream. 1.25 is the usual choice for
// consistent hashing with bounded loads: it keeps most prefixes in place at
// little imbalance.
const loadFactor = 1.25

// updateProximity computes the proximity of each upstream if the origin has
// changed.
func (p *Pool) updateProximity(pl Placement) {
	if len(p.proximity) == len(p.Upstreams) && p.originZone == pl.Zone && p.originRegion == pl.Region {
		return
	}
	p.proximity, p.originZone, p.originRegion = make([]uint8, len(p.Upstreams)), pl.Zone, pl.Region
	for i := range p.Upstreams {
		p.proximity[i] = proximityTier(&p.Upstreams[i], pl)
	}
}

// Proximity tiers, nearest first.
const (
	tierZone = iota
	tierRegion
	tierRemote
	tierCount
)

// ChooseUpstream returns the index of the upstream to use, or -1 if there is
// none. It prefers an upstream of the region that has capacity and holds the
// longest known prefix, then one by rendezvous hashing with bounded loads. A
// request without prefixes gets the least loaded upstream. It visits each
// upstream at most twice and allocates only if the origin has changed.
func ChooseUpstream(p *Pool, pl Placement, loc PrefixLocator) int {
	if p.Live == 0 {
		return -1
	}
	p.updateProximity(pl)
	bound := int(loadFactor*float64(p.Load+1)/float64(p.Live)) + 1
	if loc != nil {
		for i := len(pl.Prefixes) - 1; i >= 0; i-- {
			h := loc.Holder(pl.Prefixes[i])
			if h >= 0 && h < len(p.Upstreams) && h != pl.Exclude && hasCapacity(&p.Upstreams[h], bound) && p.proximity[h] < tierRemote {
				return h
			}
		}
	}
	if len(pl.Prefixes) == 0 {
		return chooseLeastLoaded(p, pl)
	}
	return chooseByRendezvousHash(p, pl, bound)
}

func hasCapacity(r *Upstream, bound int) bool { return !r.Down && r.Load < bound && r.Load < r.Slots }

func proximityTier(r *Upstream, pl Placement) uint8 {
	switch {
	case r.Zone == pl.Zone:
		return tierZone
	case r.Region == pl.Region:
		return tierRegion
	default:
		return tierRemote
	}
}

// chooseByRendezvousHash returns the upstream with the highest hash for the
// first prefix among those under the bound, nearest tier first.
func chooseByRendezvousHash(p *Pool, pl Placement, bound int) int {
	best := [tierCount]int{-1, -1, -1}
	var weight [tierCount]uint64
	key := pl.Prefixes[0]
	for i := range p.Upstreams {
		r := &p.Upstreams[i]
		if i == pl.Exclude || !hasCapacity(r, bound) {
			continue
		}
		t := p.proximity[i]
		if w := kcset.Mix(key ^ r.hashSeed); best[t] < 0 || w > weight[t] {
			best[t], weight[t] = i, w
		}
	}
	near := cmp.Or(best[tierZone]+1, best[tierRegion]+1) - 1
	if near >= 0 {
		return near
	}
	// A near upstream above the bound costs less than the link to another
	// region.
	i := chooseLeastLoaded(p, pl)
	if !pl.AllowRemote || best[tierRemote] < 0 || (i >= 0 && p.Upstreams[i].Load < p.Upstreams[i].Slots) {
		return i
	}
	return best[tierRemote]
}

// chooseLeastLoaded returns the upstream with the smallest share of its slots
// taken, or the nearest of equals. Upstreams of other regions come last.
func chooseLeastLoaded(p *Pool, pl Placement) int {
	best, bestTier := -1, uint8(tierCount)
	for i := range p.Upstreams {
		r := &p.Upstreams[i]
		t := p.proximity[i]
		if r.Down || i == pl.Exclude || (t == tierRemote && !pl.AllowRemote) {
			continue
		}
		if best < 0 || preferred(r, t, &p.Upstreams[best], bestTier) {
			best, bestTier = i, t
		}
	}
	return best
}

// preferred reports whether upstream a in tier at is a better choice than b in
// tier bt.
func preferred(a *Upstream, at uint8, b *Upstream, bt uint8) bool {
	aFree, bFree := a.Load < a.Slots, b.Load < b.Slots
	if (at == tierRemote) != (bt == tierRemote) && aFree == bFree {
		return at < bt
	}
	if x, y := a.Load*b.Slots, b.Load*a.Slots; x != y {
		return x < y
	}
	return at < bt
}

// PrefixIndex is a PrefixLocator of bounded size for one pool. It discards the
// older of two generations of entries when the newer one is full. The zero
// value is not usable.
type PrefixIndex struct {
	generationSize int
	current        map[uint64]int32
	previous       map[uint64]int32
}

// NewPrefixIndex returns an index that keeps between limit/2 and limit prefixes.
func NewPrefixIndex(limit int) *PrefixIndex {
	return &PrefixIndex{generationSize: max(limit/2, 1), current: make(map[uint64]int32)}
}

// Add records that upstream i holds the prefix.
func (x *PrefixIndex) Add(prefix uint64, i int) {
	if len(x.current) >= x.generationSize {
		x.previous, x.current = x.current, make(map[uint64]int32, x.generationSize)
	}
	x.current[prefix] = int32(i)
}

// Remove records that upstream i has evicted the prefix.
func (x *PrefixIndex) Remove(prefix uint64, i int) {
	for _, m := range []map[uint64]int32{x.current, x.previous} {
		if h, ok := m[prefix]; ok && int(h) == i {
			delete(m, prefix)
		}
	}
}

// Holder returns the index of the upstream that is believed to hold the prefix,
// or -1.
func (x *PrefixIndex) Holder(prefix uint64) int {
	if i, ok := x.current[prefix]; ok {
		return int(i)
	}
	if i, ok := x.previous[prefix]; ok {
		return int(i)
	}
	return -1
}
