package kctable

import (
	"slices"
	"strings"

	"github.com/kingcuprail/kingcuprail/internal/kcset"
)

// Regions are the regions whose upstreams may run a request. An empty list allows
// all.
type Regions []string

// NewRegions returns the regions of a list without order or duplicates.
func NewRegions(names ...string) Regions {
	list := slices.Clone(names)
	slices.Sort(list)
	return slices.Compact(list)
}

// Allow reports whether upstreams of a region may run a request. A region that is
// not known, which is empty, is only allowed if all are.
func (r Regions) Allow(region string) bool {
	return len(r) == 0 || region != "" && slices.Contains(r, region)
}

// Intersect returns the regions that both lists allow. ok is false if there are
// none.
func (r Regions) Intersect(other Regions) (both Regions, ok bool) {
	switch {
	case len(r) == 0:
		return other, true
	case len(other) == 0:
		return r, true
	}
	for _, name := range r {
		if slices.Contains(other, name) {
			both = append(both, name)
		}
	}
	return both, len(both) > 0
}

// Key returns a string that identifies the regions. It is empty if all are allowed.
func (r Regions) Key() string { return strings.Join(r, "\x00") }

// UnknownRegions returns the regions that routes and workspaces name and that no
// availability zone is in. zones holds the region of each zone.
func (t *Table) UnknownRegions(zones map[string]string) []string {
	known, unknown := kcset.New[string](), kcset.New[string]()
	for _, region := range zones {
		known.Add(region)
	}
	add := func(r Regions) {
		for _, name := range r {
			if !known.Has(name) {
				unknown.Add(name)
			}
		}
	}
	for _, list := range t.Routes {
		for _, r := range list {
			add(r.Regions)
		}
	}
	for _, ws := range t.Workspaces {
		add(ws.Regions)
	}
	return kcset.Sorted(unknown)
}
