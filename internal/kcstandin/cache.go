package kcstandin

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/kingcuprail/kingcuprail/internal/kcchat"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// CacheEvent reports that a prompt prefix was stored in or evicted from the
// prefix cache of an engine.
type CacheEvent struct {
	// Offset is the sequence number of the event. A lost event leaves a gap.
	Offset int64 `json:"offset"`
	// Kind is "stored" or "evicted".
	Kind string `json:"kind"`
	// Prefix is a hash of the version and of all messages up to and including
	// one of them.
	Prefix string         `json:"prefix"`
	Tokens int            `json:"tokens,omitempty"`
	At     kcclock.Millis `json:"atMs"`
}

const (
	cacheEventStored  = "stored"
	cacheEventEvicted = "evicted"
	// maxKeptCacheEvents is the number of most recent events that an engine keeps.
	maxKeptCacheEvents = 4096
)

// prefixCache is an LRU cache of prompt prefixes that emits an event for every
// prefix it stores or evicts.
type prefixCache struct {
	clock kcclock.Clock

	mu             sync.Mutex
	rng            *rand.Rand
	lru            *simplelru.LRU[string, int]
	events         []CacheEvent
	nextOffset     int64
	eventLossShare float64
}

func newPrefixCache(clock kcclock.Clock, seed uint64, prefixes int) *prefixCache {
	c := &prefixCache{clock: clock, rng: rand.New(rand.NewPCG(seed, 2))}
	c.lru, _ = simplelru.NewLRU(prefixes, func(prefix string, _ int) { c.emitEvent(cacheEventEvicted, prefix, 0) })
	return c
}

// lookupAndStore returns the number of prompt tokens that are cached and stores
// the missing prefixes of the prompt. lossShare, from 0 to 1, is the share of
// events that are lost.
func (c *prefixCache) lookupAndStore(req *kcchat.Request, lossShare float64) (cached int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.eventLossShare = lossShare
	chain, tokens := xxhash.Sum64String(req.Model), 0
	for _, m := range req.Messages {
		h := xxhash.NewWithSeed(chain)
		_, _ = h.WriteString(m.Role + "\n")
		_, _ = h.Write(m.Content)
		chain = h.Sum64()
		tokens += (&kcchat.Request{Messages: []kcchat.Message{m}}).EstimatePromptTokens()
		prefix := fmt.Sprintf("%016x", chain)
		if _, ok := c.lru.Get(prefix); ok {
			cached = tokens
			continue
		}
		c.lru.Add(prefix, tokens)
		c.emitEvent(cacheEventStored, prefix, tokens)
	}
	return cached
}

func (c *prefixCache) emitEvent(kind, prefix string, tokens int) {
	offset := c.nextOffset
	c.nextOffset++
	if c.rng.Float64() < c.eventLossShare {
		return
	}
	c.events = append(c.events, CacheEvent{Offset: offset, Kind: kind, Prefix: prefix, Tokens: tokens, At: c.clock.Now()})
	c.events = slices.Delete(c.events, 0, max(len(c.events)-maxKeptCacheEvents, 0))
}

// eventsFrom returns the kept events that start at offset from and are at least
// delay milliseconds old.
func (c *prefixCache) eventsFrom(from int64, delay kcclock.Millis) []CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []CacheEvent{}
	for _, e := range c.events {
		if e.Offset >= from && e.At+delay <= c.clock.Now() {
			out = append(out, e)
		}
	}
	return out
}
