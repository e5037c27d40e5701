package kcrollout

import (
	"fmt"
	"slices"

	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Current is the roll-out in force and the revision of its key.
type ActiveRollout struct {
	Rollout  kcrules.Rollout
	Revision int64
}

// Publish asks for a change of the roll-out of model. It must build on
// revision, so that it loses against any change that was made since, an
// operator's above all. It may fail; the controller asks again.
type PublishFunc func(model string, revision int64, changed kcrules.Rollout)

// ControllerOptions configures a Controller.
type ControllerOptions struct {
	// MinStageMs is the least time in a stage.
	MinStageMs kcclock.Millis
	// MinStageRatings is the least number of rated answers of the new version in
	// a stage.
	MinStageRatings int64
	Publish         PublishFunc
}

// Controller follows the roll-outs of all models. Every instance runs one: all
// stop a bad version at once for their own requests and try to publish the
// stop; only the holder of the roll-out lease publishes stages. It is not safe
// for concurrent use.
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

// Tick looks at the evidence for the roll-out of model. lead is true at the
// holder of the lease.
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
		changed.Stage++
		c.opts.Publish(model, cur.Revision, changed)
	}
}

// follow returns the progress of model. A change that was not made by a
// controller, such as an operator's, starts the test anew: an operator who
// sets a stopped version going again is not overruled by old evidence.
func (c *Controller) progressOf(now kcclock.Millis, model string, cur ActiveRollout, e *Evidence) *rolloutProgress {
	p := c.progress[model]
	r := cur.Rollout
	if p != nil && p.revision != cur.Revision {
		nextStage := !r.Stopped && r.Stage == p.stage+1 && r.To == p.to && p.stopReason == ""
		if !nextStage && !r.Stopped {
			p = nil
		}
	}
	if p == nil {
		p = &rolloutProgress{to: r.To, stage: -1, detector: NewDetector(now)}
		p.detector.observed = e.Pooled(r.To)
		c.progress[model] = p
	}
	if p.stage != r.Stage {
		p.stage, p.stageStartedAt, p.stageStartCounts = r.Stage, now, e.Pooled(r.To).Sum()
	}
	p.revision = cur.Revision
	return p
}

func (c *Controller) nextStageDue(now kcclock.Millis, p *rolloutProgress, r kcrules.Rollout, fresh Tally) bool {
	if r.Stage+1 >= len(r.Stages) || now-p.stageStartedAt < c.opts.MinStageMs {
		return false
	}
	return fresh.Minus(p.stageStartCounts)[BadRating].Total >= c.opts.MinStageRatings
}

// Apply returns the roll-out with the stop of this instance, which holds before
// the log has accepted it and while the log is down. It ends with the next
// revision of the key that is not a stop.
func (c *Controller) EffectiveRollout(model string, cur ActiveRollout) kcrules.Rollout {
	p := c.progress[model]
	if p == nil || p.stopReason == "" || p.revision != cur.Revision {
		return cur.Rollout
	}
	r := cur.Rollout
	r.Stopped, r.Reason = true, p.stopReason
	return r
}

// Stopped returns the reason for which this instance stopped the roll-out of
// model, or "".
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
