package kcedge

import (
	"strconv"

	"github.com/kingcuprail/kingcuprail/internal/kcfeed"
	"github.com/kingcuprail/kingcuprail/internal/kcroom"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/internal/kcwarmup"
	kcplatform "github.com/kingcuprail/kingcuprail/platform"
)

func itoa(n int) string { return strconv.Itoa(n) }

// applyOperatorRecords applies configurations, rollout orders and evacuations of the
// operator. Evacuations come first: requests are served once there is a
// configuration. Nothing tells whether the orders and evacuations of a restored store
// are older than the known ones, which stay until the snapshot is read again.
func (e *Edge) applyOperatorRecords(update kcfeed.Update) {
	if !update.Restored {
		e.applyEvacuations(update.Records, update.Snapshot)
	}
	for _, r := range update.Records {
		switch {
		case len(r.Value) == 0:
		case kcplatform.IsConfig(r.Key):
			e.applyConfig(r)
		case kcplatform.IsRolloutOrder(r.Key):
			order, err := kcplatform.DecodeRolloutOrder(r.Value, kcfeed.Position{Era: update.Era, Offset: r.Offset})
			if err != nil {
				e.Log.Error("cannot decode rollout order; ignoring it", "key", r.Key, "offset", r.Offset, "error", err)
				continue
			}
			if update.Restored {
				e.gate.Rollouts.RestoreOrder(order)
				continue
			}
			if e.gate.Rollouts.ApplyOrder(order, !update.Snapshot) {
				e.Log.Info("order", "service", order.Service, "target", order.Target, "spanMs", order.TimeLimitMs, "offset", r.Offset)
			}
		}
	}
}

// applyEvacuations applies the evacuations among the records of the operator.
func (e *Edge) applyEvacuations(records []kcfeed.Record, snapshot bool) {
	var list []kcwarmup.Evacuation
	for _, r := range records {
		zone, ok := kcplatform.EvacuatedZone(r.Key)
		if !ok {
			continue
		}
		active := len(r.Value) > 0
		if active && !kcplatform.IsEvacuation(r.Value) {
			e.metrics.Count("evacuations.ignoredValues")
		}
		if _, known := e.Deployment.Regions[zone]; active && !known {
			e.metrics.Count("evacuations.unknownZone")
			e.Log.Warn("evacuation of an unknown availability zone", "zone", zone, "offset", r.Offset)
			continue
		}
		list = append(list, kcwarmup.Evacuation{Zone: zone, Active: active})
	}
	for _, c := range e.gate.Upstreams.ApplyEvacuations(list, snapshot) {
		e.metrics.Count("evacuations.changes")
		e.Log.Info("evacuation", "zone", c.Zone, "active", c.Active, "snapshot", snapshot)
	}
}

func (e *Edge) applyConfig(r kcfeed.Record) {
	t, err := kcplatform.DecodeConfig(r.Value)
	if err != nil {
		e.Log.Error("cannot decode configuration; ignoring it", "offset", r.Offset, "error", err)
		return
	}
	if e.gate.SetTable(t) {
		e.registerRoom(t)
		e.Log.Info("configuration in force", "version", t.Version, "offset", r.Offset, "hosts", len(t.Routes))
		e.metrics.Add("config.ignoredValues", int64(t.IgnoredValues))
		if unknown := t.UnknownRegions(e.Deployment.Regions); len(unknown) > 0 {
			e.Log.Warn("configuration allows regions that no availability zone is in", "version", t.Version, "regions", unknown,
				"ignoredValues", t.IgnoredValues)
		}
	}
}

// registerRoom registers the gauges of the room of each service of a configuration.
func (e *Edge) registerRoom(t *kctable.Table) {
	if !e.Deployment.Overload {
		return
	}
	for service := range t.HealthPaths {
		gauge := func(name string, read func(r kcroom.Room) int64) {
			e.metrics.RegisterGauge("room."+service+"."+name, func() int64 { return read(e.gate.Upstreams.Room(service, nil)) })
		}
		gauge("slots", func(r kcroom.Room) int64 { return int64(r.Slots) })
		gauge("busy", func(r kcroom.Room) int64 { return int64(r.Busy) })
		gauge("free", func(r kcroom.Room) int64 { return int64(r.Free) })
		gauge("queueable", func(r kcroom.Room) int64 { return int64(r.Queueable) })
		gauge("waitMs", func(r kcroom.Room) int64 { return int64(r.WaitMs) })
		gauge("prefillMs", func(r kcroom.Room) int64 { return int64(r.PrefillMs) })
		gauge("ageMs", func(r kcroom.Room) int64 { return int64(r.AgeMs) })
	}
}

// applyUpstreamRecords applies the entries of upstreams. An upstream whose
// entry cannot be decoded is removed.
func (e *Edge) applyUpstreamRecords(update kcfeed.Update) {
	var list []kctable.Upstream
	for _, r := range update.Records {
		if len(r.Value) == 0 {
			if !update.Snapshot {
				lapsed := e.gate.Upstreams.Remove(r.Key, update.StoreReturnedAt)
				e.Log.Info("upstream gone", "upstream", r.Key, "offset", r.Offset, "lapsed", lapsed)
			}
			continue
		}
		u, err := kcplatform.DecodeUpstream(r.Key, r.Value)
		e.metrics.Add("upstreams.ignoredValues", int64(u.IgnoredValues))
		if err != nil {
			e.Log.Warn("cannot decode upstream entry; removing the upstream", "upstream", r.Key, "offset", r.Offset, "error", err)
			e.gate.Upstreams.Discard(r.Key)
			continue
		}
		if update.Snapshot {
			list = append(list, u)
			continue
		}
		if e.gate.Upstreams.Upsert(u) {
			e.Log.Info("upstream", "upstream", u.ID, "service", u.Service, "version", u.Version, "leaving", u.Draining,
				"offset", r.Offset)
		}
	}
	switch {
	case update.Restored:
		lapsed := e.gate.Upstreams.Restore(list, update.StoreReturnedAt)
		e.Log.Info("list of upstreams read from a restored store", "upstreams", len(list), "lapsed", lapsed)
	case update.Snapshot:
		lapsed := e.gate.Upstreams.Replace(list, update.StoreReturnedAt)
		e.Log.Info("list of upstreams read", "upstreams", len(list), "lapsed", lapsed)
	}
}

// applyProgressRecords applies the published states of rollout orders and the
// entries of instances. Instances that a restored store lacks stay: they do not
// register again by themselves.
func (e *Edge) applyProgressRecords(update kcfeed.Update) {
	var instances []kcfeed.Record
	for _, r := range update.Records {
		if name, ok := kcplatform.InstanceName(r.Key); ok {
			r.Key = name
			instances = append(instances, r)
			continue
		}
		if part, ok := kcplatform.BlockedPart(r.Key); ok {
			e.quarantine.apply(part, r)
			continue
		}
		if len(r.Value) == 0 || !kcplatform.IsRolloutOrder(r.Key) {
			continue
		}
		p, err := kcplatform.DecodeRolloutProgress(r.Value)
		if err != nil {
			e.Log.Error("cannot decode state of a rollout order; ignoring it", "key", r.Key, "offset", r.Offset, "error", err)
			continue
		}
		if e.gate.Rollouts.ApplyProgress(p) {
			e.Log.Info("state of an order", "service", p.Service, "target", p.Target, "stage", p.State, "opened", p.TargetServing,
				"step", p.Step, "offset", r.Offset)
		}
	}
	if update.Snapshot {
		e.gate.Rollouts.MarkStatesLoaded()
	}
	if update.Snapshot || len(instances) > 0 {
		e.peers.applyInstanceRecords(instances, update.Snapshot && !update.Restored)
	}
}
