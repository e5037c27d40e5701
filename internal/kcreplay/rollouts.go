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
	// minStageDuration and minStageRatings are the least of each stage of a roll-out.
	minStageDuration = 10 * kcclock.Minute
	minStageRatings  = 30
	// canaryWindow is the time between two checks of the fixed canary, and
	// canaryBadShareMargin the increase of the bad share from which it stops. It moves
	// to the full share after the first window without a stop.
	canaryWindow         = kcclock.Hour
	canaryBadShareMargin = 0.1
	canaryTrafficShare   = 0.1
)

// rollouts runs the roll-outs of a simulation. The instances of one region
// share one controller here, because they see the same evidence.
type rollouts struct {
	sim     *sim
	regions map[string]*regionRollout
	// own holds the counts of each instance until they are exchanged.
	localEvidence map[string]*kcrollout.Evidence
	// canaryWindowEnd is the end of the window of the fixed canary, canaryWindowStart the
	// evidence at its start.
	canaryWindowEnd   kcclock.Millis
	canaryWindowStart map[string]kcrollout.Strata
}

type regionRollout struct {
	evidence   *kcrollout.Evidence
	controller *kcrollout.Controller
}

func newRollouts(s *sim) *rollouts {
	ro := &rollouts{sim: s, regions: make(map[string]*regionRollout), localEvidence: make(map[string]*kcrollout.Evidence)}
	for _, n := range s.instances {
		ro.localEvidence[n.id] = kcrollout.NewEvidence()
		if ro.regions[n.site.Region] == nil {
			ro.regions[n.site.Region] = &regionRollout{
				evidence: kcrollout.NewEvidence(),
				controller: kcrollout.NewController(kcrollout.ControllerOptions{
					MinStageMs: minStageDuration, MinStageRatings: minStageRatings, Publish: ro.publish,
				}),
			}
		}
	}
	ro.canaryWindowEnd = canaryWindow
	ro.canaryWindowStart = make(map[string]kcrollout.Strata)
	if !s.policy.sequentialTest {
		ro.startCanaries()
	}
	return ro
}

func (ro *rollouts) recordSignal(n *entryInstance, arm kcrollout.Arm, sig kcrollout.Signal, bad bool) {
	ro.localEvidence[n.id].Add(n.id, arm, sig, bad)
}

// effectiveRollouts returns the roll-outs as the instances of region apply them.
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

// allows reports whether the request may run on version now.
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

func (ro *rollouts) evaluate() {
	for region, reg := range ro.regions {
		for _, n := range ro.sim.instances {
			if !ro.sim.partitioned || n.site.Region == region {
				reg.evidence.Merge(ro.localEvidence[n.id])
			}
		}
	}
	if !ro.sim.policy.sequentialTest {
		ro.evaluateCanary()
		return
	}
	lead := ro.sim.instances[0].site.Region
	for _, region := range slices.Sorted(maps.Keys(ro.regions)) {
		reg := ro.regions[region]
		for _, model := range slices.Sorted(maps.Keys(ro.sim.rules.Rollouts)) {
			reg.controller.Evaluate(ro.sim.now, model, ro.activeRollout(ro.sim.rules.Rollouts[model]), reg.evidence,
				region == lead && !ro.sim.rolloutStuck)
			if reg.controller.StopReason(model) != "" {
				ro.sim.recordRolloutStop()
			}
		}
	}
}

// publish puts a change into force if the log accepts it.
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

// startCanaries puts every roll-out at the share of the fixed canary.
func (ro *rollouts) startCanaries() {
	rules := *ro.sim.rules
	rules.Rollouts = maps.Clone(rules.Rollouts)
	for model, r := range rules.Rollouts {
		r.Stages, r.Stage = []float64{canaryTrafficShare, 1}, 0
		rules.Rollouts[model] = r
	}
	ro.sim.setRules(&rules)
}

// canary compares the bad shares of both versions in the last window.
func (ro *rollouts) evaluateCanary() {
	s := ro.sim
	if s.now < ro.canaryWindowEnd {
		return
	}
	ro.canaryWindowEnd += canaryWindow
	evidence := ro.regions[s.instances[0].site.Region].evidence
	for _, model := range slices.Sorted(maps.Keys(s.rules.Rollouts)) {
		r := s.rules.Rollouts[model]
		if r.Stopped {
			continue
		}
		to := evidence.Pooled(r.To)
		worse := badShareIncrease(to, ro.canaryWindowStart[r.To], evidence.Pooled(r.From))
		ro.canaryWindowStart[r.To] = to
		if worse > canaryBadShareMargin {
			r.Stopped, r.Reason = true, "fixed canary"
			s.recordRolloutStop()
		} else if r.Stage == 0 && !s.rolloutStuck {
			r.Stage = 1
		}
		ro.publish(model, s.revision, r)
	}
}

// increase returns the mean increase of the bad share of the new version in
// the last window over the old version, weighted by stratum.
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
