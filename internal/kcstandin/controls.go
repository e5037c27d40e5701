package kcstandin

import (
	"context"
	"net/http"
)

// allUpstreams selects every engine or service when used as the id in the path
// of a control endpoint.
const allUpstreams = "all"

// Register adds the endpoints of the platform's services and the control
// endpoints of the stand-ins to mux.
func (p *Platform) Register(mux *http.ServeMux) {
	p.Log.Register(mux)
	p.InstanceList.Register(mux)
	p.Rater.Register(mux)
	p.WeightStore.Register(mux)
	mux.HandleFunc("GET /standin/effects", ServeEffects(p.Services...))
	mux.HandleFunc("GET /standin/engines", p.serveEngines)
	handleControl(mux, "PUT /standin/engines/{id}/faults", p.findEngines, (*Engine).SetFaults)
	handleControl(mux, "PUT /standin/services/{id}/faults", p.findServices, (*Service).SetFaults)
	handleControl(mux, "POST /standin/engines/{id}/silence", p.findEngines, func(e *Engine, _ struct{}) { e.SilenceOpenConns() })
	handleControl(mux, "POST /standin/services/{id}/silence", p.findServices, func(s *Service, _ struct{}) { s.SilenceOpenConns() })
	mux.HandleFunc("PUT /standin/upstreams/{id}/listening", p.serveListening)
}

// serveListening opens or closes the listeners of the upstreams whose id or
// availability zone is given in the path, or of all upstreams.
func (p *Platform) serveListening(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Listening bool `json:"listening"`
	}
	if !decodeJSON(w, r, &body) {
		return
	}
	for id, u := range p.upstreamsByID {
		name := r.PathValue("id")
		if name != allUpstreams && name != id && name != u.member.Zone {
			continue
		}
		if !body.Listening {
			u.close()
			continue
		}
		// The listener must stay open after the request has ended.
		if err := u.listen(context.WithoutCancel(r.Context())); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
	}
}

// handleControl adds an endpoint that applies the decoded request body to the
// upstreams that the id in the path selects.
func handleControl[T, B any](mux *http.ServeMux, pattern string, find func(id string) []T, apply func(T, B)) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		found := find(r.PathValue("id"))
		if len(found) == 0 {
			http.Error(w, "no upstream "+r.PathValue("id")+"; use its id, the name of its service or "+allUpstreams, http.StatusNotFound)
			return
		}
		var body B
		if r.ContentLength != 0 && !decodeJSON(w, r, &body) {
			return
		}
		for _, t := range found {
			apply(t, body)
		}
	})
}

func (p *Platform) findEngines(id string) []*Engine {
	var found []*Engine
	for _, e := range p.Engines {
		if id == allUpstreams || id == e.opts.ID {
			found = append(found, e)
		}
	}
	return found
}

func (p *Platform) findServices(id string) []*Service {
	if s, ok := p.servicesByID[id]; ok {
		return []*Service{s}
	}
	var found []*Service
	for _, s := range p.Services {
		if id == allUpstreams || id == s.Name {
			found = append(found, s)
		}
	}
	return found
}

// serveEngines returns the state and load of each engine and the number of
// requests that it has started, by version.
func (p *Platform) serveEngines(w http.ResponseWriter, _ *http.Request) {
	type engineStatus struct {
		EngineState
		Load   Load           `json:"load"`
		Served map[string]int `json:"served"`
	}
	engines := make([]engineStatus, len(p.Engines))
	for i, e := range p.Engines {
		engines[i] = engineStatus{e.State(), e.admission.loadBefore(0), e.StartedByVersion()}
	}
	writeJSON(w, struct {
		Engines []engineStatus `json:"engines"`
	}{engines})
}
