package kcstandin

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuprail/kingcuprail/internal/kcchat"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// EngineFaults are the faults of an engine. The zero value has none.
type EngineFaults struct {
	// SilentAfter stops sending after this many events on a connection without
	// closing it; 0 means never. New connections work.
	SilentAfter int `json:"silentAfter" help:"Go silent after this many events on a connection; 0 means never."`
	// BreakAfter closes the connection after this many events; 0 means never.
	BreakAfter int `json:"breakAfter" help:"Break the connection after this many events; 0 means never."`
	// Refuse answers every new request with 503.
	Refuse bool `json:"refuse" help:"Refuse new requests with 503."`
	// FailShare is the share, from 0 to 1, of new requests that get 500.
	FailShare float64 `json:"failShare" help:"Share of new requests, 0 to 1, that fail with 500."`
	// ExtraTokenMs is added to the time per generated token.
	ExtraTokenMs kcclock.Millis `json:"extraTokenMs" help:"Additional time per generated token in milliseconds."`
	// Leaving marks the answers with X-Engine-Leaving.
	Leaving bool `json:"leaving" help:"Mark answers as those of a leaving engine."`
	// LoadLagMs is the age of load reports.
	LoadLagMs kcclock.Millis `json:"loadLagMs" help:"Age of load reports in milliseconds."`
	// CacheDelayMs is the least age of the cache events that can be read.
	CacheDelayMs kcclock.Millis `json:"cacheDelayMs" help:"Delay of cache events in milliseconds."`
	// CacheLoseShare is the share, from 0 to 1, of cache events that are lost.
	CacheLoseShare float64 `json:"cacheLoseShare" help:"Share of cache events, 0 to 1, that are lost."`
	// OrderDelayMs is the time until an order takes effect.
	OrderDelayMs kcclock.Millis `json:"orderDelayMs" help:"Time until an order takes effect, in milliseconds."`
	// OrderLoseAnswers is the share, from 0 to 1, of orders that are taken but
	// not answered.
	OrderLoseAnswers float64 `json:"orderLoseAnswers" help:"Share of orders, 0 to 1, that take effect without an answer."`
}

// EngineOptions configures an Engine.
type EngineOptions struct {
	ID       string
	Clock    kcclock.Clock
	Seed     uint64
	Versions []string
	// TokenMillis is the time per generated token.
	TokenMillis kcclock.Millis
	// PromptMillis is the time per 1000 prompt tokens that are not cached.
	PromptMillis kcclock.Millis
	// Slots is the number of requests that run at once; 0 means no bound.
	Slots int
	// CachePrefixes bounds the cached prompt prefixes; 0 means 1024.
	CachePrefixes int
	// MaxRuns bounds the answers that are kept for a resume; 0 means 1024.
	MaxRuns int
	// IgnoresFence makes the engine take orders with old fencing numbers.
	IgnoresFence bool
	// Weights is where ordered versions are loaded from; nil means at once.
	Weights *Weights
	// Changed is told the served versions after an order; it may be nil.
	Changed func(versions []string)
}

const (
	defaultCachePrefixes = 1024
	defaultMaxRuns       = 1024
	// HeaderEngineLoad carries the load, as JSON, on every answer.
	HeaderEngineLoad = "X-Engine-Load"
	// headerLeaving is "true" on the answers of a leaving engine.
	headerLeaving = "X-Engine-Leaving"
)

// Engine is a model engine that repeats the words of the prompt.
type Engine struct {
	opts  EngineOptions
	batch *batch
	cache *prefixCache
	conns connections
	// ctx ends when the engine is closed.
	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	rng      *rand.Rand
	faults   EngineFaults
	runs     map[string]*run
	runOrder []string
	served   map[string]int
	role     string
	fence    int64
	versions kcset.Set[string]
	desired  kcset.Set[string]
	loading  kcset.Set[string]
	adapters []string
}

// run is one answer. Events stay available, so that a caller can resume.
type run struct {
	mu     sync.Mutex
	events [][]byte
	done   bool
	grown  chan struct{}
	cancel context.CancelFunc
}

// NewEngine returns an idle engine.
func NewEngine(opts EngineOptions) *Engine {
	opts.CachePrefixes = cmp.Or(opts.CachePrefixes, defaultCachePrefixes)
	opts.MaxRuns = cmp.Or(opts.MaxRuns, defaultMaxRuns)
	e := &Engine{
		opts: opts, batch: &batch{clock: opts.Clock, slots: opts.Slots},
		cache: newPrefixCache(opts.Clock, opts.Seed, opts.CachePrefixes),
		rng:   rand.New(rand.NewPCG(opts.Seed, xxhash.Sum64String(opts.ID))),
		runs:  make(map[string]*run), served: make(map[string]int),
		versions: kcset.New(opts.Versions...), desired: kcset.New(opts.Versions...), loading: kcset.New[string](),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	return e
}

// Close ends the running requests and orders.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.cancel()
	e.work.Wait()
}

// background runs f until the engine is closed. The caller holds the lock.
func (e *Engine) background(f func()) {
	if !e.closed {
		e.work.Go(f)
	}
}

// Faults returns the faults in force.
func (e *Engine) Faults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// chance draws whether an event with the given share happens.
func (e *Engine) chance(share float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rng.Float64() < share
}

// Silence makes every open connection silent for good; new ones work.
func (e *Engine) Silence() { e.conns.silence() }

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Served returns the number of requests that were started, by version.
func (e *Engine) Served() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]int, len(e.served))
	for k, n := range e.served {
		out[k] = n
	}
	return out
}

// Register adds the endpoints of the engine to mux.
func (e *Engine) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/chat/completions", e.marked(e.serveChat))
	mux.HandleFunc("GET /v1/streams/{id}", e.marked(e.serveResume))
	mux.HandleFunc("DELETE /v1/streams/{id}", e.marked(e.serveCancel))
	mux.HandleFunc("GET /v1/load", e.marked(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, e.batch.load(e.Faults().LoadLagMs))
	}))
	mux.HandleFunc("GET /v1/cacheEvents", e.marked(e.serveCacheEvents))
	mux.HandleFunc("POST /v1/orders", e.marked(e.serveOrder))
	mux.HandleFunc("GET /v1/state", e.marked(func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.State()) }))
	registerFaults(mux, "engine", e.SetFaults)
}

// marked adds the headers that every answer of an engine carries.
func (e *Engine) marked(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := e.Faults()
		load, _ := json.Marshal(e.batch.load(f.LoadLagMs))
		w.Header().Set(HeaderEngineLoad, string(load))
		if f.Leaving {
			w.Header().Set(headerLeaving, "true")
		}
		h(w, r)
	}
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(cmp.Or(r.URL.Query().Get("from"), "0"), 10, 64)
	if err != nil {
		http.Error(w, "from must be an offset", http.StatusBadRequest)
		return
	}
	writeJSON(w, struct {
		Events []CacheEvent `json:"events"`
	}{e.cache.read(from, e.Faults().CacheDelayMs)})
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	req, err := kcchat.Parse(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f := e.Faults(); f.FailShare > 0 && e.chance(f.FailShare) {
		http.Error(w, "engine "+e.opts.ID+" failed", http.StatusInternalServerError)
		return
	}
	// As in engines of this form, a lower number is served first.
	var order struct {
		Priority int `json:"priority"`
	}
	_ = json.Unmarshal(body, &order)
	run, err := e.start(r.Header.Get("X-Request-Id"), req, order.Priority)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	e.send(w, r, run, 0)
}

func (e *Engine) start(id string, req *kcchat.Request, priority int) (*run, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Refuse || e.closed {
		return nil, fmt.Errorf("engine %s takes no requests", e.opts.ID)
	}
	if !e.versions.Has(req.Model) {
		return nil, fmt.Errorf("engine %s does not serve %s", e.opts.ID, req.Model)
	}
	ctx, cancel := context.WithCancel(e.ctx)
	ru := &run{grown: make(chan struct{}), cancel: cancel}
	e.keep(id, ru)
	e.served[req.Model]++
	e.background(func() {
		defer cancel()
		if e.batch.enter(ctx, priority) {
			defer e.batch.leave()
			e.generate(ctx, ru, id, req)
		}
	})
	return ru, nil
}

// keep stores a run and forgets the oldest ones beyond the bound.
func (e *Engine) keep(id string, ru *run) {
	if _, again := e.runs[id]; !again {
		e.runOrder = append(e.runOrder, id)
	}
	e.runs[id] = ru
	for len(e.runOrder) > e.opts.MaxRuns {
		delete(e.runs, e.runOrder[0])
		e.runOrder = e.runOrder[1:]
	}
}

func (e *Engine) generate(ctx context.Context, ru *run, id string, req *kcchat.Request) {
	f := e.Faults()
	fresh := max(req.EstimatePromptTokens()-e.cache.use(req, f.CacheLoseShare), 0)
	if !e.spend(ctx, e.opts.PromptMillis*kcclock.Millis(fresh)/1000) {
		return
	}
	words := answerWords(req)
	for i, word := range words {
		if !e.spend(ctx, e.opts.TokenMillis+f.ExtraTokenMs) {
			return
		}
		ru.add(chunk(id, req.Model, word, i == len(words)-1), false)
	}
	ru.add(usageChunk(id, req, len(words)), true)
}

// spend waits d milliseconds. It returns false if ctx ended first.
func (e *Engine) spend(ctx context.Context, d kcclock.Millis) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-e.opts.Clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// answerWords repeats the last message, one word per token.
func answerWords(req *kcchat.Request) []string {
	var text string
	_ = json.Unmarshal(req.Messages[len(req.Messages)-1].Content, &text)
	words := strings.Fields("You said: " + text)
	if n := req.OutputLimit(); len(words) > n {
		words = words[:n]
	}
	for i := 1; i < len(words); i++ {
		words[i] = " " + words[i]
	}
	return words
}

func chunk(id, model, word string, last bool) []byte {
	c := kcchat.Chunk{ID: id, Object: "chat.completion.chunk", Model: model}
	choice := kcchat.ChunkChoice{Delta: kcchat.Delta{Role: "assistant", Content: word}}
	if last {
		reason := "stop"
		choice.FinishReason = &reason
	}
	c.Choices = []kcchat.ChunkChoice{choice}
	b, _ := json.Marshal(c)
	return b
}

func usageChunk(id string, req *kcchat.Request, completion int) []byte {
	prompt := req.EstimatePromptTokens()
	c := kcchat.Chunk{ID: id, Object: "chat.completion.chunk", Model: req.Model, Choices: []kcchat.ChunkChoice{}}
	c.Usage = &kcchat.Usage{PromptTokens: prompt, CompletionTokens: completion, TotalTokens: prompt + completion}
	b, _ := json.Marshal(c)
	return b
}

func (ru *run) add(event []byte, done bool) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.events = append(ru.events, event)
	ru.done = done
	close(ru.grown)
	ru.grown = make(chan struct{})
}

func (ru *run) from(n int) (events [][]byte, done bool, grown <-chan struct{}) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	if n < len(ru.events) {
		events = ru.events[n:]
	}
	return events, ru.done, ru.grown
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		http.Error(w, "from must be an offset", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	ru := e.runs[r.PathValue("id")]
	e.mu.Unlock()
	if ru == nil {
		http.NotFound(w, r)
		return
	}
	e.send(w, r, ru, from)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	ru := e.runs[r.PathValue("id")]
	delete(e.runs, r.PathValue("id"))
	e.runOrder = slices.DeleteFunc(e.runOrder, func(id string) bool { return id == r.PathValue("id") })
	e.mu.Unlock()
	if ru != nil {
		ru.cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

// send streams the events of a run from offset n until its end.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, ru *run, n int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	for sent := 0; ; {
		events, done, grown := ru.from(n)
		for _, ev := range events {
			if e.interrupt(r, sent) {
				return
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, ev)
			_ = flusher.Flush()
			n++
			sent++
		}
		if done {
			_, _ = io.Copy(w, bytes.NewReader([]byte("data: [DONE]\n\n")))
			return
		}
		select {
		case <-grown:
		case <-r.Context().Done():
			return
		case <-e.ctx.Done():
			return
		}
	}
}

// interrupt applies the connection faults after sent events. It reports
// whether the connection must not carry more events.
func (e *Engine) interrupt(r *http.Request, sent int) bool {
	f := e.Faults()
	if f.BreakAfter > 0 && sent >= f.BreakAfter {
		panic(http.ErrAbortHandler)
	}
	if (f.SilentAfter > 0 && sent >= f.SilentAfter) || e.conns.silent(r) {
		<-r.Context().Done()
		return true
	}
	return false
}
