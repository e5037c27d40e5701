package kcstandin

import (
	"net/http"
	"slices"

	"github.com/kingcuprail/kingcuprail/internal/kcset"
)

// EngineOrder is the desired state of an engine.
type EngineOrder struct {
	// Fence is the fencing token of the lease under which the order is sent.
	Fence int64 `json:"fence"`
	// Role is the role of the engine, for example "prefill"; "" keeps the current
	// role.
	Role string `json:"role,omitempty"`
	// Versions and Adapters are the model versions and adapters to serve.
	Versions []string `json:"versions"`
	Adapters []string `json:"adapters,omitempty"`
}

// EngineState is the actual state of an engine.
type EngineState struct {
	ID       string   `json:"id"`
	Role     string   `json:"role"`
	Versions []string `json:"versions"`
	// Loading are the versions whose weights are being fetched.
	Loading  []string `json:"loading"`
	Adapters []string `json:"adapters"`
	// Fence is the highest fencing token of the accepted orders.
	Fence   int64 `json:"fence"`
	Leaving bool  `json:"leaving"`
}

// State returns the state of the engine.
func (e *Engine) State() EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EngineState{
		ID: e.opts.ID, Role: e.role, Versions: kcset.Sorted(e.versions), Loading: kcset.Sorted(e.loadingVersions),
		Adapters: slices.Clone(e.adapters), Fence: e.fence, Leaving: e.faults.Leaving,
	}
}

// AcceptOrder accepts an order and returns true. It returns false if the fencing
// token is outdated and the engine checks fencing tokens. The order is applied in
// the background after OrderDelayMs. A new version is served once its weights
// have been fetched.
func (e *Engine) AcceptOrder(o EngineOrder) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.hasStaleFence(o) {
		return false
	}
	e.fence = max(e.fence, o.Fence)
	delay := e.faults.OrderDelayMs
	e.runInBackground(func() {
		if delay > 0 {
			select {
			case <-e.opts.Clock.After(delay):
			case <-e.ctx.Done():
				return
			}
		}
		e.applyOrder(o)
	})
	return true
}

func (e *Engine) hasStaleFence(o EngineOrder) bool { return !e.opts.IgnoresFence && o.Fence < e.fence }

func (e *Engine) applyOrder(o EngineOrder) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.hasStaleFence(o) {
		return
	}
	if o.Role != "" {
		e.role = o.Role
	}
	e.adapters = slices.Clone(o.Adapters)
	e.desiredVersions = kcset.New(o.Versions...)
	for v := range e.versions {
		if !e.desiredVersions.Has(v) {
			e.versions.Remove(v)
		}
	}
	for v := range e.desiredVersions {
		if !e.versions.Has(v) && !e.loadingVersions.Has(v) {
			e.loadingVersions.Add(v)
			e.runInBackground(func() { e.loadVersion(v) })
		}
	}
	e.notifyVersions()
}

// loadVersion fetches the weights of a version and then serves it if it is still
// desired. A failed fetch is not retried, so the state then lacks the version.
func (e *Engine) loadVersion(version string) {
	var err error
	if e.opts.WeightStore != nil {
		_, err = e.opts.WeightStore.Fetch(e.ctx, version)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loadingVersions.Remove(version)
	if err == nil && e.desiredVersions.Has(version) {
		e.versions.Add(version)
	}
	e.notifyVersions()
}

// notifyVersions calls OnVersionsChanged. The caller holds the lock.
func (e *Engine) notifyVersions() {
	if e.opts.OnVersionsChanged != nil {
		e.opts.OnVersionsChanged(kcset.Sorted(e.versions))
	}
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o EngineOrder
	if !decodeJSON(w, r, &o) {
		return
	}
	accepted := e.AcceptOrder(o)
	if f := e.Faults(); f.OrderLoseAnswers > 0 && e.drawFault(f.OrderLoseAnswers) {
		panic(http.ErrAbortHandler)
	}
	if !accepted {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusConflict)
	}
	writeJSON(w, e.State())
}
