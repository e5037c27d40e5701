package kcprefix

import (
	"math"

	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// MaxHolders bounds the upstreams of a region that hold copies of a part. It
	// bounds the work of a choice, too.
	MaxHolders = 8
	// holderShare is the share of the time of an upstream that the requests of one
	// shared part may take before they are divided among more holders.
	holderShare = 0.3
	// minRepeats is the number of earlier requests with a part, in rateWindowMs at
	// this instance, from which the part may have more than one holder. Two
	// requests with a rare part meet at one instance by chance.
	minRepeats = 2
	// maxLifetimeMs is the longest time for which a part is expected to be kept,
	// however little is prefilled: other instances may use the memory.
	maxLifetimeMs = 60 * kcclock.Second
	// commonUses is the number of requests for each copy of a part from which all
	// upstreams may hold one: one request in 20 then reads it again. All instances
	// would crowd at a few holders of such a part.
	commonUses = 20
	// noRoomMs is the cost of an upstream whose memory has no room for a request,
	// which waits there until others have ended.
	noRoomMs = 3000
)

// Service is what the weighing considers of the upstreams of a service.
type Service struct {
	Name string
	// Instances is the number of instances that send to the upstreams of the
	// region, Upstreams the number of these upstreams.
	Instances, Upstreams int
	// MemoryTokens is the memory of an upstream in tokens, 0 if unknown.
	MemoryTokens int
}

// Candidate is an upstream that may get the request.
type Candidate struct {
	// Hash is the hash of the id of the upstream. StartedAtMs tells its processes
	// apart.
	Hash        uint64
	StartedAtMs int64
	// Rank is the position among the holders of the shared parts on which all
	// instances of the region agree, or -1.
	Rank int
	// RestartedAt is when this instance saw the upstream start, 0 if it did not.
	RestartedAt kcclock.Millis
	// Running is the estimated number of requests at the upstream, QueuedMs the
	// prefill work that waits there.
	Running  int
	QueuedMs float64
	// Slowdown is the factor by which work takes longer there than usual; 0 means
	// that it is not known.
	Slowdown float64
}

// Cost is what the request costs at an upstream.
type Cost struct {
	// QueuedMs and RequestMs are the wait for prompts ahead and the prefill time of
	// the tokens that the upstream is not believed to hold.
	QueuedMs, RequestMs float64
	// OthersMs is the delay of later requests, and a penalty for lack of memory.
	OthersMs float64
}

// Outcome tells whether the chosen upstream is believed to hold the shared parts of
// a prompt.
type Outcome int

// Values of Outcome.
const (
	// NotWeighed means that the rule without weighing applies, or that the prompt
	// has no shared parts.
	NotWeighed Outcome = iota
	// Expected means that at least half of the shared tokens are expected there.
	Expected
	// Unheld means that they are not.
	Unheld
	// Overflow means Expected at a further holder than the first.
	Overflow
)

// String returns the name of the outcome in metrics.
func (o Outcome) String() string {
	return [...]string{"notWeighed", "expected", "unheld", "overflow"}[o]
}

// Placement is what is believed about the upstream that was chosen.
type Placement struct {
	Outcome
	// HeldTokens is the expected number of tokens of the prompt that it holds, 0
	// without weighing.
	HeldTokens int
}

// Holders returns the number of upstreams among which the requests with the shared
// parts of the prompt are divided: as few as have time for them.
func (b *Beliefs) Holders(s Service, now kcclock.Millis) int {
	r := &b.request
	r.weighed, r.Service, r.holders = true, s, 1
	rates := b.services[s.Name]
	perUpstream := float64(s.Instances) / float64(max(s.Upstreams, 1))
	r.arrivalsPerMs = rates.requests.PerMs(now, rateWindowMs) * perUpstream
	r.meanTokens = 0
	if n := rates.requests.Count(now, rateWindowMs); n > 0 {
		r.meanTokens = rates.tokens.Count(now, rateWindowMs) / n
	}
	r.lifetimeMs = float64(sentTTLMs)
	if tokensPerMs := rates.tokens.PerMs(now, rateWindowMs) * perUpstream; s.MemoryTokens > 0 && tokensPerMs > 0 {
		// Parts are evicted once as many other tokens have been prefilled as the
		// memory holds.
		r.lifetimeMs = min(float64(s.MemoryTokens)/tokensPerMs, float64(maxLifetimeMs))
	}
	for _, key := range r.keys {
		d, _ := b.seen.get(key)
		rate := d.PerMs(now, rateWindowMs) * float64(s.Instances)
		r.rates = append(r.rates, rate)
		r.common = append(r.common, 1-math.Exp(-rate/float64(max(s.Upstreams, 1))*r.lifetimeMs))
	}
	if n := len(r.keys); n >= 2 {
		r.holders = b.holdersOf(n-2, now)
	}
	return r.holders
}

// holdersOf returns the number of holders of the last shared part, i.
func (b *Beliefs) holdersOf(i int, now kcclock.Millis) int {
	r := &b.request
	d, _ := b.seen.get(r.keys[i])
	repeated := d.Count(now, rateWindowMs) >= minRepeats
	usesPerCopy := r.rates[i] * r.lifetimeMs / float64(max(r.Upstreams, 1))
	if repeated && usesPerCopy >= commonUses {
		return 0
	}
	// The requests with the part go to its holders, so that others do not get it.
	r.common[i] = 0
	if !repeated {
		return 1
	}
	workMs := r.MsPerToken * float64(max(r.Tokens-r.sharedTokens, 0))
	return min(1+int(r.rates[i]*workMs/holderShare), MaxHolders)
}

// Weigh returns the cost of the request at an upstream. Holders must have been
// called.
func (b *Beliefs) Weigh(c Candidate, now kcclock.Millis) Cost {
	r := &b.request
	msPerToken := r.MsPerToken * slowdown(c)
	held, heldShared := b.heldTokens(c, now)
	missing := max(float64(r.Tokens)-held, 0)
	cost := Cost{QueuedMs: c.QueuedMs * slowdown(c), RequestMs: msPerToken * missing}
	// Requests that arrive while the upstream is busy wait for this one, too.
	// Shared parts that are read at a holder are not read in vain.
	extra := missing
	if c.Rank >= 0 {
		extra -= min(float64(r.sharedTokens)-heldShared, missing)
	}
	cost.OthersMs = msPerToken * extra * r.arrivalsPerMs * (cost.QueuedMs + cost.RequestMs)
	if r.MemoryTokens > 0 && r.meanTokens*float64(c.Running)+float64(r.Tokens) > float64(r.MemoryTokens) {
		cost.OthersMs += noRoomMs
	}
	return cost
}

func slowdown(c Candidate) float64 {
	if c.Slowdown <= 0 {
		return 1
	}
	return c.Slowdown
}

// heldTokens returns the expected number of tokens of the prompt, and of its shared
// parts, that an upstream holds.
func (b *Beliefs) heldTokens(c Candidate, now kcclock.Millis) (all, shared float64) {
	r := &b.request
	lifetimeMs := r.lifetimeMs
	if r.MemoryTokens > 0 {
		// Requests that run cannot be evicted, so that less is left for parts.
		lifetimeMs *= max(1-r.meanTokens*float64(c.Running)/float64(r.MemoryTokens), 0)
	}
	belief := 1.0
	for i, part := range r.Parts {
		// An engine can use a part only if it holds all parts before it.
		belief = min(belief, b.belief(i, c, lifetimeMs, now))
		all += belief * float64(part.Tokens)
		if i < len(r.Parts)-1 {
			shared = all
		}
	}
	return all, shared
}

// belief returns the probability that an upstream holds a part of the prompt.
func (b *Beliefs) belief(i int, c Candidate, lifetimeMs float64, now kcclock.Millis) float64 {
	r := &b.request
	p := 0.0
	if s, ok := b.sentTo.get(kcset.Mix(r.keys[i] ^ c.Hash)); ok && s.startedAtMs == c.StartedAtMs {
		p = survival(float64(now-s.at), lifetimeMs)
	}
	if i == len(r.Parts)-1 {
		return p
	}
	// Parts at a holder come to it from all instances. A part that all upstreams
	// get often is held by all of them.
	agreed := c.Rank >= 0 && c.Rank < r.holders
	if c.RestartedAt == 0 {
		if agreed {
			return 1
		}
		return max(p, r.common[i])
	}
	perMs := r.rates[i] / float64(max(r.Upstreams, 1))
	if agreed {
		perMs = max(r.rates[i]/float64(r.holders), 1/float64(sentTTLMs))
	}
	return max(p, 1-math.Exp(-perMs*float64(now-c.RestartedAt)))
}

// survival returns the probability that an unused part of an age is still held. It
// falls from 1 at half of the lifetime to 0 at one and a half.
func survival(ageMs, lifetimeMs float64) float64 {
	if lifetimeMs <= 0 {
		return 0
	}
	return max(min(1.5-ageMs/lifetimeMs, 1), 0)
}

// Sent records that the request was sent to an upstream.
func (b *Beliefs) Sent(c Candidate, now kcclock.Millis) Placement {
	r := &b.request
	placement := Placement{}
	if r.weighed {
		b.countRequest(now)
		for i, key := range r.keys {
			if i < len(r.keys)-1 {
				d, _ := b.seen.get(key)
				b.seen.set(key, d.Add(1, now, rateWindowMs))
			}
		}
		placement = b.placement(c, now)
	}
	for _, key := range r.keys {
		b.sentTo.set(kcset.Mix(key^c.Hash), sent{now, c.StartedAtMs})
	}
	return placement
}

func (b *Beliefs) countRequest(now kcclock.Millis) {
	r := &b.request
	if r.Tokens == 0 {
		return
	}
	if b.services == nil {
		b.services = make(map[string]serviceRates)
	}
	x := b.services[r.Name]
	b.services[r.Name] = serviceRates{x.requests.Add(1, now, rateWindowMs), x.tokens.Add(float64(r.Tokens), now, rateWindowMs)}
}

func (b *Beliefs) placement(c Candidate, now kcclock.Millis) Placement {
	all, shared := b.heldTokens(c, now)
	p := Placement{Outcome: Expected, HeldTokens: int(all)}
	switch r := &b.request; {
	case r.sharedTokens == 0:
		p.Outcome = NotWeighed
	case 2*shared < float64(r.sharedTokens):
		p.Outcome = Unheld
	case c.Rank > 0:
		p.Outcome = Overflow
	}
	return p
}
