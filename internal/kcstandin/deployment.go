package kcstandin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/tailscale/hujson"
	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Deployment describes the upstreams and entry instances of one user.
type Deployment struct {
	// Versions is keyed by name@version.
	Versions map[string]VersionSpec `json:"versions"`
	Engines  []EngineSpec           `json:"engines"`
	Services []ServiceSpec          `json:"services"`
	Entries  []EntrySpec            `json:"entries"`
}

// VersionSpec describes the actual properties of a model version.
type VersionSpec struct {
	// Quality is the share of good responses, from 0 to 1.
	Quality float64 `json:"quality"`
	// WeightBytes is the size of the model weights.
	WeightBytes int64 `json:"weightBytes"`
}

// Location is the availability zone and region in which instances run.
type Location struct {
	Zone   string `json:"zone"`
	Region string `json:"region"`
}

// EngineSpec describes one or more identical engines.
type EngineSpec struct {
	// ID is the id of a single engine, or the prefix of the ids if Count is set.
	ID string `json:"id"`
	Location
	// Count is the number of engines, which get the ids ID-1, ID-2 and so on; 0
	// means one engine whose id is ID.
	Count    int      `json:"count,omitempty"`
	Versions []string `json:"versions"`
	// TokenMs is the time per generated token.
	TokenMs kcclock.Millis `json:"tokenMs"`
	// PromptMs is the time per 1000 prompt tokens that are not cached.
	PromptMs kcclock.Millis `json:"promptMs,omitempty"`
	// Slots is the number of requests that can run at the same time; 0 means no
	// limit.
	Slots int `json:"slots,omitempty"`
	// CachePrefixes is the number of prompt prefixes that the cache holds; 0 means
	// the default of an engine.
	CachePrefixes int `json:"cachePrefixes,omitempty"`
	// IgnoresFence is true for engines that accept orders with an outdated fencing
	// token.
	IgnoresFence bool `json:"ignoresFence,omitempty"`
}

// ServiceSpec describes one or more identical instances of a plain service.
type ServiceSpec struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Location
	Count     int            `json:"count,omitempty"`
	LatencyMs kcclock.Millis `json:"latencyMs,omitempty"`
}

// EntrySpec describes an entry instance. The platform does not start it, but
// adds it to the list of instances.
type EntrySpec struct {
	ID string `json:"id"`
	Location
	// PeerAddr is the IP:port of the peer listener.
	PeerAddr string `json:"peer"`
}

// DemoDeployment returns the deployment of the demo. tokenMs is the time per
// generated token.
func DemoDeployment(tokenMs kcclock.Millis) Deployment {
	place := Location{Zone: "zone-a", Region: "region-1"}
	return Deployment{
		Versions: map[string]VersionSpec{"small@1": {Quality: 0.8}, "large@1": {Quality: 0.97}},
		Engines: []EngineSpec{
			{ID: "engine-1", Location: place, Versions: []string{"small@1"}, TokenMs: tokenMs},
			{ID: "engine-2", Location: place, Versions: []string{"small@1", "large@1"}, TokenMs: tokenMs},
		},
		Services: []ServiceSpec{{ID: "orders-1", Service: "orders", Location: place}},
	}
}

// ReadDeployment reads a deployment file, which is JSON with comments.
func ReadDeployment(path string) (Deployment, error) {
	var d Deployment
	text, err := os.ReadFile(path)
	if err != nil {
		return d, errs.Wrap(err)
	}
	std, err := hujson.Standardize(text)
	if err != nil {
		return d, errs.New("%s: %v", path, err)
	}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return d, errs.New("%s: %v", path, err)
	}
	if err := d.validate(); err != nil {
		return d, errs.New("%s: %v", path, err)
	}
	return d, nil
}

// validate returns an error if an id is empty or used twice, or if an engine
// serves a version that is missing from Versions.
func (d *Deployment) validate() error {
	ids := kcset.New[string]()
	add := func(id string, count int) error {
		for _, id := range instanceIDs(id, count) {
			if id == "" || ids.Has(id) {
				return errs.New("the id %q is empty or used twice; give each instance its own", id)
			}
			ids.Add(id)
		}
		return nil
	}
	for _, e := range d.Engines {
		if err := add(e.ID, e.Count); err != nil {
			return err
		}
		for _, v := range e.Versions {
			if _, ok := d.Versions[v]; !ok {
				return errs.New("engine %q: version %q is not in versions; add it there", e.ID, v)
			}
		}
	}
	for _, s := range d.Services {
		if err := add(s.ID, s.Count); err != nil {
			return err
		}
	}
	for _, e := range d.Entries {
		if err := add(e.ID, 0); err != nil {
			return err
		}
	}
	return nil
}

// instanceIDs returns the ids of count identical instances, or just id if count
// is not set.
func instanceIDs(id string, count int) []string {
	if count <= 0 {
		return []string{id}
	}
	ids := make([]string, count)
	for i := range ids {
		ids[i] = fmt.Sprintf("%s-%d", id, i+1)
	}
	return ids
}
