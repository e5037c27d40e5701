package kcstandin

import (
	"cmp"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Effect is the number of times that an operation was executed for an idempotency
// key.
type Effect struct {
	Service        string `json:"service"`
	Operation      string `json:"operation"`
	IdempotencyKey string `json:"idempotencyKey"`
	Count          int    `json:"count"`
}

// ServiceFaults are the faults that a Service injects. The zero value injects
// none.
type ServiceFaults struct {
	// LoseAllResponses executes every call and closes the connection without a
	// response.
	LoseAllResponses bool `json:"loseAnswers" name:"lose-answers" help:"Run every call and break the connection without an answer."`
	// LostResponseShare is the share, from 0 to 1, of calls that are executed but
	// whose response is lost.
	LostResponseShare float64 `json:"loseShare" name:"lose-share" help:"Share of calls, 0 to 1, that run and whose answer is lost."`
	// Refuse makes every call fail with 503 without executing it.
	Refuse bool `json:"refuse" help:"Refuse every call with 503 without running it."`
	// RefuseShare is the share, from 0 to 1, of calls that fail with 503 without
	// being executed.
	RefuseShare float64 `json:"refuseShare" help:"Share of calls, 0 to 1, that are refused with 503 and do not run."`
	// SilentShare is the share, from 0 to 1, of calls that are executed but get no
	// response while the connection stays open.
	SilentShare float64 `json:"silentShare" help:"Share of calls, 0 to 1, that run and stay without an answer."`
	// LatencyMs is added to the latency of every call.
	LatencyMs kcclock.Millis `json:"latencyMs" help:"Additional time of each call in milliseconds."`
}

// ServiceOptions configures a Service.
type ServiceOptions struct {
	Name  string
	Clock kcclock.Clock
	Seed  uint64
	// LatencyMs is the latency of a call without faults.
	LatencyMs kcclock.Millis
}

// Service is a plain service that counts how often each operation was executed
// for each idempotency key.
type Service struct {
	Name string

	opts  ServiceOptions
	conns connTracker

	mu      sync.Mutex
	rng     *rand.Rand
	faults  ServiceFaults
	running int
	effects map[Effect]int
}

// NewService returns a service without effects and without latency.
func NewService(name string) *Service {
	return NewServiceWithOptions(ServiceOptions{Name: name, Clock: kcclock.System{}})
}

// NewServiceWithOptions returns a service without effects.
func NewServiceWithOptions(opts ServiceOptions) *Service {
	return &Service{Name: opts.Name, opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 3)), effects: make(map[Effect]int)}
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SilenceOpenConns permanently stops responses on all open connections
// without closing them. New connections work.
func (s *Service) SilenceOpenConns() { s.conns.silenceOpen() }

// Register adds the endpoints of the service to mux.
func (s *Service) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/services/"+s.Name+"/{operation}", s.serveCall)
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.load()) })
	registerFaults(mux, "services/"+s.Name, s.SetFaults)
}

func (s *Service) load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Load{Running: s.running, At: s.opts.Clock.Now()}
}

// callOutcome is the drawn result of one call.
type callOutcome int

const (
	outcomeAnswered callOutcome = iota
	outcomeRefused
	outcomeResponseLost
	outcomeNoResponse
)

// beginCall draws the outcome of a call and counts its effect unless it is
// refused. It also returns the latency of the call.
func (s *Service) beginCall(e Effect) (callOutcome, kcclock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	latency := s.opts.LatencyMs + f.LatencyMs
	s.running++
	if f.Refuse || s.rng.Float64() < f.RefuseShare {
		return outcomeRefused, latency
	}
	s.effects[e]++
	switch {
	case f.LoseAllResponses || s.rng.Float64() < f.LostResponseShare:
		return outcomeResponseLost, latency
	case s.rng.Float64() < f.SilentShare:
		return outcomeNoResponse, latency
	default:
		return outcomeAnswered, latency
	}
}

func (s *Service) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e := Effect{Service: s.Name, Operation: r.PathValue("operation"), IdempotencyKey: r.Header.Get("Idempotency-Key")}
	outcome, latency := s.beginCall(e)
	defer s.endCall()
	if latency > 0 {
		select {
		case <-s.opts.Clock.After(latency):
		case <-r.Context().Done():
		}
	}
	load, _ := json.Marshal(s.load())
	w.Header().Set(HeaderEngineLoad, string(load))
	switch outcome {
	case outcomeRefused:
		http.Error(w, "service is not available", http.StatusServiceUnavailable)
	case outcomeResponseLost:
		panic(http.ErrAbortHandler)
	case outcomeNoResponse:
		hangUntilClosed(r)
	default:
		writeJSON(w, map[string]string{"service": s.Name, "operation": e.Operation, "status": "ok"})
	}
}

// Effects returns the effects of the services in a stable order. It adds up the
// counts of several instances of one service.
func Effects(services ...*Service) []Effect {
	counts := make(map[Effect]int)
	for _, s := range services {
		s.mu.Lock()
		for e, n := range s.effects {
			counts[e] += n
		}
		s.mu.Unlock()
	}
	out := []Effect{}
	for e, n := range counts {
		e.Count = n
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Effect) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Operation, b.Operation),
			cmp.Compare(a.IdempotencyKey, b.IdempotencyKey))
	})
	return out
}

// ServeEffects returns the handler of GET /standin/effects.
func ServeEffects(services ...*Service) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, struct {
			Effects []Effect `json:"effects"`
		}{Effects(services...)})
	}
}
