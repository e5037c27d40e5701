package kcreplay

import (
	"maps"
	"slices"

	"github.com/kingcuprail/kingcuprail/internal/kcrollout"
	"github.com/kingcuprail/kingcuprail/internal/kcroute"
	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// minStageDuration and minStageRatings are the minimum duration and number of
	// ratings of each stage of a rollout.
	minStageDuration = 10 * kcclock.Minute
	minStageRatings  = 30
	// canaryWindow is the interval between two checks of the fixed canary. Above
	// canaryBadShareMargin, the increase of the share of bad ratings stops the
	// rollout. The canary goes from canaryTrafficShare to all traffic after the
	// first window without a stop.
	canaryWindow         = kcclock.Hour
	canaryBadShareMargin = 0.1
	canaryTrafficShare   = 0.1
)

// rollouts runs the rollouts of a simulation. The instances of one region share
// one controller here, because they see the same evidence.
type rollouts struct {
	sim     *sim
	regions map[string]*regionRollout
	// localEvidence holds the counts that each instance recorded itself. They are
	// merged into the evidence of the regions at each peer exchange.
	localEvidence map[string]*kcrollout.Evidence
	// canaryWindowEnd is the end of the current window of the fixed canary.
	// canaryStartEvidence is the evidence on the new versions at its start.
	canaryWindowEnd     kcclock.Millis
	canaryStartEvidence map[string]kcrollout.Strata
}

type regionRollout struct {
	evidence   *kcrollout.Evidence
	controller *kcrollout.Controller
}

func newRollouts(s *sim) *rollouts {
	ro := &rollouts{sim: s, regions: make(map[string]*regionRollout), localEvidence: make(map[string]*kcrollout.Evidence)}
	for _, n := range s.instances {
		ro.localEvidence[n.id] = kcrollout.NewEvidence()
		if ro.regions[n.location.Region] == nil {
			ro.regions[n.location.Region] = &regionRollout{
				evidence: kcrollout.NewEvidence(),
				controller: kcrollout.NewController(kcrollout.ControllerOptions{
					MinStageMs: minStageDuration, MinStageRatings: minStageRatings, Publish: ro.publish,
				}),
			}
		}
	}
	ro.canaryWindowEnd = canaryWindow
	ro.canaryStartEvidence = make(map[string]kcrollout.Strata)
	if !s.policy.sequentialTest {
		ro.startCanaries()
	}
	return ro
}

func (ro *rollouts) recordSignal(n *entryInstance, arm kcrollout.Arm, sig kcrollout.Signal, bad bool) {
	ro.localEvidence[n.id].Add(n.id, arm, sig, bad)
}

// effectiveRollouts returns a lookup of the rollouts as the instances of region
// apply them, including local stops of the controller of the region.
func (ro *rollouts) effectiveRollouts(region string) func(model string) (kcrules.Rollout, bool) {
	return func(model string) (kcrules.Rollout, bool) {
		r, ok := ro.sim.rules.Rollouts[model]
		if !ok {
			return r, false
		}
		return ro.regions[region].controller.EffectiveRollout(model, ro.activeRollout(r)), true
	}
}

func (ro *rollouts) activeRollout(r kcrules.Rollout) kcrollout.ActiveRollout {
	return kcrollout.ActiveRollout{Rollout: r, Revision: ro.sim.revision}
}

// allows reports whether the current stages of the rollouts let the request run on
// version.
func (ro *rollouts) allows(region string, req kcroute.Request, version string) bool {
	for model := range ro.sim.rules.Rollouts {
		r, _ := ro.effectiveRollouts(region)(model)
		if r.To != version && r.From != version {
			continue
		}
		return (r.To == version) == kcrollout.Exposed(r, req.Workspace, req.ID)
	}
	return true
}

// evaluate merges the evidence of the reachable instances and evaluates all
// rollouts. Only the region of the first instance advances stages, and only while
// the controller is not stuck.
func (ro *rollouts) evaluate() {
	for region, reg := range ro.regions {
		for _, n := range ro.sim.instances {
			if !ro.sim.partitioned || n.location.Region == region {
				reg.evidence.Merge(ro.localEvidence[n.id])
			}
		}
	}
	if !ro.sim.policy.sequentialTest {
		ro.evaluateCanary()
		return
	}
	leaderRegion := ro.sim.instances[0].location.Region
	for _, region := range slices.Sorted(maps.Keys(ro.regions)) {
		reg := ro.regions[region]
		for _, model := range slices.Sorted(maps.Keys(ro.sim.rules.Rollouts)) {
			reg.controller.Evaluate(ro.sim.now, model, ro.activeRollout(ro.sim.rules.Rollouts[model]), reg.evidence,
				region == leaderRegion && !ro.sim.rolloutStuck)
			if reg.controller.StopReason(model) != "" {
				ro.sim.recordRolloutStop()
			}
		}
	}
}

// publish applies a changed rollout after publishDelay. It drops the change if the
// log is down or the rules have a newer revision.
func (ro *rollouts) publish(model string, revision int64, changed kcrules.Rollout) {
	s := ro.sim
	if s.storeDown || s.revision != revision {
		return
	}
	rules := *s.rules
	rules.Rollouts = maps.Clone(rules.Rollouts)
	rules.Rollouts[model] = changed
	s.after(publishDelay, func() {
		if s.revision == revision {
			s.setRules(&rules)
		}
	})
}

func (s *sim) recordRolloutStop() {
	if s.rolloutStoppedAt < 0 {
		s.rolloutStoppedAt = s.now
	}
}

// startCanaries sets every rollout to the traffic share of the fixed canary.
func (ro *rollouts) startCanaries() {
	rules := *ro.sim.rules
	rules.Rollouts = maps.Clone(rules.Rollouts)
	for model, r := range rules.Rollouts {
		r.Stages, r.StageIndex = []float64{canaryTrafficShare, 1}, 0
		rules.Rollouts[model] = r
	}
	ro.sim.setRules(&rules)
}

// evaluateCanary compares the shares of bad ratings of both versions at the end of
// a window.
func (ro *rollouts) evaluateCanary() {
	s := ro.sim
	if s.now < ro.canaryWindowEnd {
		return
	}
	ro.canaryWindowEnd += canaryWindow
	evidence := ro.regions[s.instances[0].location.Region].evidence
	for _, model := range slices.Sorted(maps.Keys(s.rules.Rollouts)) {
		r := s.rules.Rollouts[model]
		if r.Stopped {
			continue
		}
		to := evidence.Pooled(r.To)
		increase := badShareIncrease(to, ro.canaryStartEvidence[r.To], evidence.Pooled(r.From))
		ro.canaryStartEvidence[r.To] = to
		if increase > canaryBadShareMargin {
			r.Stopped, r.Reason = true, "fixed canary"
			s.recordRolloutStop()
		} else if r.StageIndex == 0 && !s.rolloutStuck {
			r.StageIndex = 1
		}
		ro.publish(model, s.revision, r)
	}
}

// badShareIncrease returns how much the share of bad ratings of the new version in
// the last window exceeds that of the old version over the whole run. It is the
// mean over the strata, weighted by the number of ratings of the new version.
func badShareIncrease(to, before, from kcrollout.Strata) float64 {
	var sum, total float64
	for stratum, t := range to {
		n := t.Minus(before[stratum])[kcrollout.BadRating]
		old := from[stratum][kcrollout.BadRating]
		if n.Total == 0 || old.Total == 0 {
			continue
		}
		sum += float64(n.Bad) - float64(n.Total)*float64(old.Bad)/float64(old.Total)
		total += float64(n.Total)
	}
	return sum / max(total, 1)
}
