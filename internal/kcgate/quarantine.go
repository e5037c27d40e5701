package kcgate

import (
	"context"
	"log/slog"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuprail/kingcuprail/internal/kcquarantine"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// quarantineState tells how a request stands to crashes of upstreams.
type quarantineState struct {
	// Request holds the parts of the prompt that other requests may share. It has
	// none if there are none.
	kcquarantine.Request
	// waitLeftMs is how long the request may still wait for its trial.
	waitLeftMs kcclock.Millis
	// onTrial is true while the request runs on trial, trialOver once a crash has
	// ended its trial.
	onTrial, trialOver bool
	// answered is true once an upstream has begun to answer.
	answered bool
}

// initQuarantine sets the shared parts of the prompt. An instance that has just
// started waits for what others know about them.
func (x *exchange) initQuarantine(ctx context.Context) {
	if len(x.meta.PromptParts) < 2 {
		return
	}
	ids := make([]string, len(x.meta.PromptParts))
	for i, part := range x.meta.PromptParts {
		ids[i] = part.ID
	}
	x.quarantine.Parts = kcquarantine.SharedParts(ids)
	x.g.Quarantine.CountRequest(x.quarantine.Parts)
	x.quarantine.Workspace = xxhash.Sum64String(x.workspace)
	g := x.g
	known := g.startup.startedAt + startupWaitMs
	_ = awaitUntil(ctx, g.Clock, g.Rollouts.statesLoaded, known) && awaitUntil(ctx, g.Clock, g.Quarantine.Synced(), known)
	x.quarantine.waitLeftMs = kcquarantine.MaxWait(x.remaining())
}

// awaitQuarantine waits until the request may be sent, as far as crashes of
// upstreams are concerned. If it returns false, the request has been rejected. A
// trial runs on the largest model: the answer of a small one may be dropped for
// what its header says, before the upstream crashes.
func (x *exchange) awaitQuarantine(ctx context.Context, model *string) bool {
	q := &x.quarantine
	if len(q.Parts) == 0 || q.onTrial || q.answered {
		return true
	}
	d := x.g.Quarantine.Await(ctx, q.Request, &q.waitLeftMs)
	switch d.Action {
	case kcquarantine.Trial:
		q.onTrial = true
		*model = x.lastModel(*model)
	case kcquarantine.Reject:
		x.logQuarantine(d)
		x.fail(ctx, reasonQuarantined, d.RetryAfter())
		return false
	default:
		return true
	}
	x.logQuarantine(d)
	return true
}

func (x *exchange) logQuarantine(d kcquarantine.Decision) {
	x.g.Metrics.Count("quarantine." + d.Action.String())
	x.g.Log.Info("quarantine", "request", x.meta.ID, "workspace", x.workspace, "part", d.Part, "crashes", d.Failures,
		"nextTrialMs", d.WaitMs, "outcome", d.Action)
}

// recordAnswerStart records that an upstream has begun to answer the request.
func (x *exchange) recordAnswerStart() {
	q := &x.quarantine
	if len(q.Parts) == 0 || q.answered {
		return
	}
	q.answered, q.onTrial = true, false
	x.g.Quarantine.Answered(q.Parts)
}

// endTrial ends a trial that showed nothing.
func (x *exchange) endTrial() {
	if x.quarantine.onTrial && !x.quarantine.trialOver {
		x.g.Quarantine.EndTrial(x.quarantine.Parts)
	}
}

// recordCrash blames the request if its last attempt has ended because the
// upstream crashed before it sent any of the body. An upstream that still accepts
// connections has not crashed.
func (x *exchange) recordCrash(ctx context.Context, c *pickedUpstream) {
	q, a := &x.quarantine, &x.attempts[len(x.attempts)-1]
	if len(q.Parts) == 0 || q.answered || ctx.Err() != nil || a.progress == bodyStarted {
		return
	}
	phase := kcquarantine.Reading
	if a.progress == headerOnly || q.onTrial {
		phase, q.Crashed = kcquarantine.Answering, true
	} else if x.g.Quarantine.Proven(q.Parts) {
		return
	}
	if !x.g.Pool.Refuses(ctx, c.Address) {
		q.Crashed = false
		return
	}
	now := x.g.Clock.Now()
	q.trialOver = q.onTrial
	x.g.Metrics.Count("quarantine.crash")
	x.g.Log.LogAttrs(ctx, slog.LevelWarn, "upstream crashed under a request", slog.String("request", x.meta.ID),
		slog.String("workspace", x.workspace), slog.String("upstream", c.ID), slog.String("phase", a.progress.String()),
		slog.Bool("trial", q.onTrial), slog.String("parts", formatParts(x.meta.PromptParts)))
	x.g.Quarantine.Crashed(kcquarantine.Evidence{
		Crash: crashID(c.Upstream), Upstream: c.ID, Request: x.meta.ID, Workspace: q.Workspace, At: now, Phase: phase, Parts: q.Parts,
	})
}

// crashID identifies the crash of an upstream process.
func crashID(u kctable.Upstream) uint64 {
	return xxhash.Sum64String(u.ID + "\n" + itoa(int(u.StartedAtMs)))
}
