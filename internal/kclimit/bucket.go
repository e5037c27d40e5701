package kclimit

import (
	"math"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Bucket is a token bucket whose rate may change at any time. The zero value is
// filled to its capacity on first use.
type Bucket struct {
	tokens      float64
	refilledAt  kcclock.Millis
	initialized bool
}

// Take takes n tokens if they are available. rate is in tokens per second and
// burst is the capacity. A request for more than the capacity is admitted when
// the bucket is full and leaves a negative balance, so that large requests are
// delayed rather than never admitted. The second result is the time until a
// retry can succeed.
func (b *Bucket) Take(now kcclock.Millis, n, rate, burst float64) (bool, kcclock.Millis) {
	b.refill(now, rate, burst)
	need := min(n, burst)
	if b.tokens >= need-roundingTolerance {
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
	return b.tokens >= min(n, burst)-roundingTolerance
}

func (b *Bucket) refill(now kcclock.Millis, rate, burst float64) {
	if !b.initialized {
		b.tokens, b.refilledAt, b.initialized = burst, now, true
	}
	if now > b.refilledAt {
		b.tokens += rate * float64(now-b.refilledAt) / float64(kcclock.Second)
		b.refilledAt = now
	}
	b.tokens = min(b.tokens, burst)
}

// Refund returns n tokens that were taken and not used.
func (b *Bucket) Refund(n float64) { b.tokens += n }

// roundingTolerance absorbs the rounding error of adding many small amounts.
const roundingTolerance = 1e-9
