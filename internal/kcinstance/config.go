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
	// snapshotIntervalMs must be well below the retention of the log. At 18,000
	// changes a day, about 60 changes follow a snapshot of this age.
	snapshotIntervalMs = 5 * kcclock.Minute
	// snapshotOwnerKey is the key that instances hash to agree on the one that
	// writes snapshots.
	snapshotOwnerKey = "configSnapshot"
	// readyPollMs is the interval at which a starting instance checks whether
	// messages of peers have shown its configuration to be current.
	readyPollMs = 200 * kcclock.Millisecond
)

// newConfig returns the reader of the configuration stream. One live instance,
// chosen by hashing, writes snapshots.
func (i *Instance) newConfig(metrics *kcmetric.Registry) *kcconfig.Reader {
	self := i.opts.Settings.Instance
	return kcconfig.NewReader(kcconfig.ReaderOptions{
		Clock: i.opts.Clock, Log: i.opts.Log, Metrics: metrics, Store: i.opts.RecordLog, Base: i.opts.Settings.Rules,
		InstanceID: self.ID, Zone: self.Zone, InstanceZones: i.zoneByInstance, SnapshotIntervalMs: snapshotIntervalMs,
		WritesSnapshots: func() bool { return kcset.Owner(snapshotOwnerKey, i.node.LiveInstances()) == self.ID },
	})
}

// withConfigHandler adds the configuration reader to the peer handlers.
func withConfigHandler(h kcpeer.Handlers, r *kcconfig.Reader) kcpeer.Handlers {
	h.Config = r
	h.Digests = append(h.Digests[:len(h.Digests):len(h.Digests)], r)
	return h
}

// withDigestParts adds parts to the digests that instances exchange.
func withDigestParts(h kcpeer.Handlers, parts ...kcpeer.DigestHandler) kcpeer.Handlers {
	h.Digests = append(h.Digests[:len(h.Digests):len(h.Digests)], parts...)
	return h
}

// zoneByInstance returns the availability zone of every listed entry instance
// that is not leaving, by instance id. It returns nil if the list was never
// read.
func (i *Instance) zoneByInstance() map[string]string {
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
		for ctx.Err() == nil && !i.configReader.Fresh() {
			changed := i.configReader.Changed()
			if i.configReader.Fresh() {
				return
			}
			select {
			case <-ctx.Done():
			case <-changed:
			case <-i.opts.Clock.After(readyPollMs):
			}
		}
	}()
	return done
}

// Config returns the reader of the configuration stream.
func (i *Instance) Config() *kcconfig.Reader { return i.configReader }

// Directory returns the instance's current view of the member list.
func (i *Instance) Directory() *kcmember.Directory { return i.directory }

// Status is the response to GET /status on the admin address.
type Status struct {
	Instance  string          `json:"instance"`
	Zone      string          `json:"zone"`
	Region    string          `json:"region"`
	Config    kcconfig.Status `json:"config"`
	Directory kcmember.Status `json:"directory"`
	// LivePeers is the number of instances that this one exchanges messages with.
	LivePeers int `json:"livePeers"`
}

// Status returns the current state of the instance.
func (i *Instance) Status() Status {
	self := i.opts.Settings.Instance
	return Status{
		Instance: self.ID, Zone: self.Zone, Region: self.Region,
		Config: i.configReader.Status(), Directory: i.directory.Status(), LivePeers: len(i.node.LivePeers()),
	}
}

func (i *Instance) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(i.Status())
}
