// Package kcwarmup holds what keeps requests away from upstreams that cannot take
// them yet or any more, although they are not failed: the rates of cold upstreams,
// and evacuated availability zones.
package kcwarmup

import "github.com/kingcuprail/kingcuprail/internal/kcset"

// maxZones bounds the evacuated zones. It is far above the number of availability zones of a deployment.
const maxZones = 1024

// Evacuation says that an availability zone is evacuated, or no longer is.
type Evacuation struct {
	Zone   string
	Active bool
}

// Zones holds the evacuated availability zones. The zero value holds none. It is not
// safe for concurrent use.
type Zones struct{ evacuated kcset.Set[string] }

// Apply applies records in their order and returns the changes. If snapshot is true,
// evacuations that are not among them have ended.
func (z *Zones) Apply(records []Evacuation, snapshot bool) (changes []Evacuation) {
	if z.evacuated == nil {
		z.evacuated = kcset.New[string]()
	}
	if snapshot {
		named := kcset.New[string]()
		for _, r := range records {
			named.Add(r.Zone)
		}
		for _, zone := range kcset.Sorted(z.evacuated) {
			if !named.Has(zone) {
				records = append(records, Evacuation{Zone: zone})
			}
		}
	}
	for _, r := range records {
		if z.evacuated.Has(r.Zone) == r.Active || r.Active && len(z.evacuated) >= maxZones {
			continue
		}
		if r.Active {
			z.evacuated.Add(r.Zone)
		} else {
			z.evacuated.Remove(r.Zone)
		}
		changes = append(changes, r)
	}
	return changes
}

// Evacuated reports whether a zone is evacuated.
func (z *Zones) Evacuated(zone string) bool { return z.evacuated.Has(zone) }
