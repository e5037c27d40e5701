package kcinstance

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/kingcuprail/kingcuprail/internal/kcconfig"
	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcmetric"
	"github.com/kingcuprail/kingcuprail/internal/kcpeer"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// snapshotMs must be well below the retention of the log. At 18,000 changes
	// a day about 60 stand after a snapshot of this age.
	snapshotMs = 5 * kcclock.Minute
	// snapshotKey is what instances hash to agree on a writer of snapshots.
	snapshotKey = "configSnapshot"
	// readyCheckMs is the pause between two checks of a starting instance for
	// what peers told it.
	readyCheckMs = 200 * kcclock.Millisecond
)

// newConfig returns the reader of the configuration stream.
func (i *Instance) newConfig(metrics *kcmetric.Registry) *kcconfig.Reader {
	self := i.opts.Settings.Instance
	return kcconfig.NewReader(kcconfig.ReaderOptions{
		Clock: i.opts.Clock, Log: i.opts.Log, Metrics: metrics, Store: i.opts.Store, Base: i.opts.Settings.Rules,
		InstanceID: self.ID, Zone: self.Zone, InstanceZones: i.zones, SnapshotIntervalMs: snapshotMs,
		WritesSnapshots: func() bool { return kcset.Owner(snapshotKey, i.node.LiveInstances()) == self.ID },
	})
}

// withConfig adds the reader to the handlers of peers' messages.
func withConfig(h kcpeer.Handlers, r *kcconfig.Reader) kcpeer.Handlers {
	h.Config = r
	h.Digests = append(h.Digests[:len(h.Digests):len(h.Digests)], r)
	return h
}

// withParts adds parts to the digests that instances exchange.
func withParts(h kcpeer.Handlers, parts ...kcpeer.DigestHandler) kcpeer.Handlers {
	h.Digests = append(h.Digests[:len(h.Digests):len(h.Digests)], parts...)
	return h
}

// zones returns the availability zone of every entry instance on the list, or
// nil if the list was never read.
func (i *Instance) zones() map[string]string {
	if i.directory.Status().ListAgeMs < 0 {
		return nil
	}
	out := make(map[string]string)
	for _, m := range i.directory.EntryInstances() {
		if !m.Leaving {
			out[m.ID] = m.Zone
		}
	}
	return out
}

// awaitConfig closes the returned channel once the rules in force are known to
// be current, or when ctx ends.
func (i *Instance) awaitConfig(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil && !i.config.Fresh() {
			changed := i.config.Changed()
			if i.config.Fresh() {
				return
			}
			select {
			case <-ctx.Done():
			case <-changed:
			case <-i.opts.Clock.After(readyCheckMs):
			}
		}
	}()
	return done
}

// Config returns the reader of the configuration stream.
func (i *Instance) Config() *kcconfig.Reader { return i.config }

// Directory returns the list of members as the instance knows it.
func (i *Instance) Directory() *kcmember.Directory { return i.directory }

// Status is what GET /status on the admin address answers.
type Status struct {
	Instance  string          `json:"instance"`
	Zone      string          `json:"zone"`
	Region    string          `json:"region"`
	Config    kcconfig.Status `json:"config"`
	Directory kcmember.Status `json:"directory"`
	// LivePeers counts the instances that this one exchanges messages with.
	LivePeers int `json:"livePeers"`
}

// Status returns the state of the instance now.
func (i *Instance) Status() Status {
	self := i.opts.Settings.Instance
	return Status{
		Instance: self.ID, Zone: self.Zone, Region: self.Region,
		Config: i.config.Status(), Directory: i.directory.Status(), LivePeers: len(i.node.LivePeers()),
	}
}

func (i *Instance) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(i.Status())
}
