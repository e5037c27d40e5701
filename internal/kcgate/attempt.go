package kcgate

import (
	"context"
	"errors"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcconn"
	"github.com/kingcuprail/kingcuprail/internal/kcrollout"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

const (
	// nonIdempotentMaxIdleMs bounds the idle time of a connection that carries a request
	// which may not be repeated: upstreams drop idle connections unseen.
	nonIdempotentMaxIdleMs = 1500 * kcclock.Millisecond
	// minAttemptMs is the least time that is worth a send.
	minAttemptMs = 20 * kcclock.Millisecond
	// streamSilenceShare is the part of the objective after which a request without an
	// answer is sent elsewhere, if it may be repeated. The rest is enough for
	// a second try.
	streamSilenceShare = 0.5
	// unarySilenceShare is the same for requests that answer at once. Their
	// objective leaves no room for a second try, so the first may go on.
	unarySilenceShare = 2.0
	// defaultUnaryHoldMs is assumed for plain services before the first answer.
	defaultUnaryHoldMs = 60
	// silenceFirstEventFactor is the number of usual times to the first event after which
	// a try is checked.
	silenceFirstEventFactor = 6
	// upstreamSilenceMs is how long an upstream may be silent on all connections. Engines
	// send an event to each stream every 20 to 100 ms.
	upstreamSilenceMs = 600 * kcclock.Millisecond
	// urgencyOffset leaves room for requests that are more urgent than any route.
	urgencyOffset = 3
	maxUrgency    = 9
)

// errUpstreamSilent ends a try whose upstream does not answer.
var errUpstreamSilent = errs.New("the upstream is silent")

// verdict is what follows from a try.
type attemptResult int

const (
	// answered requests are over.
	resultAnswered attemptResult = iota
	// again means that the request may be sent to another upstream at once.
	resultRetry
	// escalate means that another model must answer.
	resultEscalate
	// lost tries may have run and have no answer.
	resultNoAnswer
)

// attempts sends the request until it is answered.
func (x *exchange) sendUntilAnswered(ctx context.Context) {
	tried := kcset.New[string]()
	model, allFull := x.firstModel(), false
	for {
		if ctx.Err() != nil {
			x.fail(ctx, reasonTimeout, otherInstanceRetryMs)
			return
		}
		c, ok := x.pickUpstream(tried, model)
		if !ok {
			x.failNoUpstream(ctx, allFull)
			return
		}
		tried.Add(c.ID)
		switch x.tryUpstream(ctx, c, model) {
		case resultAnswered:
			return
		case resultEscalate:
			model = x.route.Models[len(x.route.Models)-1]
			tried.Remove(c.ID)
		case resultRetry:
			allFull = allFull || x.attempts[len(x.attempts)-1].execution == notRun
			if x.attempts[len(x.attempts)-1].execution == notRun && !x.g.takeRetry(x.service) {
				x.fail(ctx, reasonUpstreamsFull, upstreamsFullRetryMs)
				return
			}
		case resultNoAnswer:
			if !x.mayRetry() || !x.takeRetry() {
				x.fail(ctx, reasonUnknownExecution, 0)
				return
			}
			x.g.Metrics.Retried("lost")
		}
	}
}

// failNoUpstream ends a request that no upstream can take.
func (x *exchange) failNoUpstream(ctx context.Context, allFull bool) {
	switch {
	case x.decision.retryAfterMs > 0:
		x.fail(ctx, reasonVersionStopped, x.decision.retryAfterMs)
	case allFull:
		x.fail(ctx, reasonUpstreamsFull, upstreamsFullRetryMs)
	default:
		x.fail(ctx, reasonNoUpstream, upstreamsFullRetryMs)
	}
}

// takeRetry takes one more send from the retry budget, unless one was taken
// when the last try was given up.
func (x *exchange) takeRetry() bool {
	if x.retryReserved {
		x.retryReserved = false
		return true
	}
	return x.g.takeRetry(x.service)
}

// mayRetry reports whether the request may run once more.
func (x *exchange) mayRetry() bool {
	return x.route.MayRepeat() && x.attempts.runs() < x.route.MaxAttempts && x.remaining() > minAttemptMs
}

func (x *exchange) remaining() kcclock.Millis { return x.deadline - x.g.Clock.Now() }

// choose takes an upstream of a version that may run the request.
func (x *exchange) pickUpstream(tried kcset.Set[string], model string) (*pickedUpstream, bool) {
	have := x.g.Upstreams.versions(x.service)
	key := x.meta.Session
	if key == "" {
		key = x.meta.ID
	}
	x.decision = x.g.Rollouts.decideVersion(x.service, key, have)
	x.g.Metrics.Count("versions." + x.decision.reason)
	c, ok := x.g.Upstreams.pick(pickCriteria{
		service: x.service, allowsVersion: x.decision.allows,
		tried: tried, prompt: x.promptFor(model), holdMs: x.expectedHoldMs(),
		upstreamShare: func(version string) float64 { return x.g.Rollouts.upstreamShare(x.service, version) },
	})
	if ok {
		x.g.Rollouts.pinSession(x.session(), c.Version, !x.sessionPinned)
		x.sessionPinned = true
	}
	return c, ok
}

// prompt returns what an engine has to read for the request.
func (x *exchange) promptFor(model string) prompt {
	p := prompt{model: model, parts: x.meta.PromptParts, tokens: x.meta.PromptTokens}
	if p.tokens > 0 {
		p.msPerToken = x.g.firstEvents.prefillTime(model)
	}
	// The last part belongs to the request or its session.
	if n := len(p.parts); n >= 2 {
		p.affinity = xxhash.Sum64String(p.parts[n-2].ID) | 1
	}
	return p
}

// expectedHoldMs returns about the time that the request keeps its place.
func (x *exchange) expectedHoldMs() float64 {
	if x.meta.PromptTokens > 0 {
		return streamHoldMs
	}
	return x.g.latencies.medianOr("answer/"+x.route.Name, defaultUnaryHoldMs)
}

// try sends the request to one upstream and passes its answer on.
func (x *exchange) tryUpstream(ctx context.Context, c *pickedUpstream, model string) attemptResult {
	now := x.g.Clock.Now()
	x.attempts = append(x.attempts, x.newAttempt(c, model, now))
	x.attemptSlow, x.latencyKnown = false, false
	last := len(x.attempts) - 1
	end := func(e execution, detail string) {
		s := &x.attempts[last]
		s.execution, s.detail, s.tookMs = e, detail, x.g.Clock.Now()-now
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := x.startSilenceWatchdog(c, model, cancel)
	resp, err := x.g.Pool.Do(ctx, c.Address, x.upstreamRequest(c, model, x.meta.LastEventID))
	watch()
	if err != nil {
		return x.handleSendError(ctx, c, err, end)
	}
	x.g.Upstreams.markAnswerStarted(c)
	head := x.g.Codec.DecodeResponse(resp.Response)
	if head.HasLoad {
		x.g.Upstreams.recordLoad(c, head.Load)
	}
	if x.meta.PromptTokens > 0 && !head.NotRun && resp.StatusCode == http.StatusOK {
		took := x.g.Clock.Now() - now
		if n := x.meta.PromptTokens; n >= minPrefillTokens {
			x.classifyLatency(c, "read/"+model, max(float64(took-firstEventOverheadMs), 0)/float64(n), engineSlowFactor)
		}
		x.g.firstEvents.observe(model, x.meta.PromptTokens, took)
	}
	if head.HasConfidence {
		x.attempts[last].confidence = head.Confidence
	}
	switch {
	case head.NotRun:
		resp.Finish()
		end(notRun, itoa(resp.StatusCode))
		x.g.Upstreams.release(c, outcomeFull)
		x.g.Metrics.Retried("notRun")
		return resultRetry
	case !isApplicationResponse(resp, head):
		resp.Abort()
		end(maybeRan, "not the answer of the application")
		x.g.Upstreams.release(c, outcomeNeutral)
		return resultNoAnswer
	case x.shouldEscalate(head, model):
		resp.Abort()
		end(ran, "weak")
		x.g.Upstreams.release(c, outcomeGood)
		x.g.Upstreams.recordAnswer(c, false)
		x.recordOutcome(c, false)
		x.g.Metrics.Count("cascade.escalated")
		return resultEscalate
	}
	return x.forwardResponse(ctx, c, resp, end)
}

// genuine reports whether an answer can be the one of the application: a success
// bears its signature, and no body is encoded, because nobody asked for that.
func isApplicationResponse(resp *kcconn.Response, head ResponseMeta) bool {
	return resp.Header.Get("Content-Encoding") == "" && (head.FromApplication || resp.StatusCode >= http.StatusMultipleChoices)
}

// handleSendError classifies a send without an answer.
func (x *exchange) handleSendError(ctx context.Context, c *pickedUpstream, err error, end func(execution, string)) attemptResult {
	var failure *kcconn.Error
	sent := !errors.As(err, &failure) || failure.Sent
	callerLeft := x.r.Context().Err() != nil
	switch {
	case callerLeft:
		x.g.Upstreams.release(c, outcomeNeutral)
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errUpstreamSilent):
		// The deadline may be too short for any upstream.
		x.g.Upstreams.release(c, outcomeNeutral)
	default:
		x.g.Upstreams.release(c, outcomeFailed)
		x.g.Upstreams.recordAnswer(c, true)
	}
	if !sent {
		end(notSent, err.Error())
		return resultRetry
	}
	end(maybeRan, err.Error())
	switch {
	case errors.Is(context.Cause(ctx), errUpstreamSilent):
		x.g.Rollouts.recordOutcome(x.service, c, x.route.Name, kcrollout.Slow, true)
	case ctx.Err() == nil && x.g.Upstreams.recordInterruption(c):
		x.recordOutcome(c, true)
	}
	return resultNoAnswer
}

// canRetryElsewhere reports whether another upstream could answer in place of the one
// that runs the request.
func (x *exchange) canRetryElsewhere(c *pickedUpstream) bool {
	return x.route.MayRepeat() && x.attempts.runs()+1 < x.route.MaxAttempts && c.candidates >= 2
}

// silenceTimeout returns the time after which a try without an answer is checked
// for signs of life of its upstream, or 0 if it may take as long as it likes.
func (x *exchange) silenceTimeout(c *pickedUpstream, model string) kcclock.Millis {
	if !x.canRetryElsewhere(c) || x.route.ObjectiveMs <= 0 {
		return 0
	}
	part := unarySilenceShare
	if x.route.Effect == kctable.Stream {
		part = streamSilenceShare
	}
	wait := kcclock.Millis(part * float64(x.route.ObjectiveMs))
	if x.meta.PromptTokens > 0 {
		wait = max(wait, kcclock.Millis(silenceFirstEventFactor*float64(x.g.firstEvents.expect(model, x.meta.PromptTokens))))
	}
	return min(wait, x.remaining()/2)
}

// startSilenceWatchdog ends a try whose upstream is silent on all connections, while
// another upstream could still answer in time. An upstream that answers others
// is busy, and the request keeps its place there. The result ends the watch.
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
			// Without a repeat, the silent upstream is the best hope.
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

// newAttempt returns the record of a try that begins.
func (x *exchange) newAttempt(c *pickedUpstream, model string, now kcclock.Millis) attempt {
	return attempt{upstream: c.ID, version: c.Version, model: model, estimatedLoad: c.loadAtPick, decision: x.decision, startedAt: now, confidence: -1}
}

// request returns the request as it is sent to an upstream.
func (x *exchange) upstreamRequest(c *pickedUpstream, model string, lastEvent int64) *kcconn.Request {
	req := &kcconn.Request{
		Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Body: x.body, ID: x.meta.ID,
		Header: x.g.Codec.EncodeAttempt(AttemptMeta{
			RequestMeta: x.meta, UpstreamID: c.ID, Workspace: x.workspace, TimeoutMs: max(x.remaining(), 1),
			Model: model, LastEventID: lastEvent, Urgency: min(urgencyOffset+x.rank, maxUrgency),
		}),
	}
	if !x.route.MayRepeat() {
		req.FreshMs = nonIdempotentMaxIdleMs
	}
	return req
}

// count adds the outcome of a try to the evidence of an order.
func (x *exchange) recordOutcome(c *pickedUpstream, bad bool) {
	x.g.Rollouts.recordOutcome(x.service, c, x.route.Name, kcrollout.Failure, bad)
	if !bad && x.latencyKnown {
		// The times are compared per model and route already.
		x.g.Rollouts.recordOutcome(x.service, c, "", kcrollout.Slow, x.attemptSlow)
	}
}

// judge compares a time of the present try with the usual ones.
func (x *exchange) classifyLatency(c *pickedUpstream, key string, v, factor float64) {
	slow, known := x.g.latencies.isSlow(key, v, factor)
	x.attemptSlow, x.latencyKnown = x.attemptSlow || slow, x.latencyKnown || known
	if !x.g.Rollouts.isRolloutTarget(x.service, c.Version) {
		x.g.latencies.observe(key, v)
	}
}

// isServerError reports whether a status tells of an error of the upstream.
func isServerError(status int) bool { return status >= http.StatusInternalServerError }
