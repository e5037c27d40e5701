package kclog

import (
	"context"
	"sync"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// AppendsPerSecond is the limit for the appends of all instances together. The
// log accepts several hundred appends a second in total.
const AppendsPerSecond = 300

// Budget is a token bucket that limits the append rate of one instance.
type Budget struct {
	clock kcclock.Clock
	burst float64
	rate  func() float64

	mu         sync.Mutex
	tokens     float64 // negative while callers wait
	refilledAt kcclock.Millis
}

// NewBudget returns a full bucket with a capacity of burst tokens. rate returns
// the appends a second that this instance may do; it must be above 0, and the
// rates of all instances must add up to no more than AppendsPerSecond.
func NewBudget(clock kcclock.Clock, burst int, rate func() float64) *Budget {
	return &Budget{clock: clock, burst: float64(burst), rate: rate, tokens: float64(burst), refilledAt: clock.Now()}
}

// Take waits until the budget permits one append. The token is lost if ctx ends
// during the wait.
func (b *Budget) Take(ctx context.Context) error {
	wait := b.reserve()
	if wait <= 0 {
		return nil
	}
	return kcclock.Wait(ctx, b.clock, wait)
}

func (b *Budget) reserve() kcclock.Millis {
	rate := b.rate() / float64(kcclock.Second)
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.tokens = min(b.burst, b.tokens+float64(now-b.refilledAt)*rate)
	b.refilledAt = now
	b.tokens--
	if b.tokens >= 0 {
		return 0
	}
	return kcclock.Millis(-b.tokens/rate) + 1
}
