// Package kcprefix estimates which parts of a prompt the upstreams of a service
// hold in their prefix caches, and what a request costs at each of them. The
// functions take the time and their inputs as arguments. A Beliefs is the
// knowledge of one instance; its caller provides the lock.
package kcprefix

import (
	"github.com/cespare/xxhash/v2"

	"github.com/kingcuprail/kingcuprail/internal/kcroute"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// sentTTLMs is how long an engine is expected to keep an unused part of a
	// prompt, if nothing is known about its memory.
	sentTTLMs = 10 * kcclock.Second
	// maxEntries bounds the entries of each of the two generations of a table.
	maxEntries = 8192
	// rateWindowMs is the window of the moving rates. A part that gets a quarter of
	// the 100 requests a second of a kind reaches each of 80 instances six times in
	// it.
	rateWindowMs = 20 * kcclock.Second
)

// Part is one part of a prompt. An engine can reuse its prefix cache for requests
// whose prompts begin with the same parts.
type Part struct {
	ID     string
	Tokens int
}

// sent is when a part was last sent to an upstream, and which process it was.
type sent struct {
	at          kcclock.Millis
	startedAtMs int64
}

// table is a map of bounded size. The older of its two generations is dropped
// when the newer one is full.
type table[V any] struct{ current, previous map[uint64]V }

func (t *table[V]) get(key uint64) (V, bool) {
	v, ok := t.current[key]
	if !ok {
		v, ok = t.previous[key]
	}
	return v, ok
}

func (t *table[V]) set(key uint64, v V) {
	if t.current == nil || len(t.current) >= maxEntries {
		t.previous, t.current = t.current, make(map[uint64]V)
	}
	t.current[key] = v
}

// Beliefs is what one instance knows about the prefix caches of upstreams: which
// parts it has sent to which upstream, and how often it sees each part.
type Beliefs struct {
	sentTo   table[sent]
	seen     table[kcroute.Rate]
	services map[string]serviceRates
	// request is the request that is being placed.
	request request
}

// serviceRates counts the requests to a service that have a prompt, and their
// tokens.
type serviceRates struct{ requests, tokens kcroute.Rate }

// Prompt is what an engine has to prefill for a request.
type Prompt struct {
	Model string
	Parts []Part
	// Tokens is the length of the whole prompt.
	Tokens int
	// MsPerToken is the prefill time per token in milliseconds.
	MsPerToken float64
	// Affinity identifies the longest part that is shared with other requests. It
	// is 0 if there is none.
	Affinity uint64
}

// NewPrompt returns a prompt.
func NewPrompt(model string, parts []Part, tokens int, msPerToken float64) Prompt {
	p := Prompt{Model: model, Parts: parts, Tokens: tokens, MsPerToken: msPerToken}
	// The last part is specific to the request or its session, so the affinity key
	// is the part before it.
	if n := len(parts); n >= 2 {
		p.Affinity = xxhash.Sum64String(parts[n-2].ID) | 1
	}
	return p
}

// request holds what does not depend on the upstream.
type request struct {
	Prompt
	keys []uint64
	// sharedTokens is the length of all parts but the last, which is specific to
	// the request or its session.
	sharedTokens int
	// The fields below are set by Holders.
	weighed bool
	Service
	// rates holds how often per millisecond the instances of the region together
	// see each part, common the belief that any upstream holds it.
	rates, common []float64
	// lifetimeMs is how long an unused part is kept, holders the number of holders
	// among which the requests of the shared parts are divided.
	lifetimeMs float64
	holders    int
	// meanTokens is the mean length of prompts, arrivalsPerMs the rate of requests
	// at an upstream.
	meanTokens, arrivalsPerMs float64
}

// Begin starts the placement of a request, to which the methods below refer.
func (b *Beliefs) Begin(p Prompt) {
	r := &b.request
	*r = request{Prompt: p, keys: r.keys[:0], rates: r.rates[:0], common: r.common[:0]}
	for i, part := range p.Parts {
		r.keys = append(r.keys, partKey(p.Model, part.ID))
		if i < len(p.Parts)-1 {
			r.sharedTokens += part.Tokens
		}
	}
}

func partKey(model, part string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(model)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(part)
	return d.Sum64()
}

// PrefillMs returns the expected prefill time at an upstream by the rule without
// weighing. At the home, the shared parts are expected to be cached. Elsewhere,
// only the parts that this instance has sent there in the last 10 s are.
func (b *Beliefs) PrefillMs(c Candidate, now kcclock.Millis) float64 {
	r := &b.request
	known := 0
	for i, part := range r.Parts {
		if shared := i < len(r.Parts)-1; c.Rank != 0 || !shared {
			if s, ok := b.sentTo.get(kcset.Mix(r.keys[i] ^ c.Hash)); !ok || now-s.at >= sentTTLMs {
				break
			}
		}
		known += part.Tokens
	}
	return r.MsPerToken * float64(max(r.Tokens-known, 0))
}
