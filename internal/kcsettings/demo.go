package kcsettings

import (
	"crypto/rand"

	"github.com/kingcuprail/kingcuprail/internal/kcentry"
	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/internal/kcsession"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// DemoAPIKey is the API key of the demo's only workspace.
const DemoAPIKey = "demo-key"

// DemoSessionKeys returns one random session key, which is lost when the process
// ends.
func DemoSessionKeys() []kcsession.Key {
	return []kcsession.Key{{ID: "demo", Secret: rand.Text() + rand.Text()}}
}

// DemoRules returns the rules of the demo: a small and a large model, and the
// plain service "orders".
func DemoRules() kcrules.Rules {
	return kcrules.Rules{
		Versions: map[string]kcrules.Version{
			"small@1": {
				State: kcrules.Active, Quality: map[kcrules.Class]float64{kcrules.DefaultClass: 0.8},
				InputPrice: 1, OutputPrice: 3, TokenMillis: 5,
			},
			"large@1": {
				State: kcrules.Active, Quality: map[kcrules.Class]float64{kcrules.DefaultClass: 0.97},
				InputPrice: 8, OutputPrice: 24, TokenMillis: 20,
			},
		},
		Workspaces: map[string]kcrules.Workspace{"demo": {
			KeyHashes: []string{kcentry.HashAPIKey(DemoAPIKey)}, AllowedModels: []string{"small", "large"},
			QualityTarget: map[kcrules.Class]float64{kcrules.DefaultClass: 0.75},
		}},
		Services: map[string]kcrules.Service{"orders": {Operations: map[string]kcrules.Operation{
			"place": {Price: 100}, "lookup": {Idempotent: true, Price: 1},
		}}},
		PriceList: kcrules.PriceList{Currency: "USD", Steps: []kcrules.PriceStep{
			{MinWaitMs: 0, Factor: 1.5},
			{MinWaitMs: 10 * kcclock.Second, Factor: 1},
			{MinWaitMs: 10 * kcclock.Minute, Factor: 0.6},
		}},
	}
}
