// Package kclatency keeps the usual latencies of requests: the time to the first event
// by model, and the quantiles by which slow responses are told.
package kclatency

import (
	"math"
	"sync"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// quantileStep bounds the factor by which one value moves a quantile.
	// Latencies have long tails, so a mean would follow the few requests that
	// queue behind long prompts.
	quantileStep = 1.08
	// initialMsPerToken is the assumed time to the first event per prompt token
	// before the first response. The engine prefills about 30 tokens per
	// millisecond.
	initialMsPerToken = 0.03
	// initialPrefillMsPerToken is the same time without queueing.
	initialPrefillMsPerToken = 0.012
	// prefillQuantile is the share of responses that come faster than an idle
	// engine prefills a prompt without any cached prefix.
	prefillQuantile = 0.25
	// basePromptTokens is added to the length of each prompt, so that short
	// prompts do not yield an unbounded time per token.
	basePromptTokens = 1500
)

// quantile is a streaming estimate of a quantile of positive values. It starts at
// the first value.
type quantile struct {
	value float64
	count int
}

// observe updates the estimate with v. part is the rank of the quantile: the
// share of values below it.
func (q *quantile) observe(part, v float64) {
	q.count++
	switch {
	case q.count == 1:
		q.value = v
	case v > q.value:
		q.value *= math.Pow(quantileStep, part)
	default:
		q.value /= math.Pow(quantileStep, 1-part)
	}
}

const medianQuantile = 0.5

// FirstEvents estimates the time to the first event per model, including
// queueing.
type FirstEvents struct {
	mu sync.Mutex
	// msPerToken holds the time to the first event per prompt token in
	// milliseconds.
	msPerToken map[string]*quantile
	// prefillMsPerToken holds the time per token in milliseconds in which an
	// otherwise idle engine prefills a prompt.
	prefillMsPerToken map[string]*quantile
}

// NewFirstEvents returns an estimator that has seen nothing.
func NewFirstEvents() *FirstEvents {
	return &FirstEvents{msPerToken: make(map[string]*quantile), prefillMsPerToken: make(map[string]*quantile)}
}

// PrefillTime returns the time per token in milliseconds in which an idle engine
// prefills a prompt.
func (p *FirstEvents) PrefillTime(model string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q := p.prefillMsPerToken[model]; q != nil {
		return q.value
	}
	return initialPrefillMsPerToken
}

// Expect returns the usual time to the first event.
func (p *FirstEvents) Expect(model string, promptTokens int) kcclock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	pace := initialMsPerToken
	if m := p.msPerToken[model]; m != nil {
		pace = m.value
	}
	return kcclock.Millis(pace * float64(promptTokens+basePromptTokens))
}

// Observe records the time to the first event of a response to a prompt of which
// the engine probably held heldTokens.
func (p *FirstEvents) Observe(model string, promptTokens, heldTokens int, took kcclock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.msPerToken[model]
	if m == nil {
		m = new(quantile)
		p.msPerToken[model] = m
	}
	m.observe(medianQuantile, max(float64(took), 1)/float64(promptTokens+basePromptTokens))
	missing := promptTokens - heldTokens
	if missing < MinPrefillTokens {
		return
	}
	q := p.prefillMsPerToken[model]
	if q == nil {
		q = &quantile{value: initialPrefillMsPerToken, count: 1}
		p.prefillMsPerToken[model] = q
	}
	q.observe(prefillQuantile, max(float64(took-FirstEventOverheadMs)/float64(missing), minObservation))
}

const (
	// slowQuantile is the share of good responses that are faster than the
	// threshold for slow ones.
	slowQuantile = 0.8
	// EngineSlowFactor is the least ratio of the threshold to the median for engines. A
	// slow version of an engine slows down all its requests, some of them two or three
	// times.
	EngineSlowFactor = 1.7
	// UnarySlowFactor is the same ratio for unary services. A slow version of one slows
	// down only some requests, but much more.
	UnarySlowFactor = 3
	// VerySlowFactor is the ratio of a very slow latency to the threshold of slow
	// ones.
	VerySlowFactor = 2
	// minLatencySamples is the number of samples from which a threshold is known.
	minLatencySamples = 12
	// MinPauseEvents is the number of events from which the mean pause between
	// events is computed.
	MinPauseEvents = 3
	// PauseSampleEvents is the number of events after which the mean pause of a
	// stream is taken. The streams of a slow version last for longer than an order.
	PauseSampleEvents = 8
	// MinPrefillTokens is the prompt length from which the time to the first
	// event shows how fast an engine prefills.
	MinPrefillTokens = 2500
	// FirstEventOverheadMs is roughly the time to the first event of a short
	// prompt.
	FirstEventOverheadMs = 60
)

// Stats keeps the usual latency per key.
type Stats struct {
	mu    sync.Mutex
	byKey map[string]*latencyQuantiles
}

// latencyQuantiles holds the quantiles of one key.
type latencyQuantiles struct{ median, high quantile }

// NewStats returns statistics without values.
func NewStats() *Stats { return &Stats{byKey: make(map[string]*latencyQuantiles)} }

// Observe records a latency of a trusted version.
func (u *Stats) Observe(key string, v float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.byKey[key]
	if s == nil {
		s = new(latencyQuantiles)
		u.byKey[key] = s
	}
	v = max(v, minObservation)
	s.median.observe(medianQuantile, v)
	s.high.observe(slowQuantile, v)
}

// minObservation keeps the values positive.
const minObservation = 1e-6

// MedianOr returns the median of key, or start if there is none.
func (u *Stats) MedianOr(key string, start float64) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if s := u.byKey[key]; s != nil {
		return s.median.value
	}
	return start
}

// IsSlow reports whether v is far above the usual values of key. known is false
// if there are too few values to tell.
func (u *Stats) IsSlow(key string, v, factor float64) (slow, known bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.byKey[key]
	if s == nil || s.median.count < minLatencySamples {
		return false, false
	}
	return v > max(s.high.value, factor*s.median.value), true
}
