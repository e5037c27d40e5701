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

// CacheEvent tells that a prompt prefix was stored in or evicted from the cache
// of an engine.
type CacheEvent struct {
	// Offset grows by one per event. Events that were lost leave a gap.
	Offset int64 `json:"offset"`
	// Kind is "stored" or "evicted".
	Kind string `json:"kind"`
	// Prefix names the messages up to and including one, for one version.
	Prefix string         `json:"prefix"`
	Tokens int            `json:"tokens,omitempty"`
	At     kcclock.Millis `json:"atMs"`
}

const (
	cacheStored  = "stored"
	cacheEvicted = "evicted"
	// maxCacheEvents bounds the events that an engine keeps.
	maxCacheEvents = 4096
)

// prefixCache remembers prompt prefixes, least recently used ones are evicted.
type prefixCache struct {
	clock kcclock.Clock

	mu     sync.Mutex
	rng    *rand.Rand
	lru    *simplelru.LRU[string, int]
	events []CacheEvent
	next   int64
	lose   float64
}

func newPrefixCache(clock kcclock.Clock, seed uint64, prefixes int) *prefixCache {
	c := &prefixCache{clock: clock, rng: rand.New(rand.NewPCG(seed, 2))}
	c.lru, _ = simplelru.NewLRU(prefixes, func(prefix string, _ int) { c.emit(cacheEvicted, prefix, 0) })
	return c
}

// use returns the number of prompt tokens that are cached and stores the rest
// of the prompt. The share lose of the events is lost.
func (c *prefixCache) use(req *kcchat.Request, lose float64) (cached int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lose = lose
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
		c.emit(cacheStored, prefix, tokens)
	}
	return cached
}

func (c *prefixCache) emit(kind, prefix string, tokens int) {
	offset := c.next
	c.next++
	if c.rng.Float64() < c.lose {
		return
	}
	c.events = append(c.events, CacheEvent{Offset: offset, Kind: kind, Prefix: prefix, Tokens: tokens, At: c.clock.Now()})
	c.events = slices.Delete(c.events, 0, max(len(c.events)-maxCacheEvents, 0))
}

// read returns the events from an offset that are at least delay milliseconds
// old.
func (c *prefixCache) read(from int64, delay kcclock.Millis) []CacheEvent {
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
