package kcgate

import (
	"math"
	"sync"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// quantileStep bounds the factor by which a value moves a quantile.
	// Quantiles are used because the times have long tails: a mean would follow
	// the few requests that wait behind long prompts.
	quantileStep = 1.08
	// initialMsPerToken is assumed before the first answer, in ms per prompt token: an
	// engine that reads 30 tokens in a millisecond.
	initialMsPerToken = 0.03
	// initialPrefillMsPerToken is the same without queueing.
	initialPrefillMsPerToken = 0.012
	// prefillQuantile is the part of the answers that come faster than an engine reads
	// a prompt of which it has read no part before, without waiting.
	prefillQuantile = 0.25
	// basePromptTokens is added to each prompt, so that short ones do not
	// teach an endless pace.
	basePromptTokens = 1500
)

// quantile follows a quantile of positive values. It starts at the first one.
type quantile struct {
	value float64
	count int
}

// learn moves the quantile by a value. part is the part of the values below it.
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

// paces learns how long a model takes to its first event, queueing included.
type firstEventEstimator struct {
	mu sync.Mutex
	// msPerToken holds milliseconds per prompt token.
	msPerToken map[string]*quantile
	// reading holds milliseconds per token that an engine reads while nothing
	// else holds it up.
	prefillMsPerToken map[string]*quantile
}

func newFirstEventEstimator() *firstEventEstimator {
	return &firstEventEstimator{msPerToken: make(map[string]*quantile), prefillMsPerToken: make(map[string]*quantile)}
}

// read returns the time in which an idle engine reads a token.
func (p *firstEventEstimator) prefillTime(model string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q := p.prefillMsPerToken[model]; q != nil {
		return q.value
	}
	return initialPrefillMsPerToken
}

// expect returns the usual time to the first event.
func (p *firstEventEstimator) expect(model string, promptTokens int) kcclock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	pace := initialMsPerToken
	if m := p.msPerToken[model]; m != nil {
		pace = m.value
	}
	return kcclock.Millis(pace * float64(promptTokens+basePromptTokens))
}

// learn takes the time to the first event of an answer.
func (p *firstEventEstimator) observe(model string, promptTokens int, took kcclock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.msPerToken[model]
	if m == nil {
		m = new(quantile)
		p.msPerToken[model] = m
	}
	m.observe(medianQuantile, max(float64(took), 1)/float64(promptTokens+basePromptTokens))
	if promptTokens < minPrefillTokens {
		return
	}
	q := p.prefillMsPerToken[model]
	if q == nil {
		q = &quantile{value: initialPrefillMsPerToken, count: 1}
		p.prefillMsPerToken[model] = q
	}
	q.observe(prefillQuantile, max(float64(took-firstEventOverheadMs)/float64(promptTokens), minObservation))
}

const (
	// slowQuantile is the part of the good answers that are below the threshold
	// for slow ones.
	slowQuantile = 0.8
	// engineSlowFactor and unarySlowFactor are the least factors from the median to the
	// threshold. An engine of a slow version slows down all that run on it, and
	// some two or three times; a plain service only some, and much more.
	engineSlowFactor = 1.7
	unarySlowFactor  = 3
	// minLatencySamples is the number of answers from which a threshold is known.
	minLatencySamples = 12
	// minPauseEvents is the number of events from which a mean pause is taken.
	minPauseEvents = 3
	// minPrefillTokens is the number of tokens from which the time to the first
	// event shows how fast an engine reads.
	minPrefillTokens = 2500
	// firstEventOverheadMs is about the time to the first event of a short prompt.
	firstEventOverheadMs = 60
)

// usual learns the distribution of a figure per key.
type latencyStats struct {
	mu    sync.Mutex
	byKey map[string]*latencyQuantiles
}

// spread holds the quantiles of one figure.
type latencyQuantiles struct{ median, high quantile }

func newLatencyStats() *latencyStats { return &latencyStats{byKey: make(map[string]*latencyQuantiles)} }

// learn takes a value of a version that is trusted.
func (u *latencyStats) observe(key string, v float64) {
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

// usually returns the median of key, or start if it is not known.
func (u *latencyStats) medianOr(key string, start float64) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if s := u.byKey[key]; s != nil {
		return s.median.value
	}
	return start
}

// slow reports whether v is far above the usual values, and false if these are
// not known.
func (u *latencyStats) isSlow(key string, v, factor float64) (isSlow, known bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.byKey[key]
	if s == nil || s.median.count < minLatencySamples {
		return false, false
	}
	return v > max(s.high.value, factor*s.median.value), true
}
