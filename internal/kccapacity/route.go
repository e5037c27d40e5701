package kccapacity

import (
	"context"
	"fmt"

	"github.com/kingcuprail/kingcuprail/internal/kcchat"
	"github.com/kingcuprail/kingcuprail/internal/kcentry"
	"github.com/kingcuprail/kingcuprail/internal/kcroute"
	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// newRules returns rules with the number of versions of the target and the given
// number of workspaces.
func newRules(workspaces int) kcrules.Rules {
	r := kcrules.Rules{
		Versions:   make(map[string]kcrules.Version),
		Workspaces: make(map[string]kcrules.Workspace),
	}
	w := kcrules.Workspace{
		QualityTarget: map[kcrules.Class]float64{kcrules.DefaultClass: 0.85},
	}
	for n := range targetVersionCount {
		r.Versions[versionName(n)] = kcrules.Version{
			State: kcrules.Active, Quality: map[kcrules.Class]float64{kcrules.DefaultClass: 0.8 + float64(n)/50},
			InputPrice: int64(n + 1), OutputPrice: int64(3 * (n + 1)), TokenMillis: 10,
		}
		w.AllowedModels = append(w.AllowedModels, versionName(n))
	}
	for n := range workspaces {
		w.KeyHashes = []string{kcentry.HashAPIKey(workspaceName(n))}
		r.Workspaces[workspaceName(n)] = w
	}
	return r
}

// poolsByVersion distributes size runners with different loads over one pool for
// each version.
func poolsByVersion(size int) map[string]*kcroute.Pool {
	members := make(map[string][]kcroute.Upstream)
	for n, m := range runnerMembers(size) {
		members[m.Versions[0]] = append(members[m.Versions[0]], kcroute.Upstream{
			ID: m.ID, Zone: m.Zone, Region: m.Region, Slots: 64, Load: n % 40,
		})
	}
	out := make(map[string]*kcroute.Pool)
	for version, r := range members {
		out[version] = kcroute.NewPool(r, 3*kcclock.Second)
	}
	return out
}

// measureRoute measures the choice of a version for a request, the choice of a
// runner among those of a version, and building the catalog.
func measureRoute(_ context.Context, r *Report) error {
	rules := newRules(1)
	for _, n := range runnerCounts {
		size, pools := float64(n), poolsByVersion(n)
		view := kcroute.View{
			Catalog: kcroute.NewCatalog(&rules),
			Wait: func(version string) (kcclock.Millis, bool) {
				p, ok := pools[version]
				return p.ExpectedWait(), ok && p.Live > 0
			},
		}
		req := kcroute.Request{
			ID: "request", Workspace: rules.Workspaces[workspaceName(0)], Class: kcrules.DefaultClass, Model: kcchat.ModelAuto,
			PromptTokens: 800, OutputTokens: 270, Deadline: kcclock.Minute,
		}
		if choice := kcroute.ChoosePlan(0, req, view); choice.Version == "" {
			return fmt.Errorf("no version was chosen: %s", choice.Code)
		}
		r.measureCalls("route.pick", variableRunners, size, 2000, func() { _ = kcroute.ChoosePlan(0, req, view) })
		r.measureCalls("route.catalog", variableRunners, size, 500, func() { _ = kcroute.NewCatalog(&rules) })
		pool, m := pools[versionName(0)], runnerMember(0)
		placement := kcroute.Placement{Zone: m.Zone, Region: m.Region, Exclude: -1}
		r.measureCalls("route.place.load", variableRunners, size, 2000, func() { _ = kcroute.ChooseUpstream(pool, placement, nil) })
		prefixPlacement := placement
		prefixPlacement.Prefixes = []uint64{1, 2, 3, 4}
		r.measureCalls("route.place.prefix", variableRunners, size, 2000, func() {
			_ = kcroute.ChooseUpstream(pool, prefixPlacement, nil)
		})
	}
	return nil
}
