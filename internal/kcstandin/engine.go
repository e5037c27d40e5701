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

// EngineFaults are the faults that an engine injects. The zero value injects
// none.
type EngineFaults struct {
	// SilentAfter is the number of events after which a response stops while its
	// connection stays open; 0 means never. New connections work; every response
	// counts its own events.
	SilentAfter int `json:"silentAfter" help:"Go silent after this many events on a connection; 0 means never."`
	// BreakAfter is the number of events of a response after which its connection is
	// closed; 0 means never.
	BreakAfter int `json:"breakAfter" help:"Break the connection after this many events; 0 means never."`
	// ResumeStatus is the status with which resumes of a stream fail; 0 means that
	// they do not.
	ResumeStatus int `json:"resumeStatus" help:"Status of failed resumes; 0 means that they do not fail."`
	// Refuse makes every new request fail with 503.
	Refuse bool `json:"refuse" help:"Refuse new requests with 503."`
	// FailedRequestShare is the share, from 0 to 1, of new requests that fail with
	// 500.
	FailedRequestShare float64 `json:"failShare" name:"fail-share" help:"Share of new requests, 0 to 1, that fail with 500."`
	// ExtraTokenMs is added to the time per generated token.
	ExtraTokenMs kcclock.Millis `json:"extraTokenMs" help:"Additional time per generated token in milliseconds."`
	// Leaving adds the X-Engine-Leaving header to every response, as an engine does
	// before it shuts down.
	Leaving bool `json:"leaving" help:"Mark answers as those of a leaving engine."`
	// LoadLagMs is the age of load reports.
	LoadLagMs kcclock.Millis `json:"loadLagMs" help:"Age of load reports in milliseconds."`
	// CacheEventDelayMs is the minimum age of the cache events that can be read.
	CacheEventDelayMs kcclock.Millis `json:"cacheDelayMs" name:"cache-delay-ms" help:"Delay of cache events in milliseconds."`
	// LostCacheEventShare is the share, from 0 to 1, of cache events that are lost.
	LostCacheEventShare float64 `json:"cacheLoseShare" name:"cache-lose-share" help:"Share of cache events, 0 to 1, that are lost."`
	// OrderDelayMs is the time until an order takes effect.
	OrderDelayMs kcclock.Millis `json:"orderDelayMs" help:"Time until an order takes effect, in milliseconds."`
	// OrderLoseAnswers is the share, from 0 to 1, of orders that are processed
	// but whose response is lost.
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
	// PromptMillisPer1000 is the time per 1000 prompt tokens that are not cached.
	PromptMillisPer1000 kcclock.Millis
	// Slots is the number of requests that can run at the same time; 0 means no
	// limit.
	Slots int
	// MaxCachedPrefixes is the number of prompt prefixes that the cache holds; 0
	// means 1024.
	MaxCachedPrefixes int
	// MaxKeptGenerations is the number of generations that are kept so that clients
	// can resume their streams; 0 means 1024.
	MaxKeptGenerations int
	// IgnoresFence makes the engine accept orders with an outdated fencing token.
	IgnoresFence bool
	// WeightStore provides the weights of ordered versions; nil makes them load
	// immediately.
	WeightStore *WeightStore
	// OnVersionsChanged, if set, is called with the served versions after an order
	// has been applied and after each load of a version has ended.
	OnVersionsChanged func(versions []string)
}

const (
	defaultMaxCachedPrefixes  = 1024
	defaultMaxKeptGenerations = 1024
	// HeaderEngineLoad carries the load of an engine or service, as JSON, on its
	// responses.
	HeaderEngineLoad = "X-Engine-Load"
	// headerLeaving is "true" on the responses of an engine with the fault Leaving.
	headerLeaving = "X-Engine-Leaving"
)

// Engine simulates an inference engine. Its output repeats the last message of
// the prompt.
type Engine struct {
	opts      EngineOptions
	admission *admissionQueue
	cache     *prefixCache
	conns     connTracker
	// ctx ends when the engine is closed.
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup

	mu               sync.Mutex
	closed           bool
	rng              *rand.Rand
	faults           EngineFaults
	generations      map[string]*generation
	generationIDs    []string
	startedByVersion map[string]int
	role             string
	fence            int64
	versions         kcset.Set[string]
	desiredVersions  kcset.Set[string]
	loadingVersions  kcset.Set[string]
	adapters         []string
}

// generation is the output for one request. Its events are kept so that a client
// can resume the stream.
type generation struct {
	mu     sync.Mutex
	events [][]byte
	done   bool
	// appended is closed and replaced at every event.
	appended chan struct{}
	cancel   context.CancelFunc
}

// NewEngine returns an engine without requests and faults.
func NewEngine(opts EngineOptions) *Engine {
	opts.MaxCachedPrefixes = cmp.Or(opts.MaxCachedPrefixes, defaultMaxCachedPrefixes)
	opts.MaxKeptGenerations = cmp.Or(opts.MaxKeptGenerations, defaultMaxKeptGenerations)
	e := &Engine{
		opts: opts, admission: &admissionQueue{clock: opts.Clock, slots: opts.Slots},
		cache:       newPrefixCache(opts.Clock, opts.Seed, opts.MaxCachedPrefixes),
		rng:         rand.New(rand.NewPCG(opts.Seed, xxhash.Sum64String(opts.ID))),
		generations: make(map[string]*generation), startedByVersion: make(map[string]int),
		versions: kcset.New(opts.Versions...), desiredVersions: kcset.New(opts.Versions...), loadingVersions: kcset.New[string](),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	return e
}

// Close cancels the running requests and orders and waits until they have ended.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.cancel()
	e.background.Wait()
}

// runInBackground runs f in a goroutine that Close waits for. It does nothing
// once the engine is closed. The caller holds the lock.
func (e *Engine) runInBackground(f func()) {
	if !e.closed {
		e.background.Go(f)
	}
}

// Faults returns the current faults.
func (e *Engine) Faults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// drawFault decides at random, with probability share, whether a fault occurs.
func (e *Engine) drawFault(share float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rng.Float64() < share
}

// SilenceOpenConns permanently stops responses on all open connections
// without closing them. New connections work.
func (e *Engine) SilenceOpenConns() { e.conns.silenceOpen() }

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// StartedByVersion returns the number of requests that were accepted, by version.
func (e *Engine) StartedByVersion() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]int, len(e.startedByVersion))
	for k, n := range e.startedByVersion {
		out[k] = n
	}
	return out
}

// Register adds the endpoints of the engine to mux.
func (e *Engine) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/chat/completions", e.withEngineHeaders(e.serveChat))
	mux.HandleFunc("GET /v1/streams/{id}", e.withEngineHeaders(e.serveResume))
	mux.HandleFunc("DELETE /v1/streams/{id}", e.withEngineHeaders(e.serveCancel))
	mux.HandleFunc("GET /v1/load", e.withEngineHeaders(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, e.admission.loadBefore(e.Faults().LoadLagMs))
	}))
	mux.HandleFunc("GET /v1/cacheEvents", e.withEngineHeaders(e.serveCacheEvents))
	mux.HandleFunc("POST /v1/orders", e.withEngineHeaders(e.serveOrder))
	mux.HandleFunc("GET /v1/state", e.withEngineHeaders(func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.State()) }))
	registerFaults(mux, "engine", e.SetFaults)
}

// withEngineHeaders adds the headers that every response of an engine carries.
func (e *Engine) withEngineHeaders(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := e.Faults()
		load, _ := json.Marshal(e.admission.loadBefore(f.LoadLagMs))
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
	}{e.cache.eventsFrom(from, e.Faults().CacheEventDelayMs)})
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
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
	if f := e.Faults(); f.FailedRequestShare > 0 && e.drawFault(f.FailedRequestShare) {
		http.Error(w, "engine "+e.opts.ID+" failed", http.StatusInternalServerError)
		return
	}
	// A lower number is served first, as in real engines that have this field.
	var scheduling struct {
		Priority int `json:"priority"`
	}
	_ = json.Unmarshal(body, &scheduling)
	gen, err := e.startGeneration(r.Header.Get("X-Request-Id"), req, scheduling.Priority)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	e.streamEvents(w, r, gen, 0)
}

func (e *Engine) startGeneration(id string, req *kcchat.Request, priority int) (*generation, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Refuse || e.closed {
		return nil, fmt.Errorf("engine %s takes no requests", e.opts.ID)
	}
	if !e.versions.Has(req.Model) {
		return nil, fmt.Errorf("engine %s does not serve %s", e.opts.ID, req.Model)
	}
	ctx, cancel := context.WithCancel(e.ctx)
	gen := &generation{appended: make(chan struct{}), cancel: cancel}
	e.keepGeneration(id, gen)
	e.startedByVersion[req.Model]++
	e.runInBackground(func() {
		defer cancel()
		if e.admission.acquireSlot(ctx, priority) {
			defer e.admission.releaseSlot()
			e.generate(ctx, gen, id, req)
		}
	})
	return gen, nil
}

// maxKeptEvents bounds the events of the generations that have ended. It is a few
// of the longest ones.
const maxKeptEvents = 16_384

// keepGeneration stores a generation and drops the oldest ones beyond
// MaxKeptGenerations, and beyond maxKeptEvents those that have ended. A dropped one
// can no longer be resumed.
func (e *Engine) keepGeneration(id string, gen *generation) {
	if _, exists := e.generations[id]; !exists {
		e.generationIDs = append(e.generationIDs, id)
	}
	e.generations[id] = gen
	for len(e.generationIDs) > e.opts.MaxKeptGenerations {
		delete(e.generations, e.generationIDs[0])
		e.generationIDs = e.generationIDs[1:]
	}
	kept := 0
	for i, id := range slices.Backward(e.generationIDs) {
		n, done := 0, true
		if g := e.generations[id]; g != nil {
			n, done = g.size()
		}
		if kept += n; done && kept > maxKeptEvents {
			delete(e.generations, id)
			e.generationIDs = slices.Delete(e.generationIDs, i, i+1)
			kept -= n
		}
	}
}

// size returns the number of events so far and whether the generation has ended.
func (g *generation) size() (events int, done bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.events), g.done
}

func (e *Engine) generate(ctx context.Context, gen *generation, id string, req *kcchat.Request) {
	f := e.Faults()
	uncached := max(req.EstimatePromptTokens()-e.cache.lookupAndStore(req, f.LostCacheEventShare), 0)
	if !e.sleep(ctx, e.opts.PromptMillisPer1000*kcclock.Millis(uncached)/1000) {
		return
	}
	chunk := kcchat.Chunk{
		ID: id, Object: "chat.completion.chunk", Created: int64(e.opts.Clock.Now() / kcclock.Second), Model: req.Model,
	}
	words := answerWords(req)
	for i, word := range words {
		if !e.sleep(ctx, e.opts.TokenMillis+f.ExtraTokenMs) {
			return
		}
		gen.appendEvent(tokenChunk(chunk, word, i == len(words)-1), false)
	}
	gen.appendEvent(usageChunk(chunk, req, len(words)), true)
}

// sleep waits d milliseconds. It returns false if ctx ended first.
func (e *Engine) sleep(ctx context.Context, d kcclock.Millis) bool {
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

// answerWords returns the output for a request: the last message, split into one
// word per token.
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

func tokenChunk(c kcchat.Chunk, word string, last bool) []byte {
	choice := kcchat.ChunkChoice{Delta: kcchat.Delta{Role: "assistant", Content: word}}
	if last {
		reason := "stop"
		choice.FinishReason = &reason
	}
	c.Choices = []kcchat.ChunkChoice{choice}
	b, _ := json.Marshal(c)
	return b
}

func usageChunk(c kcchat.Chunk, req *kcchat.Request, completionTokens int) []byte {
	prompt := req.EstimatePromptTokens()
	c.Choices = []kcchat.ChunkChoice{}
	c.Usage = &kcchat.Usage{PromptTokens: prompt, CompletionTokens: completionTokens, TotalTokens: prompt + completionTokens}
	b, _ := json.Marshal(c)
	return b
}

func (g *generation) appendEvent(event []byte, done bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.events = append(g.events, event)
	g.done = done
	close(g.appended)
	g.appended = make(chan struct{})
}

func (g *generation) eventsFrom(n int) (events [][]byte, done bool, appended <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n < len(g.events) {
		events = g.events[n:]
	}
	return events, g.done, g.appended
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	if status := e.Faults().ResumeStatus; status != 0 {
		http.Error(w, "engine "+e.opts.ID+" cannot resume", status)
		return
	}
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		http.Error(w, "from must be an offset", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	gen := e.generations[r.PathValue("id")]
	e.mu.Unlock()
	if gen == nil {
		http.NotFound(w, r)
		return
	}
	e.streamEvents(w, r, gen, from)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	gen := e.generations[r.PathValue("id")]
	delete(e.generations, r.PathValue("id"))
	e.generationIDs = slices.DeleteFunc(e.generationIDs, func(id string) bool { return id == r.PathValue("id") })
	e.mu.Unlock()
	if gen != nil {
		gen.cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

// streamEvents sends the events of a generation as server-sent events, from
// offset n until its end.
func (e *Engine) streamEvents(w http.ResponseWriter, r *http.Request, gen *generation, n int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	for sent := 0; ; {
		events, done, appended := gen.eventsFrom(n)
		for _, ev := range events {
			if e.applyConnFaults(r, sent) {
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
		case <-appended:
		case <-r.Context().Done():
			return
		case <-e.ctx.Done():
			return
		}
	}
}

// applyConnFaults applies the faults that concern the connection, after sent
// events of a response. It aborts the handler if the connection is to be closed.
// If the connection is silent, it waits until the client closes it and returns
// true.
func (e *Engine) applyConnFaults(r *http.Request, sent int) bool {
	f := e.Faults()
	if f.BreakAfter > 0 && sent >= f.BreakAfter {
		panic(http.ErrAbortHandler)
	}
	if (f.SilentAfter > 0 && sent >= f.SilentAfter) || e.conns.isSilent(r) {
		<-r.Context().Done()
		return true
	}
	return false
}
