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

// Deployment lists the upstreams and entry instances of one user.
type Deployment struct {
	// Versions has keys of the form name@version.
	Versions map[string]VersionSpec `json:"versions"`
	Engines  []EngineSpec           `json:"engines"`
	Services []ServiceSpec          `json:"services"`
	Entries  []EntrySpec            `json:"entries"`
}

// VersionSpec describes a model version as it really is.
type VersionSpec struct {
	// Quality is the share of good answers, from 0 to 1.
	Quality float64 `json:"quality"`
	// WeightBytes is the size of the weights.
	WeightBytes int64 `json:"weightBytes"`
}

// Place is where instances run.
type Location struct {
	Zone   string `json:"zone"`
	Region string `json:"region"`
}

// EngineSpec describes Count equal engines.
type EngineSpec struct {
	// ID is the id of a single engine, or what the ids of several start with.
	ID string `json:"id"`
	Location
	// Count is the number of engines; 0 means 1. They get the ids ID-1, ID-2
	// and so on.
	Count    int      `json:"count,omitempty"`
	Versions []string `json:"versions"`
	// TokenMs is the time per generated token, PromptMs that per 1000 prompt
	// tokens that are not cached.
	TokenMs  kcclock.Millis `json:"tokenMs"`
	PromptMs kcclock.Millis `json:"promptMs,omitempty"`
	// Slots is the number of requests that run at once; 0 means no bound.
	Slots         int `json:"slots,omitempty"`
	CachePrefixes int `json:"cachePrefixes,omitempty"`
	// IgnoresFence is true for engines that take orders with an old fencing
	// number.
	IgnoresFence bool `json:"ignoresFence,omitempty"`
}

// ServiceSpec describes Count equal instances of a plain service.
type ServiceSpec struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Location
	Count     int            `json:"count,omitempty"`
	LatencyMs kcclock.Millis `json:"latencyMs,omitempty"`
}

// EntrySpec describes an entry instance, which the platform only lists.
type EntrySpec struct {
	ID string `json:"id"`
	Location
	// Peer is the IP:port of the peer listener.
	PeerAddr string `json:"peer"`
}

// DemoDeployment returns the deployment of the demo.
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

// check returns an error if an id is used twice or an engine serves a version
// that is not described.
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

// instanceIDs returns the ids of count equal instances.
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
