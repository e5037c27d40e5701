// Package examples_test checks the example settings.
package examples_test

import (
	"maps"
	"path/filepath"
	"testing"

	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/internal/kcsettings"
	"github.com/kingcuprail/kingcuprail/internal/kcstandin"
)

// Guards against examples that the programs reject, that are inconsistent with
// each other, or that differ in size from the deployments in docs/design.md.
func TestExamples(t *testing.T) {
	for dir, entries := range map[string]int{"harvest-table": 9, "boiler-authority": 8} {
		t.Run(dir, func(t *testing.T) {
			d, err := kcstandin.ReadDeployment(filepath.Join(dir, "deployment.jsonc"))
			if err != nil {
				t.Fatal(err)
			}
			zones, overlays, rules := kcset.New[string](), 0, kcrules.Rules{}
			files, err := filepath.Glob(filepath.Join(dir, "*.jsonc"))
			if err != nil {
				t.Fatal(err)
			}
			for _, file := range files {
				switch filepath.Base(file) {
				case "deployment.jsonc":
				case "base.jsonc":
					doc, problems := kcsettings.Read(file)
					if problems = problems.WithoutMissingOverlayValues(); len(problems) > 0 {
						t.Error(problems)
					}
					rules = doc.Settings.Rules
				default:
					set, err := kcsettings.Load(file)
					if err != nil {
						t.Fatal(err)
					}
					checkInstanceListed(t, set.Instance, d)
					zones.Add(set.Instance.Zone)
					overlays++
				}
			}
			if len(zones) != 3 || overlays != 3 || len(d.Entries) != entries {
				t.Errorf("%d availability zones, %d overlays, %d entry instances", len(zones), overlays, len(d.Entries))
			}
			checkUpstreams(t, rules, d, zones)
		})
	}
}

// checkInstanceListed checks that the deployment lists the instance of an overlay
// with the same availability zone, region and peer address.
func checkInstanceListed(t *testing.T, i kcsettings.Instance, d kcstandin.Deployment) {
	t.Helper()
	for _, e := range d.Entries {
		if e.ID == i.ID && e.Zone == i.Zone && e.Region == i.Region && e.PeerAddr == i.Peer {
			return
		}
	}
	t.Errorf("the deployment does not list instance %+v", i)
}

// checkUpstreams checks that each service and each version that is not withdrawn
// has upstreams in exactly the availability zones of the overlays. It also checks
// the number of runners and workspaces.
func checkUpstreams(t *testing.T, rules kcrules.Rules, d kcstandin.Deployment, zones kcset.Set[string]) {
	t.Helper()
	served, runners := make(map[string]kcset.Set[string]), 0
	addZone := func(name, zone string) {
		if served[name] == nil {
			served[name] = kcset.New[string]()
		}
		served[name].Add(zone)
	}
	for _, e := range d.Engines {
		runners += max(e.Count, 1)
		for _, v := range e.Versions {
			addZone(v, e.Zone)
		}
	}
	for _, s := range d.Services {
		addZone(s.Service, s.Zone)
	}
	for key, v := range rules.Versions {
		if v.State != kcrules.Withdrawn && !maps.Equal(served[key], zones) {
			t.Errorf("version %s is served in %v, want %v", key, kcset.Sorted(served[key]), kcset.Sorted(zones))
		}
	}
	for name := range rules.Services {
		if !maps.Equal(served[name], zones) {
			t.Errorf("service %s runs in %v, want %v", name, kcset.Sorted(served[name]), kcset.Sorted(zones))
		}
	}
	if runners != 12 || len(rules.Workspaces) != 10 {
		t.Errorf("%d runners and %d workspaces", runners, len(rules.Workspaces))
	}
}
