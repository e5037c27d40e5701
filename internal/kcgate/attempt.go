package kcgate

import (
	"context"
	"errors"
	"net/http"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcconn"
	"github.com/kingcuprail/kingcuprail/internal/kclatency"
	"github.com/kingcuprail/kingcuprail/internal/kcledger"
	"github.com/kingcuprail/kingcuprail/internal/kcprefix"
	"github.com/kingcuprail/kingcuprail/internal/kcrollout"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// nonIdempotentMaxIdleMs bounds the idle time of a connection that carries a
	// request which must not be retried. Upstreams may close an idle connection
	// without the client noticing, which would leave the outcome of the request
	// unknown.
	nonIdempotentMaxIdleMs = 1500 * kcclock.Millisecond
	// minAttemptMs is the least remaining time for which another attempt is made.
	minAttemptMs = 20 * kcclock.Millisecond
	// streamSilenceShare is the share of the latency objective after which a
	// retryable stream without a response is sent to another upstream. The rest
	// of the objective leaves time for a second attempt.
	streamSilenceShare = 0.5
	// unarySilenceShare is the same share for unary requests. Their objective
	// leaves no time for a second attempt, so the first one may exceed it.
	unarySilenceShare = 2.0
	// defaultUnaryHoldMs is the assumed slot time of a unary request before the
	// first response.
	defaultUnaryHoldMs = 60
	// silenceFirstEventFactor is the multiple of the usual time to the first
	// event after which an attempt is checked.
	silenceFirstEventFactor = 6
	// upstreamSilenceMs is how long an upstream may send nothing on any
	// connection before it counts as silent. Engines send an event to each stream
	// every 20 to 100 ms.
	upstreamSilenceMs = 600 * kcclock.Millisecond
	// urgencyOffset leaves lower values for requests that are more urgent than
	// any route.
	urgencyOffset = 3
	maxUrgency    = 9
)

// errUpstreamSilent cancels an attempt whose upstream does not respond.
var errUpstreamSilent = errs.New("the upstream is silent")

// attemptResult tells how a request continues after an attempt.
type attemptResult int

const (
	// resultAnswered means that the caller has the response.
	resultAnswered attemptResult = iota
	// resultRetry means that the request may be sent to another upstream at once.
	resultRetry
	// resultEscalate means that a larger model must answer.
	resultEscalate
	// resultNoAnswer means that the request may have run but has no response.
	resultNoAnswer
)

// sendUntilAnswered makes attempts until the request is answered or has failed.
func (x *exchange) sendUntilAnswered(ctx context.Context) {
	tried := kcset.New[string]()
	model, anyFull := x.firstModel(), false
	for {
		if ctx.Err() != nil {
			x.fail(ctx, reasonTimeout, otherInstanceRetryMs)
			return
		}
		if !x.awaitQuarantine(ctx, &model) {
			return
		}
		c, ok := x.pickUpstream(tried, model)
		if !ok {
			x.failNoUpstream(ctx, anyFull)
			return
		}
		tried.Add(c.ID)
		switch x.tryUpstream(ctx, c, model) {
		case resultAnswered:
			return
		case resultEscalate:
			model = x.lastModel(model)
			tried.Remove(c.ID)
		case resultRetry:
			if x.attempts[len(x.attempts)-1].execution != notRun {
				continue
			}
			anyFull = true
			if !x.g.takeRetry(x.service) {
				x.fail(ctx, reasonUpstreamsFull, x.fullRetryAfter(true))
				return
			}
			if !x.awaitAdmission(ctx, model, tried, true) {
				return
			}
		case resultNoAnswer:
			x.recordCrash(ctx, c)
			if x.quarantine.onTrial || !x.mayRetry() || !x.takeRetry() {
				x.fail(ctx, reasonUnknownExecution, 0)
				return
			}
			x.g.Metrics.CountRetry("lost")
		}
	}
}

// failNoUpstream rejects a request for which no upstream is available.
func (x *exchange) failNoUpstream(ctx context.Context, anyFull bool) {
	w := x.criteria(nil)
	paused, cold := x.g.Upstreams.pauseLeft(w), x.g.Upstreams.coldLeft(w)
	switch {
	case x.decision.retryAfterMs > 0:
		x.fail(ctx, reasonVersionStopped, x.decision.retryAfterMs)
	case paused > 0:
		x.fail(ctx, reasonUpstreamsPaused, paused)
	case cold > 0:
		x.fail(ctx, reasonUpstreamsCold, cold)
	case anyFull:
		x.fail(ctx, reasonUpstreamsFull, x.fullRetryAfter(false))
	default:
		x.fail(ctx, reasonNoUpstream, x.fullRetryAfter(false))
	}
}

// takeRetry charges one retry to the retry budget. A retry that the silence
// watchdog has reserved is used first.
func (x *exchange) takeRetry() bool {
	if x.retryReserved {
		x.retryReserved = false
		return true
	}
	return x.g.takeRetry(x.service)
}

// mayRetry reports whether the request may run once more.
func (x *exchange) mayRetry() bool {
	return x.route.SafeToRetry() && x.attempts.runs() < x.route.MaxAttempts && x.remaining() > minAttemptMs
}

func (x *exchange) remaining() kcclock.Millis { return x.deadline - x.g.Clock.Now() }

// pickUpstream picks an upstream with a version that may run the request.
func (x *exchange) pickUpstream(tried kcset.Set[string], model string) (*pickedUpstream, bool) {
	available := x.g.Upstreams.versions(x.service, x.regions)
	key := x.meta.Session
	if key == "" {
		key = x.meta.ID
	}
	x.decision = x.g.Rollouts.decideVersion(x.service, key, available)
	x.g.Metrics.Count("versions." + x.decision.reason)
	w := x.criteria(tried)
	w.prompt, w.holdMs = x.promptFor(model), x.expectedHoldMs()
	w.memoryTokens = x.table.EngineTokens[x.service]
	w.tokens = x.meta.PromptTokens + x.meta.OutputTokens
	w.upstreamShare = func(version string) float64 { return x.g.Rollouts.upstreamShare(x.service, version) }
	c, ok := x.g.Upstreams.pick(w)
	mayFallBack := x.decision.fallback != nil && (x.meta.Session == "" || !x.decision.sessionsMoved)
	if !ok && mayFallBack && x.g.Upstreams.coldLeft(w) > 0 {
		// The target of the rollout is cold and the session may use another version.
		w.allowsVersion = x.decision.fallback
		c, ok = x.g.Upstreams.pick(w)
	}
	if ok {
		if c.overMemory {
			x.g.Metrics.Count("upstreams.overMemory")
		}
		if c.held.Outcome != kcprefix.NotWeighed {
			x.g.Metrics.Count("prefix." + c.held.String())
		}
		x.g.Rollouts.pinSession(x.session(), c.Version, !x.sessionPinned)
		x.sessionPinned = true
	}
	return c, ok
}

// criteria returns what every upstream of the request must meet.
func (x *exchange) criteria(tried kcset.Set[string]) pickCriteria {
	return pickCriteria{service: x.service, allowsVersion: x.decision.allows, regions: x.regions, tried: tried}
}

// promptFor describes the prompt that an engine has to prefill for the request.
func (x *exchange) promptFor(model string) kcprefix.Prompt {
	msPerToken := 0.0
	if x.meta.PromptTokens > 0 {
		msPerToken = x.g.firstEvents.PrefillTime(model)
	}
	return kcprefix.NewPrompt(model, x.meta.PromptParts, x.meta.PromptTokens, msPerToken)
}

// expectedHoldMs returns roughly how long the request occupies a slot of its
// upstream.
func (x *exchange) expectedHoldMs() float64 {
	if x.meta.PromptTokens > 0 {
		return streamHoldMs
	}
	return x.g.latencies.MedianOr("answer/"+x.route.Name, defaultUnaryHoldMs)
}

// tryUpstream sends the request to one upstream and forwards its response.
func (x *exchange) tryUpstream(ctx context.Context, c *pickedUpstream, model string) attemptResult {
	now := x.g.Clock.Now()
	x.attempts = append(x.attempts, x.newAttempt(c, model, now))
	x.attemptSlow, x.attemptVerySlow, x.latencyKnown, x.slowRecorded = false, false, false, false
	last := len(x.attempts) - 1
	finish := func(e execution, detail string) {
		s := &x.attempts[last]
		s.execution, s.detail, s.tookMs = e, detail, x.g.Clock.Now()-now
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stopWatchdog := x.startSilenceWatchdog(c, model, cancel)
	resp, err := x.g.Pool.Do(ctx, c.Address, x.upstreamRequest(c, model, x.meta.LastEventID))
	stopWatchdog()
	if err != nil {
		return x.handleSendError(ctx, c, err, finish)
	}
	x.attempts[last].progress = headerOnly
	x.g.Upstreams.markAnswerStarted(c)
	head := x.decodeResponse(c, resp)
	if head.HasLoad {
		x.g.Upstreams.recordLoad(c, head.Load)
		x.g.Admission.Release(x.service)
	}
	if x.meta.PromptTokens > 0 && !head.NotRun && resp.StatusCode == http.StatusOK {
		x.recordFirstEvent(c, model, x.g.Clock.Now()-now)
	}
	if head.HasConfidence {
		x.attempts[last].confidence = head.Confidence
	}
	switch {
	case head.NotRun:
		resp.Finish()
		finish(notRun, itoa(resp.StatusCode))
		x.g.Upstreams.release(c, outcomeFull)
		x.g.Metrics.CountRetry("notRun")
		return resultRetry
	case promisesNotRun(resp.StatusCode) && (!head.FromApplication || !x.route.SafeToRetry()):
		return x.handleFalsePromise(ctx, c, resp, finish)
	case !isApplicationResponse(resp, head):
		resp.Abort()
		finish(maybeRan, "response not from the application")
		x.g.Upstreams.release(c, outcomeNeutral)
		return resultNoAnswer
	case x.shouldEscalate(c, head, model):
		resp.Abort()
		finish(ran, "weak")
		x.g.Upstreams.release(c, outcomeGood)
		x.g.Upstreams.recordAnswer(c, false)
		x.recordOutcome(c, false)
		x.g.Metrics.Count("cascade.escalated")
		return resultEscalate
	}
	return x.forwardResponse(ctx, c, resp, finish)
}

// recordFirstEvent records the time to the first event of a response to a prompt.
func (x *exchange) recordFirstEvent(c *pickedUpstream, model string, elapsedMs kcclock.Millis) {
	if n := x.meta.PromptTokens; n >= kclatency.MinPrefillTokens {
		perToken := max(float64(elapsedMs-kclatency.FirstEventOverheadMs), 0) / float64(n)
		x.classifyLatency(c, "read/"+model, perToken, kclatency.EngineSlowFactor)
	}
	x.g.firstEvents.Observe(model, x.meta.PromptTokens, c.held.HeldTokens, elapsedMs)
}

// decodeResponse decodes the headers of a response and records what they say of the
// upstream.
func (x *exchange) decodeResponse(c *pickedUpstream, resp *kcconn.Response) ResponseMeta {
	head := x.g.Codec.DecodeResponse(resp.Response)
	x.g.Upstreams.recordLimit(c, head)
	x.g.Upstreams.recordNotices(c, resp.StatusCode, head)
	x.g.Upstreams.recordBrittle(c, head)
	if head.IgnoredNotices > 0 {
		x.g.Metrics.Add("answers.ignoredNotice", int64(head.IgnoredNotices))
	}
	if head.IgnoredLoads > 0 {
		x.g.Metrics.Add("answers.ignoredLoad", int64(head.IgnoredLoads))
	}
	return head
}

// promisesNotRun reports whether callers take a status for the promise that the
// request has not run and never will.
func promisesNotRun(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// handleFalsePromise handles a response whose status is a promise that the upstream
// has not made: it does not say that the request was not run. The caller gets
// another response, or a failure that promises nothing. An application's own
// response to a request that may be repeated is forwarded like any other.
func (x *exchange) handleFalsePromise(
	ctx context.Context, c *pickedUpstream, resp *kcconn.Response, finish func(execution, string),
) attemptResult {
	resp.Abort()
	finish(maybeRan, itoa(resp.StatusCode)+" that does not say whether the request ran")
	x.g.Upstreams.release(c, outcomeNeutral)
	x.g.Upstreams.recordAnswer(c, true)
	x.recordOutcome(c, true)
	x.g.Metrics.Count("answers.falsePromise")
	if x.mayRetry() && x.g.takeRetry(x.service) {
		x.g.Metrics.CountRetry("failure")
		return resultRetry
	}
	x.fail(ctx, reasonUnknownExecution, 0)
	return resultAnswered
}

// isApplicationResponse reports whether a response can come from the application.
// A success must carry the stamp of the application, and no response may have a
// content encoding, because none was requested.
func isApplicationResponse(resp *kcconn.Response, head ResponseMeta) bool {
	return resp.Header.Get("Content-Encoding") == "" && (head.FromApplication || resp.StatusCode >= http.StatusMultipleChoices)
}

// handleSendError classifies an attempt that got no response.
func (x *exchange) handleSendError(
	ctx context.Context, c *pickedUpstream, err error, finish func(execution, string),
) attemptResult {
	var failure *kcconn.Error
	sent := !errors.As(err, &failure) || failure.MaybeSent
	callerLeft := x.r.Context().Err() != nil
	switch {
	case callerLeft, errors.Is(err, kcconn.ErrPathEnded):
		x.g.Upstreams.release(c, outcomeNeutral)
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errUpstreamSilent):
		// The deadline may be too short for any upstream, so this does not count
		// against the upstream.
		x.g.Upstreams.release(c, outcomeNeutral)
	default:
		x.g.Upstreams.release(c, outcomeFailed)
		x.g.Upstreams.recordAnswer(c, true)
	}
	if !sent {
		finish(notSent, err.Error())
		return resultRetry
	}
	finish(maybeRan, err.Error())
	switch {
	case errors.Is(context.Cause(ctx), errUpstreamSilent):
		x.g.Rollouts.recordOutcome(x.service, c, x.route.Name, kcrollout.Slow, true)
		x.g.Rollouts.recordOutcome(x.service, c, x.route.Name, kcrollout.VerySlow, true)
	case ctx.Err() == nil && !errors.Is(err, kcconn.ErrPathEnded) && x.g.Upstreams.recordInterruption(c):
		x.recordOutcome(c, true)
	}
	return resultNoAnswer
}

// canRetryElsewhere reports whether another upstream could answer in place of the
// one that is running the request.
func (x *exchange) canRetryElsewhere(c *pickedUpstream) bool {
	return x.route.SafeToRetry() && x.attempts.runs()+1 < x.route.MaxAttempts && c.candidates >= 2
}

// silenceTimeout returns the time after which an attempt without a response is
// checked for activity of its upstream, or 0 if there is no such limit.
func (x *exchange) silenceTimeout(c *pickedUpstream, model string) kcclock.Millis {
	if !x.canRetryElsewhere(c) || x.route.LatencyObjectiveMs <= 0 {
		return 0
	}
	share := unarySilenceShare
	if x.route.Type == kctable.Streaming {
		share = streamSilenceShare
	}
	wait := kcclock.Millis(share * float64(x.route.LatencyObjectiveMs))
	if x.meta.PromptTokens > 0 {
		wait = max(wait, kcclock.Millis(silenceFirstEventFactor*float64(x.g.firstEvents.Expect(model, x.meta.PromptTokens))))
	}
	return min(wait, x.remaining()/2)
}

// startSilenceWatchdog cancels an attempt whose upstream sends nothing on any
// connection, if another upstream could still answer in time. An upstream that
// responds to other requests is busy, and the request keeps its place in its
// queue. The returned function stops the watchdog and waits for it.
func (x *exchange) startSilenceWatchdog(c *pickedUpstream, model string, cancel context.CancelCauseFunc) func() {
	wait := x.silenceTimeout(c, model)
	if wait <= 0 {
		return func() {}
	}
	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-x.g.Clock.After(wait):
			case <-stop:
				return
			}
			// If the retry budget is exhausted, waiting for the silent upstream
			// is the only option left.
			if x.g.Upstreams.silentFor(c) >= upstreamSilenceMs && x.g.takeRetry(x.service) {
				x.retryReserved = true
				cancel(errUpstreamSilent)
				return
			}
			wait = upstreamSilenceMs / 2
		}
	}()
	return func() {
		close(stop)
		<-ended
	}
}

func (x *exchange) session() sessionKey { return sessionKey{x.service, x.meta.Session} }

// newAttempt returns the log entry of an attempt that starts now.
func (x *exchange) newAttempt(c *pickedUpstream, model string, now kcclock.Millis) attempt {
	return attempt{
		upstream: c.ID, version: c.Version, model: model, estimatedLoad: c.loadAtPick, decision: x.decision, startedAt: now,
		confidence: -1,
	}
}

// upstreamRequest builds the request that is sent to an upstream.
func (x *exchange) upstreamRequest(c *pickedUpstream, model string, lastEvent int64) *kcconn.Request {
	req := &kcconn.Request{
		Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Body: x.body, ID: x.meta.ID,
		Memory: kcledger.CallerOf(x.r.Context()),
		Header: x.g.Codec.EncodeAttempt(AttemptMeta{
			RequestMeta: x.meta, UpstreamID: c.ID, Workspace: x.workspace, TimeoutMs: max(x.remaining(), 1),
			Model: model, LastEventID: lastEvent, Urgency: min(urgencyOffset+x.rank, maxUrgency),
		}),
	}
	if !x.route.SafeToRetry() {
		req.MaxConnIdleMs = nonIdempotentMaxIdleMs
	}
	return req
}

// recordOutcome adds the outcome of an attempt to the evidence of a rollout.
func (x *exchange) recordOutcome(c *pickedUpstream, bad bool) {
	x.g.Rollouts.recordOutcome(x.service, c, x.route.Name, kcrollout.Failure, bad)
	if !bad {
		x.recordSlow(c)
	}
}

// recordSlow adds to the evidence of a rollout whether the attempt is slow, once this
// is known. Latencies are already compared per model and route, so they need no
// stratum.
func (x *exchange) recordSlow(c *pickedUpstream) {
	if x.latencyKnown && !x.slowRecorded {
		x.slowRecorded = true
		x.g.Rollouts.recordOutcome(x.service, c, "", kcrollout.Slow, x.attemptSlow)
		x.g.Rollouts.recordOutcome(x.service, c, "", kcrollout.VerySlow, x.attemptVerySlow)
	}
}

// classifyLatency compares a latency of the current attempt with the usual ones.
// Versions under rollout do not contribute to the usual latencies. Those of cold
// upstreams say nothing.
func (x *exchange) classifyLatency(c *pickedUpstream, key string, v, factor float64) {
	if c.cold {
		return
	}
	slow, known := x.g.latencies.IsSlow(key, v, factor)
	verySlow, _ := x.g.latencies.IsSlow(key, v/kclatency.VerySlowFactor, factor)
	x.attemptSlow, x.latencyKnown = x.attemptSlow || slow, x.latencyKnown || known
	x.attemptVerySlow = x.attemptVerySlow || verySlow
	if !x.g.Rollouts.isRolloutTarget(x.service, c.Version) {
		x.g.latencies.Observe(key, v)
	}
}

// isServerError reports whether a status code denotes an error of the upstream.
func isServerError(status int) bool { return status >= http.StatusInternalServerError }
