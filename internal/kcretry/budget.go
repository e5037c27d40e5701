// Package kcretry limits retries, hedged requests and requests to failing
// upstreams so that they do not add to an overload.
package kcretry

import "github.com/kingcuprail/kingcuprail/pkg/kcclock"

// Budget permits retries and hedged requests as a share of the first tries. It
// is a token bucket filled by first tries. It is not safe for concurrent use.
type Budget struct {
	// Share is the number of retries per first try, 0.1 for 10%.
	Share float64
	// Burst bounds the retries that can accumulate.
	Burst float64

	tokens float64
}

// NewBudget returns a budget that starts with the full burst, so that the first
// requests of an instance can be retried.
func NewBudget(share, burst float64) Budget { return Budget{Share: share, Burst: burst, tokens: burst} }

// AddFirstTry counts a first try.
func (b *Budget) AddFirstTry() { b.tokens = min(b.tokens+b.Share, b.Burst) }

// TakeRetry reports whether the budget permits a retry, and takes it if so.
func (b *Budget) TakeRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff defines exponential backoff with full jitter.
type Backoff struct {
	BaseMs kcclock.Millis
	MaxMs  kcclock.Millis
}

// Delay returns the delay before retry n, which counts from 0. random is a
// random number from 0 to 1; it spreads the retries of many callers over the
// whole interval.
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
