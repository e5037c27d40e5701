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
	// freshMs bounds the idle time of a connection that carries a request
	// which may not be repeated: upstreams drop idle connections unseen.
	freshMs = 1500 * kcclock.Millisecond
	// minLeftMs is the least time that is worth a send.
	minLeftMs = 20 * kcclock.Millisecond
	// silentPart is the part of the objective after which a request without an
	// answer is sent elsewhere, if it may be repeated. The rest is enough for
	// a second try.
	silentPart = 0.5
	// plainSilentPart is the same for requests that answer at once. Their
	// objective leaves no room for a second try, so the first may go on.
	plainSilentPart = 2.0
	// plainHoldMs is assumed for plain services before the first answer.
	plainHoldMs = 60
	// silentPace is the number of usual times to the first event after which
	// a try is checked.
	silentPace = 6
	// aliveMs is how long an upstream may be silent on all connections. Engines
	// send an event to each stream every 20 to 100 ms.
	aliveMs = 600 * kcclock.Millisecond
	// urgencyBase leaves room for requests that are more urgent than any route.
	urgencyBase = 3
	maxUrgency  = 9
)

// errSilent ends a try whose upstream does not answer.
var errSilent = errs.New("the upstream is silent")

// verdict is what follows from a try.
type verdict int

const (
	// answered requests are over.
	answered verdict = iota
	// again means that the request may be sent to another upstream at once.
	again
	// escalate means that another model must answer.
	escalate
	// lost tries may have run and have no answer.
	lost
)

// attempts sends the request until it is answered.
func (x *exchange) attempts(ctx context.Context) {
	tried := kcset.New[string]()
	model, allFull := x.firstModel(), false
	for {
		if ctx.Err() != nil {
			x.fail(ctx, reasonTimeout, elsewhereMs)
			return
		}
		c, ok := x.choose(tried, model)
		if !ok {
			x.failChoice(ctx, allFull)
			return
		}
		tried.Add(c.ID)
		switch x.try(ctx, c, model) {
		case answered:
			return
		case escalate:
			model = x.route.Models[len(x.route.Models)-1]
			tried.Remove(c.ID)
		case again:
			allFull = allFull || x.sends[len(x.sends)-1].execution == notRun
			if x.sends[len(x.sends)-1].execution == notRun && !x.g.takeRepeat(x.service) {
				x.fail(ctx, reasonFull, fullRetryMs)
				return
			}
		case lost:
			if !x.mayRepeat() || !x.takeRepeat() {
				x.fail(ctx, reasonUnknown, 0)
				return
			}
			x.g.Metrics.CountRetry("lost")
		}
	}
}

// failChoice ends a request that no upstream can take.
func (x *exchange) failChoice(ctx context.Context, allFull bool) {
	switch {
	case x.permit.waitMs > 0:
		x.fail(ctx, reasonStopped, x.permit.waitMs)
	case allFull:
		x.fail(ctx, reasonFull, fullRetryMs)
	default:
		x.fail(ctx, reasonNoUpstream, fullRetryMs)
	}
}

// takeRepeat takes one more send from the retry budget, unless one was taken
// when the last try was given up.
func (x *exchange) takeRepeat() bool {
	if x.reserved {
		x.reserved = false
		return true
	}
	return x.g.takeRepeat(x.service)
}

// mayRepeat reports whether the request may run once more.
func (x *exchange) mayRepeat() bool {
	return x.route.SafeToRetry() && x.sends.runs() < x.route.MaxAttempts && x.left() > minLeftMs
}

func (x *exchange) left() kcclock.Millis { return x.deadline - x.g.Clock.Now() }

// choose takes an upstream of a version that may run the request.
func (x *exchange) choose(tried kcset.Set[string], model string) (*choice, bool) {
	have := x.g.Upstreams.versions(x.service)
	key := x.ask.Session
	if key == "" {
		key = x.ask.ID
	}
	x.permit = x.g.Orders.allow(x.service, key, have)
	x.g.Metrics.Count("versions." + x.permit.reason)
	c, ok := x.g.Upstreams.take(want{
		service: x.service, version: x.permit.allows,
		tried: tried, prompt: x.prompt(model), holdMs: x.holdMs(),
		part: func(version string) float64 { return x.g.Orders.part(x.service, version) },
	})
	if ok {
		x.g.Orders.enter(x.session(), c.Version, !x.entered)
		x.entered = true
	}
	return c, ok
}

// prompt returns what an engine has to read for the request.
func (x *exchange) prompt(model string) prompt {
	p := prompt{model: model, parts: x.ask.Parts, tokens: x.ask.PromptTokens}
	if p.tokens > 0 {
		p.msPerToken = x.g.paces.read(model)
	}
	// The last part belongs to the request or its session.
	if n := len(p.parts); n >= 2 {
		p.affinity = xxhash.Sum64String(p.parts[n-2].ID) | 1
	}
	return p
}

// holdMs returns about the time that the request keeps its place.
func (x *exchange) holdMs() float64 {
	if x.ask.PromptTokens > 0 {
		return engineHoldMs
	}
	return x.g.times.usually("answer/"+x.route.Name, plainHoldMs)
}

// try sends the request to one upstream and passes its answer on.
func (x *exchange) try(ctx context.Context, c *choice, model string) verdict {
	now := x.g.Clock.Now()
	x.sends = append(x.sends, x.newSend(c, model, now))
	x.slow, x.timed = false, false
	last := len(x.sends) - 1
	end := func(e execution, detail string) {
		s := &x.sends[last]
		s.execution, s.detail, s.tookMs = e, detail, x.g.Clock.Now()-now
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := x.watchSilence(c, model, cancel)
	resp, err := x.g.Pool.Do(ctx, c.Address, x.request(c, model, x.ask.LastEvent))
	watch()
	if err != nil {
		return x.sendFailed(ctx, c, err, end)
	}
	x.g.Upstreams.begun(c)
	head := x.g.Codec.Head(resp.Response)
	if head.HasLoad {
		x.g.Upstreams.report(c, head.Load)
	}
	if x.ask.PromptTokens > 0 && !head.NotRun && resp.StatusCode == http.StatusOK {
		took := x.g.Clock.Now() - now
		if n := x.ask.PromptTokens; n >= longPrompt {
			x.judge(c, "read/"+model, max(float64(took-firstMs), 0)/float64(n), engineSlow)
		}
		x.g.paces.learn(model, x.ask.PromptTokens, took)
	}
	if head.HasConfidence {
		x.sends[last].confidence = head.Confidence
	}
	switch {
	case head.NotRun:
		resp.Finish()
		end(notRun, itoa(resp.StatusCode))
		x.g.Upstreams.release(c, full)
		x.g.Metrics.CountRetry("notRun")
		return again
	case !genuine(resp, head):
		resp.Abort()
		end(maybeRan, "not the answer of the application")
		x.g.Upstreams.release(c, neutral)
		return lost
	case x.shouldEscalate(head, model):
		resp.Abort()
		end(ran, "weak")
		x.g.Upstreams.release(c, good)
		x.g.Upstreams.answered(c, false)
		x.count(c, false)
		x.g.Metrics.Count("cascade.escalated")
		return escalate
	}
	return x.pass(ctx, c, resp, end)
}

// genuine reports whether an answer can be the one of the application: a success
// bears its signature, and no body is encoded, because nobody asked for that.
func genuine(resp *kcconn.Response, head Head) bool {
	return resp.Header.Get("Content-Encoding") == "" && (head.Signed || resp.StatusCode >= http.StatusMultipleChoices)
}

// sendFailed classifies a send without an answer.
func (x *exchange) sendFailed(ctx context.Context, c *choice, err error, end func(execution, string)) verdict {
	var failure *kcconn.Error
	sent := !errors.As(err, &failure) || failure.MaybeSent
	callerLeft := x.r.Context().Err() != nil
	switch {
	case callerLeft:
		x.g.Upstreams.release(c, neutral)
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent):
		// The deadline may be too short for any upstream.
		x.g.Upstreams.release(c, neutral)
	default:
		x.g.Upstreams.release(c, failed)
		x.g.Upstreams.answered(c, true)
	}
	if !sent {
		end(notSent, err.Error())
		return again
	}
	end(maybeRan, err.Error())
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		x.g.Orders.count(x.service, c, x.route.Name, kcrollout.Slow, true)
	case ctx.Err() == nil && x.g.Upstreams.broke(c):
		x.count(c, true)
	}
	return lost
}

// couldRepeat reports whether another upstream could answer in place of the one
// that runs the request.
func (x *exchange) couldRepeat(c *choice) bool {
	return x.route.SafeToRetry() && x.sends.runs()+1 < x.route.MaxAttempts && c.candidates >= 2
}

// silenceWait returns the time after which a try without an answer is checked
// for signs of life of its upstream, or 0 if it may take as long as it likes.
func (x *exchange) silenceWait(c *choice, model string) kcclock.Millis {
	if !x.couldRepeat(c) || x.route.LatencyObjectiveMs <= 0 {
		return 0
	}
	part := plainSilentPart
	if x.route.Type == kctable.Streaming {
		part = silentPart
	}
	wait := kcclock.Millis(part * float64(x.route.LatencyObjectiveMs))
	if x.ask.PromptTokens > 0 {
		wait = max(wait, kcclock.Millis(silentPace*float64(x.g.paces.expect(model, x.ask.PromptTokens))))
	}
	return min(wait, x.left()/2)
}

// watchSilence ends a try whose upstream is silent on all connections, while
// another upstream could still answer in time. An upstream that answers others
// is busy, and the request keeps its place there. The result ends the watch.
func (x *exchange) watchSilence(c *choice, model string, cancel context.CancelCauseFunc) func() {
	wait := x.silenceWait(c, model)
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
			if x.g.Upstreams.silentFor(c) >= aliveMs && x.g.takeRepeat(x.service) {
				x.reserved = true
				cancel(errSilent)
				return
			}
			wait = aliveMs / 2
		}
	}()
	return func() {
		close(stop)
		<-ended
	}
}

func (x *exchange) session() sessionKey { return sessionKey{x.service, x.ask.Session} }

// newSend returns the record of a try that begins.
func (x *exchange) newSend(c *choice, model string, now kcclock.Millis) send {
	return send{upstream: c.ID, version: c.Version, model: model, load: c.load, permit: x.permit, at: now, confidence: -1}
}

// request returns the request as it is sent to an upstream.
func (x *exchange) request(c *choice, model string, lastEvent int64) *kcconn.Request {
	req := &kcconn.Request{
		Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Body: x.body, ID: x.ask.ID,
		Header: x.g.Codec.Dispatch(Dispatch{
			Ask: x.ask, Upstream: c.ID, Workspace: x.workspace, LeftMs: max(x.left(), 1),
			Model: model, LastEvent: lastEvent, Urgency: min(urgencyBase+x.rank, maxUrgency),
		}),
	}
	if !x.route.SafeToRetry() {
		req.MaxConnIdleMs = freshMs
	}
	return req
}

// count adds the outcome of a try to the evidence of an order.
func (x *exchange) count(c *choice, bad bool) {
	x.g.Orders.count(x.service, c, x.route.Name, kcrollout.Failure, bad)
	if !bad && x.timed {
		// The times are compared per model and route already.
		x.g.Orders.count(x.service, c, "", kcrollout.Slow, x.slow)
	}
}

// judge compares a time of the present try with the usual ones.
func (x *exchange) judge(c *choice, key string, v, factor float64) {
	slow, known := x.g.times.slow(key, v, factor)
	x.slow, x.timed = x.slow || slow, x.timed || known
	if !x.g.Orders.onTrial(x.service, c.Version) {
		x.g.times.learn(key, v)
	}
}

// isFailure reports whether a status tells of an error of the upstream.
func isFailure(status int) bool { return status >= http.StatusInternalServerError }
