package kcrollout

import (
	"fmt"
	"slices"

	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// ActiveRollout is the roll-out in force and the revision of its configuration
// key.
type ActiveRollout struct {
	Rollout  kcrules.Rollout
	Revision int64
}

// PublishFunc requests a change of the roll-out of model. The write is
// conditional on revision: it loses against any change made since then, in
// particular an operator's. It may fail; the controller then retries at the
// next Evaluate.
type PublishFunc func(model string, revision int64, changed kcrules.Rollout)

// ControllerOptions configures a Controller.
type ControllerOptions struct {
	// MinStageMs is the least time in a stage.
	MinStageMs kcclock.Millis
	// MinStageRatings is the least number of rated answers of the new version
	// in a stage.
	MinStageRatings int64
	Publish         PublishFunc
}

// Controller advances and stops the roll-outs of all models. Every instance
// runs one. Each stops a bad version at once for its own requests and tries to
// publish the stop; only the holder of the roll-out lease publishes stages. It
// is not safe for concurrent use.
type Controller struct {
	opts     ControllerOptions
	progress map[string]*rolloutProgress
}

type rolloutProgress struct {
	revision         int64
	to               string
	stage            int
	stageStartedAt   kcclock.Millis
	stageStartCounts Tally
	detector         *Detector
	stopReason       string
}

// NewController returns a controller without roll-outs.
func NewController(opts ControllerOptions) *Controller {
	return &Controller{opts: opts, progress: make(map[string]*rolloutProgress)}
}

// Evaluate applies new evidence to the roll-out of model and publishes a stop
// or the next stage if one is due. lead is true on the holder of the lease.
func (c *Controller) Evaluate(now kcclock.Millis, model string, cur ActiveRollout, e *Evidence, lead bool) {
	p := c.progressOf(now, model, cur, e)
	if cur.Rollout.Stopped {
		return
	}
	fresh := e.Pooled(cur.Rollout.To)
	p.detector.Observe(now, fresh, e.Pooled(cur.Rollout.From))
	if s, bad := p.detector.Regression(); bad && p.stopReason == "" {
		n := p.detector.Observed()[s]
		p.stopReason = fmt.Sprintf("%s: %d of %d", s, n.Bad, n.Total)
	}
	if p.stopReason != "" {
		changed := cloneRollout(cur.Rollout)
		changed.Stopped, changed.Reason = true, p.stopReason
		c.opts.Publish(model, cur.Revision, changed)
		return
	}
	if lead && c.nextStageDue(now, p, cur.Rollout, fresh.Sum()) {
		changed := cloneRollout(cur.Rollout)
		changed.StageIndex++
		c.opts.Publish(model, cur.Revision, changed)
	}
}

// progressOf returns the progress of model. A change that no controller made,
// such as one by an operator, restarts the statistical test: evidence from
// before the change must not stop a version that an operator has resumed.
func (c *Controller) progressOf(now kcclock.Millis, model string, cur ActiveRollout, e *Evidence) *rolloutProgress {
	p := c.progress[model]
	r := cur.Rollout
	if p != nil && p.revision != cur.Revision {
		nextStage := !r.Stopped && r.StageIndex == p.stage+1 && r.To == p.to && p.stopReason == ""
		if !nextStage && !r.Stopped {
			p = nil
		}
	}
	if p == nil {
		p = &rolloutProgress{to: r.To, stage: -1, detector: NewDetector(now)}
		p.detector.observed = e.Pooled(r.To)
		c.progress[model] = p
	}
	if p.stage != r.StageIndex {
		p.stage, p.stageStartedAt, p.stageStartCounts = r.StageIndex, now, e.Pooled(r.To).Sum()
	}
	p.revision = cur.Revision
	return p
}

func (c *Controller) nextStageDue(now kcclock.Millis, p *rolloutProgress, r kcrules.Rollout, fresh Tally) bool {
	if r.StageIndex+1 >= len(r.Stages) || now-p.stageStartedAt < c.opts.MinStageMs {
		return false
	}
	return fresh.Minus(p.stageStartCounts)[BadRating].Total >= c.opts.MinStageRatings
}

// EffectiveRollout returns the roll-out with the local stop of this instance
// applied. The local stop is in effect before the log has accepted it and while
// the log is down. It ends with the next revision of the key that is not a
// stop.
func (c *Controller) EffectiveRollout(model string, cur ActiveRollout) kcrules.Rollout {
	p := c.progress[model]
	if p == nil || p.stopReason == "" || p.revision != cur.Revision {
		return cur.Rollout
	}
	r := cur.Rollout
	r.Stopped, r.Reason = true, p.stopReason
	return r
}

// StopReason returns why this instance stopped the roll-out of model, or "".
func (c *Controller) StopReason(model string) string {
	if p := c.progress[model]; p != nil {
		return p.stopReason
	}
	return ""
}

func cloneRollout(r kcrules.Rollout) kcrules.Rollout {
	r.Stages = slices.Clone(r.Stages)
	return r
}
