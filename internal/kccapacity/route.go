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

// rulesOf returns rules with the versions of the target and some workspaces.
func rulesOf(workspaces int) kcrules.Rules {
	r := kcrules.Rules{
		Versions:   make(map[string]kcrules.Version),
		Workspaces: make(map[string]kcrules.Workspace),
	}
	w := kcrules.Workspace{
		QualityTarget: map[kcrules.Class]float64{kcrules.DefaultClass: 0.85},
	}
	for n := range versions {
		r.Versions[versionName(n)] = kcrules.Version{
			State: kcrules.Active, Quality: map[kcrules.Class]float64{kcrules.DefaultClass: 0.8 + float64(n)/50},
			InputPrice: int64(n + 1), OutputPrice: int64(3 * (n + 1)), TokenMillis: 10,
		}
		w.Allow = append(w.Allow, versionName(n))
	}
	for n := range workspaces {
		w.KeyHashes = []string{kcentry.HashAPIKey(workspaceName(n))}
		r.Workspaces[workspaceName(n)] = w
	}
	return r
}

// pools returns a pool for each version over runners with some load.
func pools(size int) map[string]*kcroute.Pool {
	members := make(map[string][]kcroute.Upstream)
	for n, m := range runners(size) {
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

// measureRoute measures the choice of a version among all versions and of a
// runner among those of the version.
func measureRoute(_ context.Context, r *Report) error {
	rules := rulesOf(1)
	for _, n := range runnerSizes {
		size, byVersion := float64(n), pools(n)
		view := kcroute.View{
			Catalog: kcroute.NewCatalog(&rules),
			Wait: func(version string) (kcclock.Millis, bool) {
				p, ok := byVersion[version]
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
		r.cost("route.pick", ofRunners, size, 2000, func() { _ = kcroute.ChoosePlan(0, req, view) })
		r.cost("route.catalog", ofRunners, size, 500, func() { _ = kcroute.NewCatalog(&rules) })
		pool, m := byVersion[versionName(0)], runner(0)
		least := kcroute.Placement{Zone: m.Zone, Region: m.Region, Exclude: -1}
		r.cost("route.place.load", ofRunners, size, 2000, func() { _ = kcroute.ChooseUpstream(pool, least, nil) })
		prefix := least
		prefix.Prefixes = []uint64{1, 2, 3, 4}
		r.cost("route.place.prefix", ofRunners, size, 2000, func() { _ = kcroute.ChooseUpstream(pool, prefix, nil) })
	}
	return nil
}
