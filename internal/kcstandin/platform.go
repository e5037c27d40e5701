package kcstandin

import (
	"context"

	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// PlatformOptions configures a Platform.
type PlatformOptions struct {
	Clock kcclock.Clock
	Seed  uint64
	// RetentionMs is the retention of the log; 0 keeps all records.
	RetentionMs kcclock.Millis
	// TokenMillis is the time per generated token of the demo deployment.
	TokenMillis kcclock.Millis
	// Deployment lists the upstreams; nil means the demo deployment.
	Deployment *Deployment
}

// Faults are the faults of all stand-ins of a platform.
type Faults struct {
	Log     LogFaults
	List    ListFaults
	Rater   RaterFaults
	Weights WeightFaults
	Engine  EngineFaults
	Service ServiceFaults
}

// Platform is a log, a list, a rating service, a weight store and the upstreams
// of a deployment. Upstreams listen on loopback addresses of their own.
type Platform struct {
	Log     *Log
	List    *List
	Rater   *Rater
	Weights *Weights
	Engines []*Engine
	// Services are the instances of all plain services.
	Services []*Service
	// Orders is the first instance of the service "orders", or nil.
	Orders *Service
	// services has the ids of Services as key.
	services map[string]*Service
	// upstreams has the ids of engines and services as key.
	upstreams map[string]*upstream
}

// StartPlatform starts the stand-ins.
func StartPlatform(ctx context.Context, opts PlatformOptions) (*Platform, error) {
	d := DemoDeployment(opts.TokenMillis)
	if opts.Deployment != nil {
		d = *opts.Deployment
	}
	quality, size := make(map[string]float64), make(map[string]int64)
	for key, v := range d.Versions {
		quality[key], size[key] = v.Quality, v.WeightBytes
	}
	p := &Platform{
		Log:      NewLog(LogOptions{Clock: opts.Clock, Seed: opts.Seed, RetentionMs: opts.RetentionMs}),
		List:     &List{Clock: opts.Clock},
		Rater:    NewRater(RaterOptions{Clock: opts.Clock, Seed: opts.Seed, Quality: quality}),
		Weights:  NewWeights(opts.Clock, size),
		services: make(map[string]*Service), upstreams: make(map[string]*upstream),
	}
	if err := p.startUpstreams(ctx, opts, d); err != nil {
		p.Close()
		return nil, err
	}
	for _, e := range d.Entries {
		p.List.Put(kcmember.Member{ID: e.ID, Role: kcmember.RoleEntry, Addr: e.Peer, Zone: e.Zone, Region: e.Region})
	}
	return p, nil
}

func (p *Platform) startUpstreams(ctx context.Context, opts PlatformOptions, d Deployment) error {
	for _, spec := range d.Engines {
		for _, id := range instanceIDs(spec.ID, spec.Count) {
			if err := p.startEngine(ctx, opts, id, spec); err != nil {
				return err
			}
		}
	}
	for _, spec := range d.Services {
		for _, id := range instanceIDs(spec.ID, spec.Count) {
			if err := p.startService(ctx, opts, id, spec); err != nil {
				return err
			}
		}
	}
	return nil
}

func (p *Platform) startEngine(ctx context.Context, opts PlatformOptions, id string, spec EngineSpec) error {
	u := p.newUpstream(kcmember.Member{
		ID: id, Role: kcmember.RoleEngine, Zone: spec.Zone, Region: spec.Region, Versions: spec.Versions,
		IgnoresFence: spec.IgnoresFence,
	})
	e := NewEngine(EngineOptions{
		ID: id, Clock: opts.Clock, Seed: opts.Seed, Versions: spec.Versions, TokenMillis: spec.TokenMs,
		PromptMillis: spec.PromptMs, Slots: spec.Slots, CachePrefixes: spec.CachePrefixes,
		IgnoresFence: spec.IgnoresFence, Weights: p.Weights, Changed: u.setVersions,
	})
	p.Engines = append(p.Engines, e)
	return u.start(ctx, &e.conns, e.Register)
}

func (p *Platform) startService(ctx context.Context, opts PlatformOptions, id string, spec ServiceSpec) error {
	u := p.newUpstream(kcmember.Member{
		ID: id, Role: kcmember.RoleService, Zone: spec.Zone, Region: spec.Region, Service: spec.Service,
	})
	s := NewServiceWith(ServiceOptions{Name: spec.Service, Clock: opts.Clock, Seed: opts.Seed, LatencyMs: spec.LatencyMs})
	p.Services, p.services[id] = append(p.Services, s), s
	if p.Orders == nil && spec.Service == "orders" {
		p.Orders = s
	}
	return u.start(ctx, &s.conns, s.Register)
}

func (p *Platform) newUpstream(m kcmember.Member) *upstream {
	u := &upstream{list: p.List, member: m}
	p.upstreams[m.ID] = u
	return u
}

// SetFaults replaces the faults of every stand-in.
func (p *Platform) SetFaults(f Faults) {
	p.Log.SetFaults(f.Log)
	p.List.SetFaults(f.List)
	p.Rater.SetFaults(f.Rater)
	p.Weights.SetFaults(f.Weights)
	for _, e := range p.Engines {
		e.SetFaults(f.Engine)
	}
	for _, s := range p.Services {
		s.SetFaults(f.Service)
	}
}

// Close ends every stand-in.
func (p *Platform) Close() {
	for _, u := range p.upstreams {
		u.close()
	}
	for _, e := range p.Engines {
		e.Close()
	}
}
