package kcreplay

import (
	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const defaultClass = kcrules.DefaultClass

// activeVersion returns an active version. declaredTimeRatio is the ratio of the
// declared time per token to the decoding step of an empty batch.
func activeVersion(input, output int64, decodeStepMs float64, quality map[kcrules.Class]float64) kcrules.Version {
	const declaredTimeRatio = 1.5
	return kcrules.Version{
		State: kcrules.Active, Quality: quality, InputPrice: input, OutputPrice: output, TokenMillis: decodeStepMs * declaredTimeRatio,
	}
}

// Durations of one decoding step in milliseconds with an empty batch.
const (
	smallDecodeStepMs = 8
	midDecodeStepMs   = 20
	largeDecodeStepMs = 45
)

// harvestDeployment returns the crew meal router: menu plans with a deadline
// before noon, menu changes with a short deadline, dinner orders and route
// lookups.
func harvestDeployment() deployment {
	const menu, change = "menu", "menuChange"
	small := map[kcrules.Class]float64{defaultClass: 0.8, menu: 0.8, change: 0.88}
	mid := map[kcrules.Class]float64{defaultClass: 0.9, menu: 0.9, change: 0.94}
	large := map[kcrules.Class]float64{defaultClass: 0.97, menu: 0.97, change: 0.98}
	return deployment{
		modelPrefix: "menu", clientDelayMs: 3, service: "service/orders",
		versions: map[string]kcrules.Version{
			"menu-small@1": activeVersion(1, 3, smallDecodeStepMs, small),
			"menu-mid@1":   activeVersion(3, 9, midDecodeStepMs, mid),
			"menu-mid@2":   activeVersion(3, 9, midDecodeStepMs, mid),
			"menu-large@1": activeVersion(8, 24, largeDecodeStepMs, large),
		},
		quality: map[string]map[kcrules.Class]float64{
			"menu-small@1": small, "menu-mid@1": mid, "menu-mid@2": mid, "menu-large@1": large,
		},
		qualityTargets: map[kcrules.Class]float64{defaultClass: 0.88, menu: 0.88, change: 0.86},
		workloads: []workload{
			{
				class: menu, requestsPerSecond: 0.8, peakFactor: 2,
				meanPromptTokens: 1500, meanOutputTokens: 400, maxWait: 10 * kcclock.Minute, dueAtDayShare: 0.9, sessionShare: 0.15,
			},
			{
				class: change, requestsPerSecond: 0.2, peakFactor: 2,
				meanPromptTokens: 800, meanOutputTokens: 120, maxWait: 30 * kcclock.Second, sessionShare: 0.3,
			},
			{
				class: "lookup", requestsPerSecond: 0.8, peakFactor: 2.5,
				maxWait: 2 * kcclock.Second, service: "service/orders",
			},
			{
				class: "order", requestsPerSecond: 0.1, peakFactor: 3,
				maxWait: 10 * kcclock.Second, service: "service/orders", nonIdempotent: true,
			},
		},
		maxRolloutShares: []float64{0.5, 0.5, 0.5, 0.5, 0.2, 0.2, 0.2, 0.1, 0, 0},
	}
}

// registryDeployment returns the ticket assessment router: drafts, summaries and
// classifications of defect notes, ticket issuances and status queries.
func registryDeployment() deployment {
	const draft, summary, classify = "draft", "summary", "classify"
	small := map[kcrules.Class]float64{defaultClass: 0.7, draft: 0.62, summary: 0.82, classify: 0.93}
	mid := map[kcrules.Class]float64{defaultClass: 0.85, draft: 0.86, summary: 0.92, classify: 0.96}
	large := map[kcrules.Class]float64{defaultClass: 0.96, draft: 0.96, summary: 0.97, classify: 0.99}
	return deployment{
		modelPrefix: "draft", clientDelayMs: 1, service: "service/registry",
		versions: map[string]kcrules.Version{
			"draft-small@1": activeVersion(1, 3, smallDecodeStepMs, small),
			"draft-mid@1":   activeVersion(3, 9, midDecodeStepMs, mid),
			"draft-mid@2":   activeVersion(3, 9, midDecodeStepMs, mid),
			"draft-large@1": activeVersion(8, 24, largeDecodeStepMs, large),
		},
		quality: map[string]map[kcrules.Class]float64{
			"draft-small@1": small, "draft-mid@1": mid, "draft-mid@2": mid, "draft-large@1": large,
		},
		qualityTargets: map[kcrules.Class]float64{defaultClass: 0.88, draft: 0.9, summary: 0.88, classify: 0.9},
		workloads: []workload{
			{
				class: draft, requestsPerSecond: 0.4, peakFactor: 2,
				meanPromptTokens: 5000, meanOutputTokens: 500, maxWait: 15 * kcclock.Minute, sessionShare: 0.1,
			},
			{
				class: summary, requestsPerSecond: 0.3, peakFactor: 2,
				meanPromptTokens: 3000, meanOutputTokens: 250, maxWait: 10 * kcclock.Minute, sessionShare: 0.1,
			},
			{
				class: classify, requestsPerSecond: 0.5, peakFactor: 2,
				meanPromptTokens: 300, meanOutputTokens: 12, maxWait: 8 * kcclock.Second,
			},
			{
				class: "status", requestsPerSecond: 0.8, peakFactor: 2,
				maxWait: 2 * kcclock.Second, service: "service/registry",
			},
			{
				class: "issue", requestsPerSecond: 0.05, peakFactor: 2,
				maxWait: 10 * kcclock.Second, service: "service/registry", nonIdempotent: true,
			},
		},
		maxRolloutShares: []float64{0.25, 0.25, 0.25, 0.1, 0.1, 0.1, 0.05, 0.05, 0, 0},
	}
}

// requestLimitFactor is the ratio of a workspace's rate limit to its mean request
// rate. It allows the daily peak and rejects the excess of a flood.
const requestLimitFactor = 5

func (d *deployment) rules() kcrules.Rules {
	total := 0.0
	for _, w := range d.workloads {
		total += w.requestsPerSecond
	}
	rules := kcrules.Rules{
		Versions: d.versions, Workspaces: make(map[string]kcrules.Workspace),
		Rollouts: map[string]kcrules.Rollout{d.modelPrefix + "-mid": {
			From: d.modelPrefix + "-mid@1", To: d.modelPrefix + "-mid@2", Stages: []float64{0.02, 0.1, 0.25, 0.5, 1},
		}},
		PriceList: kcrules.PriceList{Steps: []kcrules.PriceStep{
			{MinWaitMs: 0, Factor: 1.5}, {MinWaitMs: 10 * kcclock.Second, Factor: 1}, {MinWaitMs: 10 * kcclock.Minute, Factor: 0.6},
		}},
	}
	for i, trafficShare := range workspaceTrafficShares {
		rules.Workspaces[workspaceName(i)] = kcrules.Workspace{
			AllowedModels: []string{d.modelPrefix + "-small", d.modelPrefix + "-mid", d.modelPrefix + "-large"},
			QualityTarget: d.qualityTargets, Weight: trafficShare * 10, MaxRolloutShare: d.maxRolloutShares[i],
			RequestsPerSecond: max(total*trafficShare*requestLimitFactor, 1),
		}
	}
	return rules
}

func (d *deployment) environment() Environment {
	a, b, c := Location{"zone-a", "region-1"}, Location{"zone-b", "region-1"}, Location{"zone-c", "region-2"}
	w := Environment{
		EntryInstances: []Location{a, a, a, b, b, b, c, c}, Quality: d.quality,
		CheckDetectionRate: 0.6, CheckFalsePositiveRate: 0.03, RatedShare: 0.3, RatingDelayMs: kcclock.Minute,
		LoadReportDelayMs: 400, CacheEventLossShare: 0.1, ClientDelayMs: d.clientDelayMs,
	}
	addUpstreams := func(stepMs float64, locations []Location, serves ...string) {
		for _, location := range locations {
			w.Upstreams = append(w.Upstreams, Upstream{
				Location: location, Serves: serves, Slots: 16, DecodeStepMs: stepMs, MaxCachedPrefixes: 60,
			})
		}
	}
	addUpstreams(smallDecodeStepMs, []Location{a, b, c}, d.modelPrefix+"-small@1")
	addUpstreams(midDecodeStepMs, []Location{a, a, b, c}, d.modelPrefix+"-mid@1", d.modelPrefix+"-mid@2")
	addUpstreams(largeDecodeStepMs, []Location{a, a, b, b, c}, d.modelPrefix+"-large@1")
	const callMs = 6
	for _, location := range []Location{a, b, c} {
		w.Upstreams = append(w.Upstreams, Upstream{Location: location, Serves: []string{d.service}, Slots: 8, DecodeStepMs: callMs})
	}
	return w
}
