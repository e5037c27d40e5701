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

// Faults are the faults that the stand-ins of a platform inject.
type Faults struct {
	Log     LogFaults
	List    InstanceListFaults
	Rater   RaterFaults
	Weights WeightStoreFaults
	Engine  EngineFaults
	Service ServiceFaults
}

// Platform is a set of stand-ins: a log, a list of instances, a rating service, a
// weight store and the upstreams of a deployment. Each upstream listens on its own
// loopback port.
type Platform struct {
	Log          *Log
	InstanceList *InstanceList
	Rater        *Rater
	WeightStore  *WeightStore
	Engines      []*Engine
	// Services are the instances of all plain services.
	Services []*Service
	// OrdersService is the first instance of the service "orders", or nil.
	OrdersService *Service
	// servicesByID contains Services by instance id.
	servicesByID map[string]*Service
	// upstreamsByID contains the servers of all engines and services by instance id.
	upstreamsByID map[string]*upstreamServer
}

// StartPlatform starts the stand-ins of a deployment. The caller must close the
// platform.
func StartPlatform(ctx context.Context, opts PlatformOptions) (*Platform, error) {
	d := DemoDeployment(opts.TokenMillis)
	if opts.Deployment != nil {
		d = *opts.Deployment
	}
	quality, weightBytes := make(map[string]float64), make(map[string]int64)
	for key, v := range d.Versions {
		quality[key], weightBytes[key] = v.Quality, v.WeightBytes
	}
	p := &Platform{
		Log:          NewLog(LogOptions{Clock: opts.Clock, Seed: opts.Seed, RetentionMs: opts.RetentionMs}),
		InstanceList: &InstanceList{Clock: opts.Clock},
		Rater:        NewRater(RaterOptions{Clock: opts.Clock, Seed: opts.Seed, Quality: quality}),
		WeightStore:  NewWeightStore(opts.Clock, weightBytes),
		servicesByID: make(map[string]*Service), upstreamsByID: make(map[string]*upstreamServer),
	}
	if err := p.startUpstreams(ctx, opts, d); err != nil {
		p.Close()
		return nil, err
	}
	for _, e := range d.Entries {
		p.InstanceList.Put(kcmember.Member{ID: e.ID, Role: kcmember.RoleEntry, Addr: e.PeerAddr, Zone: e.Zone, Region: e.Region})
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
		PromptMillisPer1000: spec.PromptMs, Slots: spec.Slots, MaxCachedPrefixes: spec.CachePrefixes,
		IgnoresFence: spec.IgnoresFence, WeightStore: p.WeightStore, OnVersionsChanged: u.setVersions,
	})
	p.Engines = append(p.Engines, e)
	return u.start(ctx, &e.conns, e.Register)
}

func (p *Platform) startService(ctx context.Context, opts PlatformOptions, id string, spec ServiceSpec) error {
	u := p.newUpstream(kcmember.Member{
		ID: id, Role: kcmember.RoleService, Zone: spec.Zone, Region: spec.Region, Service: spec.Service,
	})
	s := NewServiceWithOptions(ServiceOptions{Name: spec.Service, Clock: opts.Clock, Seed: opts.Seed, LatencyMs: spec.LatencyMs})
	p.Services, p.servicesByID[id] = append(p.Services, s), s
	if p.OrdersService == nil && spec.Service == "orders" {
		p.OrdersService = s
	}
	return u.start(ctx, &s.conns, s.Register)
}

func (p *Platform) newUpstream(m kcmember.Member) *upstreamServer {
	u := &upstreamServer{list: p.InstanceList, member: m}
	p.upstreamsByID[m.ID] = u
	return u
}

// SetFaults replaces the faults of every stand-in.
func (p *Platform) SetFaults(f Faults) {
	p.Log.SetFaults(f.Log)
	p.InstanceList.SetFaults(f.List)
	p.Rater.SetFaults(f.Rater)
	p.WeightStore.SetFaults(f.Weights)
	for _, e := range p.Engines {
		e.SetFaults(f.Engine)
	}
	for _, s := range p.Services {
		s.SetFaults(f.Service)
	}
}

// Close stops all upstreams.
func (p *Platform) Close() {
	for _, u := range p.upstreamsByID {
		u.close()
	}
	for _, e := range p.Engines {
		e.Close()
	}
}
