package kcedge

import (
	"strconv"

	"github.com/kingcuprail/kingcuprail/internal/kcfeed"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	kcplatform "github.com/kingcuprail/kingcuprail/platform"
)

func itoa(n int) string { return strconv.Itoa(n) }

// applyOperator takes configurations and orders.
func (e *Edge) applyOperator(records []kcfeed.Record, whole, _ bool) {
	for _, r := range records {
		switch {
		case len(r.Value) == 0:
		case kcplatform.IsConfig(r.Key):
			e.applyConfig(r)
		case kcplatform.IsOrder(r.Key):
			order, err := kcplatform.DecodeOrder(r.Value, r.Offset)
			if err != nil {
				e.Log.Error("order ignored", "key", r.Key, "offset", r.Offset, "error", err)
				continue
			}
			if e.gate.Rollouts.ApplyOrder(order, !whole) {
				e.Log.Info("order", "service", order.Service, "target", order.Target, "spanMs", order.SpanMs, "offset", r.Offset)
			}
		}
	}
}

func (e *Edge) applyConfig(r kcfeed.Record) {
	t, err := kcplatform.DecodeConfig(r.Value)
	if err != nil {
		e.Log.Error("configuration ignored", "offset", r.Offset, "error", err)
		return
	}
	if e.gate.SetTable(t) {
		e.Log.Info("configuration in force", "version", t.Version, "offset", r.Offset, "hosts", len(t.Routes))
	}
}

// applyUpstreams takes the entries of upstreams. One that cannot be read names
// no upstream.
func (e *Edge) applyUpstreams(records []kcfeed.Record, whole, lapsed bool) {
	var list []kctable.Upstream
	for _, r := range records {
		if len(r.Value) == 0 {
			if !whole {
				e.gate.Upstreams.Remove(r.Key, lapsed)
				e.Log.Info("upstream gone", "upstream", r.Key, "offset", r.Offset, "lapsed", lapsed)
			}
			continue
		}
		u, err := kcplatform.DecodeUpstream(r.Key, r.Value)
		if err != nil {
			e.Log.Warn("upstream ignored", "upstream", r.Key, "offset", r.Offset, "error", err)
			e.gate.Upstreams.Remove(r.Key, false)
			continue
		}
		if whole {
			list = append(list, u)
			continue
		}
		if e.gate.Upstreams.Upsert(u) {
			e.Log.Info("upstream", "upstream", u.ID, "service", u.Service, "version", u.Version, "leaving", u.Leaving,
				"offset", r.Offset)
		}
	}
	if whole {
		e.gate.Upstreams.Replace(list, lapsed)
		e.Log.Info("list of upstreams read", "upstreams", len(list), "lapsed", lapsed)
	}
}

// applyProgress takes the published states of orders and the entries of
// instances.
func (e *Edge) applyProgress(records []kcfeed.Record, whole, _ bool) {
	var instances []kcfeed.Record
	for _, r := range records {
		if name, ok := kcplatform.InstanceName(r.Key); ok {
			r.Key = name
			instances = append(instances, r)
			continue
		}
		if len(r.Value) == 0 || !kcplatform.IsOrder(r.Key) {
			continue
		}
		p, err := kcplatform.DecodeProgress(r.Value)
		if err != nil {
			e.Log.Error("state of an order ignored", "key", r.Key, "offset", r.Offset, "error", err)
			continue
		}
		if e.gate.Rollouts.ApplyProgress(p) {
			e.Log.Info("state of an order", "service", p.Service, "target", p.Target, "stage", p.Stage, "opened", p.Opened,
				"step", p.Step, "offset", r.Offset)
		}
	}
	if whole {
		e.gate.Rollouts.MarkStatesLoaded()
	}
	if whole || len(instances) > 0 {
		e.peers.apply(instances, whole)
	}
}
