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
	// stageTime and stageEvents are the least of each stage of a roll-out.
	stageTime   = 10 * kcclock.Minute
	stageEvents = 30
	// canaryWindow is the time between two checks of the fixed canary, and
	// canaryMargin the increase of the bad share from which it stops. It moves
	// to the full share after the first window without a stop.
	canaryWindow = kcclock.Hour
	canaryMargin = 0.1
	canaryShare  = 0.1
)

// rollouts runs the roll-outs of a simulation. The instances of one region
// share one controller here, because they see the same evidence.
type rollouts struct {
	sim     *sim
	regions map[string]*regionRollouts
	// own holds the counts of each instance until they are exchanged.
	own map[string]*kcrollout.Evidence
	// canaryAt is the end of the window of the fixed canary, canaryOld the
	// evidence at its start.
	canaryAt  kcclock.Millis
	canaryOld map[string]kcrollout.Strata
}

type regionRollouts struct {
	evidence   *kcrollout.Evidence
	controller *kcrollout.Controller
}

func newRollouts(s *sim) *rollouts {
	ro := &rollouts{sim: s, regions: make(map[string]*regionRollouts), own: make(map[string]*kcrollout.Evidence)}
	for _, n := range s.nodes {
		ro.own[n.id] = kcrollout.NewEvidence()
		if ro.regions[n.site.Region] == nil {
			ro.regions[n.site.Region] = &regionRollouts{
				evidence: kcrollout.NewEvidence(),
				controller: kcrollout.NewController(kcrollout.ControllerOptions{
					MinStageMs: stageTime, MinStageRatings: stageEvents, Publish: ro.publish,
				}),
			}
		}
	}
	ro.canaryAt = canaryWindow
	ro.canaryOld = make(map[string]kcrollout.Strata)
	if !s.policy.sequential {
		ro.startCanaries()
	}
	return ro
}

func (ro *rollouts) count(n *node, arm kcrollout.Arm, sig kcrollout.Signal, bad bool) {
	ro.own[n.id].Add(n.id, arm, sig, bad)
}

// inForce returns the roll-outs as the instances of region apply them.
func (ro *rollouts) inForce(region string) func(model string) (kcrules.Rollout, bool) {
	return func(model string) (kcrules.Rollout, bool) {
		r, ok := ro.sim.rules.Rollouts[model]
		if !ok {
			return r, false
		}
		return ro.regions[region].controller.EffectiveRollout(model, ro.current(r)), true
	}
}

func (ro *rollouts) current(r kcrules.Rollout) kcrollout.ActiveRollout {
	return kcrollout.ActiveRollout{Rollout: r, Revision: ro.sim.revision}
}

// allows reports whether the request may run on version now.
func (ro *rollouts) allows(region string, req kcroute.Request, version string) bool {
	for model := range ro.sim.rules.Rollouts {
		r, _ := ro.inForce(region)(model)
		if r.To != version && r.From != version {
			continue
		}
		return (r.To == version) == kcrollout.Exposed(r, req.Workspace, req.ID)
	}
	return true
}

func (ro *rollouts) tick() {
	for region, reg := range ro.regions {
		for _, n := range ro.sim.nodes {
			if !ro.sim.cut || n.site.Region == region {
				reg.evidence.Merge(ro.own[n.id])
			}
		}
	}
	if !ro.sim.policy.sequential {
		ro.canary()
		return
	}
	lead := ro.sim.nodes[0].site.Region
	for _, region := range slices.Sorted(maps.Keys(ro.regions)) {
		reg := ro.regions[region]
		for _, model := range slices.Sorted(maps.Keys(ro.sim.rules.Rollouts)) {
			reg.controller.Evaluate(ro.sim.now, model, ro.current(ro.sim.rules.Rollouts[model]), reg.evidence,
				region == lead && !ro.sim.stuck)
			if reg.controller.StopReason(model) != "" {
				ro.sim.noteStop()
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
	s.after(publishLag, func() {
		if s.revision == revision {
			s.setRules(&rules)
		}
	})
}

func (s *sim) noteStop() {
	if s.stopAt < 0 {
		s.stopAt = s.now
	}
}

// startCanaries puts every roll-out at the share of the fixed canary.
func (ro *rollouts) startCanaries() {
	rules := *ro.sim.rules
	rules.Rollouts = maps.Clone(rules.Rollouts)
	for model, r := range rules.Rollouts {
		r.Stages, r.StageIndex = []float64{canaryShare, 1}, 0
		rules.Rollouts[model] = r
	}
	ro.sim.setRules(&rules)
}

// canary compares the bad shares of both versions in the last window.
func (ro *rollouts) canary() {
	s := ro.sim
	if s.now < ro.canaryAt {
		return
	}
	ro.canaryAt += canaryWindow
	evidence := ro.regions[s.nodes[0].site.Region].evidence
	for _, model := range slices.Sorted(maps.Keys(s.rules.Rollouts)) {
		r := s.rules.Rollouts[model]
		if r.Stopped {
			continue
		}
		to := evidence.Pooled(r.To)
		worse := increase(to, ro.canaryOld[r.To], evidence.Pooled(r.From))
		ro.canaryOld[r.To] = to
		if worse > canaryMargin {
			r.Stopped, r.Reason = true, "fixed canary"
			s.noteStop()
		} else if r.StageIndex == 0 && !s.stuck {
			r.StageIndex = 1
		}
		ro.publish(model, s.revision, r)
	}
}

// increase returns the mean increase of the bad share of the new version in
// the last window over the old version, weighted by stratum.
func increase(to, before, from kcrollout.Strata) float64 {
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
