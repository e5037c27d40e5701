package kcgate

import (
	"sync"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// pacePart is the weight of an answer in the usual pace: some twenty
	// answers replace what was learned before.
	pacePart = 0.05
	// startPace is assumed before the first answer, in ms per prompt token: an
	// engine that reads 30 tokens in a millisecond.
	startPace = 0.03
	// basePromptTokens is added to each prompt, so that short ones do not
	// teach an endless pace.
	basePromptTokens = 1500
)

// paces learns how long a model takes to its first event, queueing included.
type paces struct {
	mu sync.Mutex
	// perToken holds milliseconds per prompt token.
	perToken map[string]float64
}

func newPaces() *paces { return &paces{perToken: make(map[string]float64)} }

// expect returns the usual time to the first event.
func (p *paces) expect(model string, promptTokens int) kcclock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	pace, ok := p.perToken[model]
	if !ok {
		pace = startPace
	}
	return kcclock.Millis(pace * float64(promptTokens+basePromptTokens))
}

// learn takes the time to the first event of an answer.
func (p *paces) learn(model string, promptTokens int, took kcclock.Millis) {
	pace := float64(took) / float64(promptTokens+basePromptTokens)
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := p.perToken[model]; ok {
		pace = old + pacePart*(pace-old)
	}
	p.perToken[model] = pace
}
