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
	// startPace is assumed before the first answer, in ms per prompt token: an
	// engine that reads 30 tokens in a millisecond.
	startPace = 0.03
	// startReading is the same without queueing.
	startReading = 0.012
	// idlePart is the part of the answers that come faster than an engine reads
	// a prompt of which it has read no part before, without waiting.
	idlePart = 0.25
	// basePromptTokens is added to each prompt, so that short ones do not
	// teach an endless pace.
	basePromptTokens = 1500
)

// quantile follows a quantile of positive values. It starts at the first one.
type quantile struct {
	value float64
	seen  int
}

// learn moves the quantile by a value. part is the part of the values below it.
func (q *quantile) learn(part, v float64) {
	q.seen++
	switch {
	case q.seen == 1:
		q.value = v
	case v > q.value:
		q.value *= math.Pow(quantileStep, part)
	default:
		q.value /= math.Pow(quantileStep, 1-part)
	}
}

const half = 0.5

// paces learns how long a model takes to its first event, queueing included.
type paces struct {
	mu sync.Mutex
	// perToken holds milliseconds per prompt token.
	perToken map[string]*quantile
	// reading holds milliseconds per token that an engine reads while nothing
	// else holds it up.
	reading map[string]*quantile
}

func newPaces() *paces {
	return &paces{perToken: make(map[string]*quantile), reading: make(map[string]*quantile)}
}

// read returns the time in which an idle engine reads a token.
func (p *paces) read(model string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q := p.reading[model]; q != nil {
		return q.value
	}
	return startReading
}

// expect returns the usual time to the first event.
func (p *paces) expect(model string, promptTokens int) kcclock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	pace := startPace
	if m := p.perToken[model]; m != nil {
		pace = m.value
	}
	return kcclock.Millis(pace * float64(promptTokens+basePromptTokens))
}

// learn takes the time to the first event of an answer.
func (p *paces) learn(model string, promptTokens int, took kcclock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.perToken[model]
	if m == nil {
		m = new(quantile)
		p.perToken[model] = m
	}
	m.learn(half, max(float64(took), 1)/float64(promptTokens+basePromptTokens))
	if promptTokens < longPrompt {
		return
	}
	q := p.reading[model]
	if q == nil {
		q = &quantile{value: startReading, seen: 1}
		p.reading[model] = q
	}
	q.learn(idlePart, max(float64(took-firstMs)/float64(promptTokens), minValue))
}

const (
	// slowPart is the part of the good answers that are below the threshold
	// for slow ones.
	slowPart = 0.8
	// engineSlow and plainSlow are the least factors from the median to the
	// threshold. An engine of a slow version slows down all that run on it, and
	// some two or three times; a plain service only some, and much more.
	engineSlow = 1.7
	plainSlow  = 3
	// minUsual is the number of answers from which a threshold is known.
	minUsual = 12
	// minEvents is the number of events from which a mean pause is taken.
	minEvents = 3
	// longPrompt is the number of tokens from which the time to the first
	// event shows how fast an engine reads.
	longPrompt = 2500
	// firstMs is about the time to the first event of a short prompt.
	firstMs = 60
)

// usual learns the distribution of a figure per key.
type usual struct {
	mu   sync.Mutex
	keys map[string]*spread
}

// spread holds the quantiles of one figure.
type spread struct{ median, high quantile }

func newUsual() *usual { return &usual{keys: make(map[string]*spread)} }

// learn takes a value of a version that is trusted.
func (u *usual) learn(key string, v float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.keys[key]
	if s == nil {
		s = new(spread)
		u.keys[key] = s
	}
	v = max(v, minValue)
	s.median.learn(half, v)
	s.high.learn(slowPart, v)
}

// minValue keeps the values positive.
const minValue = 1e-6

// usually returns the median of key, or start if it is not known.
func (u *usual) usually(key string, start float64) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if s := u.keys[key]; s != nil {
		return s.median.value
	}
	return start
}

// slow reports whether v is far above the usual values, and false if these are
// not known.
func (u *usual) slow(key string, v, factor float64) (slow, known bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.keys[key]
	if s == nil || s.median.seen < minUsual {
		return false, false
	}
	return v > max(s.high.value, factor*s.median.value), true
}
