package kcreplay

import (
	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const defaultClass = kcrules.DefaultClass

// version returns an active version. slack is the ratio of the declared time
// per token to the step of an empty batch.
func version(input, output int64, stepMs float64, quality map[kcrules.Class]float64) kcrules.Version {
	const slack = 1.5
	return kcrules.Version{
		State: kcrules.Active, Quality: quality, InputPrice: input, OutputPrice: output, TokenMillis: stepMs * slack,
	}
}

// Steps of decoding in milliseconds with an empty batch.
const (
	smallStep = 8
	midStep   = 20
	largeStep = 45
)

// harvest is the crew meal router: menu plans that are due before noon, quick
// menu changes, dinner orders and route lookups.
func harvest() deployment {
	const menu, change = "menu", "menuChange"
	small := map[kcrules.Class]float64{defaultClass: 0.8, menu: 0.8, change: 0.88}
	mid := map[kcrules.Class]float64{defaultClass: 0.9, menu: 0.9, change: 0.94}
	large := map[kcrules.Class]float64{defaultClass: 0.97, menu: 0.97, change: 0.98}
	return deployment{
		prefix: "menu", clientMs: 3, service: "service/orders",
		versions: map[string]kcrules.Version{
			"menu-small@1": version(1, 3, smallStep, small),
			"menu-mid@1":   version(3, 9, midStep, mid),
			"menu-mid@2":   version(3, 9, midStep, mid),
			"menu-large@1": version(8, 24, largeStep, large),
		},
		quality: map[string]map[kcrules.Class]float64{
			"menu-small@1": small, "menu-mid@1": mid, "menu-mid@2": mid, "menu-large@1": large,
		},
		targets: map[kcrules.Class]float64{defaultClass: 0.88, menu: 0.88, change: 0.86},
		workloads: []workload{
			{class: menu, perSecond: 0.8, peak: 2, prompt: 1500, output: 400, wait: 10 * kcclock.Minute, due: 0.9, sessions: 0.15},
			{class: change, perSecond: 0.2, peak: 2, prompt: 800, output: 120, wait: 30 * kcclock.Second, sessions: 0.3},
			{class: "lookup", perSecond: 0.8, peak: 2.5, wait: 2 * kcclock.Second, service: "service/orders"},
			{class: "order", perSecond: 0.1, peak: 3, wait: 10 * kcclock.Second, service: "service/orders", once: true},
		},
		exposure: []float64{0.5, 0.5, 0.5, 0.5, 0.2, 0.2, 0.2, 0.1, 0, 0},
	}
}

// registry is the ticket assessment router: drafts, summaries and
// classifications of defect notes, ticket issuances and status queries.
func registry() deployment {
	const draft, summary, classify = "draft", "summary", "classify"
	small := map[kcrules.Class]float64{defaultClass: 0.7, draft: 0.62, summary: 0.82, classify: 0.93}
	mid := map[kcrules.Class]float64{defaultClass: 0.85, draft: 0.86, summary: 0.92, classify: 0.96}
	large := map[kcrules.Class]float64{defaultClass: 0.96, draft: 0.96, summary: 0.97, classify: 0.99}
	return deployment{
		prefix: "draft", clientMs: 1, service: "service/registry",
		versions: map[string]kcrules.Version{
			"draft-small@1": version(1, 3, smallStep, small),
			"draft-mid@1":   version(3, 9, midStep, mid),
			"draft-mid@2":   version(3, 9, midStep, mid),
			"draft-large@1": version(8, 24, largeStep, large),
		},
		quality: map[string]map[kcrules.Class]float64{
			"draft-small@1": small, "draft-mid@1": mid, "draft-mid@2": mid, "draft-large@1": large,
		},
		targets: map[kcrules.Class]float64{defaultClass: 0.88, draft: 0.9, summary: 0.88, classify: 0.9},
		workloads: []workload{
			{class: draft, perSecond: 0.4, peak: 2, prompt: 5000, output: 500, wait: 15 * kcclock.Minute, sessions: 0.1},
			{class: summary, perSecond: 0.3, peak: 2, prompt: 3000, output: 250, wait: 10 * kcclock.Minute, sessions: 0.1},
			{class: classify, perSecond: 0.5, peak: 2, prompt: 300, output: 12, wait: 8 * kcclock.Second},
			{class: "status", perSecond: 0.8, peak: 2, wait: 2 * kcclock.Second, service: "service/registry"},
			{class: "issue", perSecond: 0.05, peak: 2, wait: 10 * kcclock.Second, service: "service/registry", once: true},
		},
		exposure: []float64{0.25, 0.25, 0.25, 0.1, 0.1, 0.1, 0.05, 0.05, 0, 0},
	}
}

// requestLimit is the limit of a workspace relative to its mean rate. It
// leaves room for the peak and stops a flood.
const requestLimit = 5

func (d *deployment) rules() kcrules.Rules {
	total := 0.0
	for _, w := range d.workloads {
		total += w.perSecond
	}
	rules := kcrules.Rules{
		Versions: d.versions, Workspaces: make(map[string]kcrules.Workspace),
		Rollouts: map[string]kcrules.Rollout{d.prefix + "-mid": {
			From: d.prefix + "-mid@1", To: d.prefix + "-mid@2", Stages: []float64{0.02, 0.1, 0.25, 0.5, 1},
		}},
		PriceList: kcrules.PriceList{Steps: []kcrules.PriceStep{
			{MinWaitMs: 0, Factor: 1.5}, {MinWaitMs: 10 * kcclock.Second, Factor: 1}, {MinWaitMs: 10 * kcclock.Minute, Factor: 0.6},
		}},
	}
	for i, part := range workspaceParts {
		rules.Workspaces[workspaceName(i)] = kcrules.Workspace{
			Allow:         []string{d.prefix + "-small", d.prefix + "-mid", d.prefix + "-large"},
			QualityTarget: d.targets, Weight: part * 10, MaxRolloutShare: d.exposure[i],
			RequestsPerSecond: max(total*part*requestLimit, 1),
		}
	}
	return rules
}

func (d *deployment) world() Environment {
	a, b, c := Location{"zone-a", "region-1"}, Location{"zone-b", "region-1"}, Location{"zone-c", "region-2"}
	w := Environment{
		EntryInstances: []Location{a, a, a, b, b, b, c, c}, Quality: d.quality,
		CheckDetectionRate: 0.6, CheckFalsePositiveRate: 0.03, RatedShare: 0.3, RatingDelayMs: kcclock.Minute,
		LoadReportDelayMs: 400, CacheEventLossShare: 0.1, ClientDelayMs: d.clientMs,
	}
	add := func(stepMs float64, sites []Location, serves ...string) {
		for _, site := range sites {
			w.Upstreams = append(w.Upstreams, Upstream{
				Location: site, Serves: serves, Slots: 16, DecodeStepMs: stepMs, MaxCachedPrefixes: 60,
			})
		}
	}
	add(smallStep, []Location{a, b, c}, d.prefix+"-small@1")
	add(midStep, []Location{a, a, b, c}, d.prefix+"-mid@1", d.prefix+"-mid@2")
	add(largeStep, []Location{a, a, b, b, c}, d.prefix+"-large@1")
	const callMs = 6
	for _, site := range []Location{a, b, c} {
		w.Upstreams = append(w.Upstreams, Upstream{Location: site, Serves: []string{d.service}, Slots: 8, DecodeStepMs: callMs})
	}
	return w
}
