package kclimit

import (
	"math"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Bucket is a token bucket whose rate may change at any time. The zero value
// is empty.
type Bucket struct {
	tokens float64
	at     kcclock.Millis
	filled bool
}

// Take takes n tokens if they are there. rate is in tokens per second and
// burst is the capacity. A request for more than the capacity is admitted when
// the bucket is full and leaves a debt, so that large requests are delayed and
// not excluded. The second result is the time until a retry can succeed.
func (b *Bucket) Take(now kcclock.Millis, n, rate, burst float64) (bool, kcclock.Millis) {
	b.refill(now, rate, burst)
	need := min(n, burst)
	if b.tokens >= need-rounding {
		b.tokens -= n
		return true, 0
	}
	if rate <= 0 {
		return false, kcclock.Minute
	}
	return false, kcclock.Millis(math.Ceil((need - b.tokens) / rate * float64(kcclock.Second)))
}

// Has reports whether Take would admit n tokens.
func (b *Bucket) Has(now kcclock.Millis, n, rate, burst float64) bool {
	b.refill(now, rate, burst)
	return b.tokens >= min(n, burst)-rounding
}

func (b *Bucket) refill(now kcclock.Millis, rate, burst float64) {
	if !b.filled {
		b.tokens, b.at, b.filled = burst, now, true
	}
	if now > b.at {
		b.tokens += rate * float64(now-b.at) / float64(kcclock.Second)
		b.at = now
	}
	b.tokens = min(b.tokens, burst)
}

// Return gives back n tokens that were not used.
func (b *Bucket) Refund(n float64) { b.tokens += n }

// rounding absorbs the error of adding many small parts.
const rounding = 1e-9
