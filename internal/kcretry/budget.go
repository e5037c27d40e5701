// Package kcretry keeps retries, hedges and failing upstreams from adding to
// an overload.
package kcretry

import "github.com/kingcuprail/kingcuprail/pkg/kcclock"

// Budget permits retries and hedges as a share of the first tries. It is not
// safe for concurrent use.
type Budget struct {
	// Share is the number of retries per first try, 0.1 for 10%.
	Share float64
	// Burst bounds the retries that were saved up.
	Burst float64

	tokens float64
}

// NewBudget returns a budget that starts with the whole burst, so that the
// first requests of an instance can be retried.
func NewBudget(share, burst float64) Budget { return Budget{Share: share, Burst: burst, tokens: burst} }

// Try counts a first try.
func (b *Budget) AddFirstTry() { b.tokens = min(b.tokens+b.Share, b.Burst) }

// Retry takes a retry from the budget and reports whether there was one.
func (b *Budget) TakeRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff bounds the wait before a retry.
type Backoff struct {
	BaseMs kcclock.Millis
	MaxMs  kcclock.Millis
}

// Wait returns the wait before retry n, which counts from 0. random is from 0
// to 1 and spreads the retries of many callers over the whole interval.
func (b Backoff) Delay(n int, random float64) kcclock.Millis {
	limit := b.BaseMs
	for range n {
		if limit >= b.MaxMs {
			break
		}
		limit *= 2
	}
	return kcclock.Millis(random * float64(min(limit, b.MaxMs)))
}
