package kcgate

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcconn"
	"github.com/kingcuprail/kingcuprail/internal/kcevent"
	"github.com/kingcuprail/kingcuprail/internal/kclatency"
	"github.com/kingcuprail/kingcuprail/internal/kcledger"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// maxBufferedBytes is the size up to which a response is read completely before
// it is forwarded, so that the caller does not notice if the upstream aborts the
// response.
const maxBufferedBytes = 512 << 10

// forwardResponse forwards a response to the caller.
func (x *exchange) forwardResponse(
	ctx context.Context, c *pickedUpstream, resp *kcconn.Response, finish func(execution, string),
) attemptResult {
	if x.route.Type == kctable.Streaming && resp.StatusCode == http.StatusOK {
		return x.forwardStream(ctx, c, resp, finish)
	}
	var body []byte
	whole := false
	err := x.limitBodyTime(ctx, c, resp)
	if err == nil {
		body, whole, err = kcledger.CallerOf(x.r.Context()).ReadAnswer(resp.Body, maxBufferedBytes)
	}
	if err == nil && whole {
		err = x.checkEnd(ctx, c, resp)
	}
	if err != nil {
		resp.Abort()
		finish(maybeRan, "body: "+err.Error()+resp.Path())
		x.releaseInterrupted(ctx, c, err)
		return resultNoAnswer
	}
	x.g.Upstreams.recordAnswer(c, isServerError(resp.StatusCode))
	if isServerError(resp.StatusCode) {
		finish(ran, itoa(resp.StatusCode))
		x.g.Upstreams.release(c, outcomeNeutral)
		x.recordOutcome(c, true)
		if x.mayRetry() && x.g.takeRetry(x.service) {
			resp.Finish()
			x.g.Metrics.CountRetry("failure")
			return resultRetry
		}
	} else {
		x.recordAnswerStart()
		took := x.g.Clock.Now() - x.attempts[len(x.attempts)-1].startedAt
		x.classifyLatency(c, "answer/"+x.route.Name, float64(took), kclatency.UnarySlowFactor)
		x.g.Upstreams.release(c, outcomeGood)
		x.recordOutcome(c, false)
	}
	x.copyHeader(resp)
	if whole {
		resp.Finish()
		x.writeHeader(resp.StatusCode, len(body))
		_, err = x.w.Write(body)
	} else {
		x.forwardLongBody(ctx, c, resp, body)
	}
	detail := itoa(resp.StatusCode) + resp.Path()
	if err != nil {
		detail += ", " + err.Error()
	}
	finish(ran, detail)
	return resultAnswered
}

// limitBodyTime limits the time for the body of a response if another upstream
// could answer. Half of the remaining time is left for that one.
func (x *exchange) limitBodyTime(ctx context.Context, c *pickedUpstream, resp *kcconn.Response) error {
	if !x.canRetryElsewhere(c) {
		return nil
	}
	x.keepWaiting(ctx, c, resp, x.pauseLimit())
	return resp.SetReadTimeout(max(x.remaining()/2, 0))
}

// forwardLongBody forwards a response as it arrives. read is the part that is
// already read.
func (x *exchange) forwardLongBody(ctx context.Context, c *pickedUpstream, resp *kcconn.Response, read []byte) {
	resp.OnReadTimeout(nil) // no other upstream can take over any more
	x.writeHeader(resp.StatusCode, int(resp.ContentLength))
	_, err := x.w.Write(read)
	if err == nil {
		err = resp.SetReadTimeout(max(x.remaining(), 0))
	}
	if err == nil {
		x.setTimeout(x.rc.SetWriteDeadline, x.remaining())
		_, err = io.Copy(x.w, resp.Body)
	}
	if err == nil {
		err = x.checkEnd(ctx, c, resp)
	}
	if err != nil {
		resp.Abort()
		x.reason = reasonTruncated
		panic(http.ErrAbortHandler)
	}
	resp.Finish()
}

func (x *exchange) copyHeader(resp *kcconn.Response) {
	h := x.w.Header()
	for k, v := range x.g.Codec.ForwardedHeader(resp.Header) {
		h[k] = v
	}
}

// releaseInterrupted releases an upstream whose response has broken off with an error.
func (x *exchange) releaseInterrupted(ctx context.Context, c *pickedUpstream, err error) {
	givenUp := ctx.Err() != nil && !errors.Is(context.Cause(ctx), errUpstreamSilent)
	if givenUp || errors.Is(err, kcconn.ErrPathEnded) {
		x.g.Upstreams.release(c, outcomeNeutral)
		return
	}
	x.g.Upstreams.release(c, outcomeFailed)
	x.g.Upstreams.recordAnswer(c, true)
	if x.g.Upstreams.recordInterruption(c) {
		x.recordOutcome(c, true)
	}
}

// stallFactor is the multiple of the permitted pause after which a stream without
// events is resumed at another upstream. An engine that preempts a request sends
// nothing for about one such pause.
const stallFactor = 2.5

// defaultPauseMs is the permitted pause of routes that configure none.
const defaultPauseMs = kcclock.Second

// pauseLimit returns the permitted pause between two events.
func (x *exchange) pauseLimit() kcclock.Millis {
	if x.route.MaxEventGapMs <= 0 {
		return defaultPauseMs
	}
	return x.route.MaxEventGapMs
}

// keepWaiting makes reads of a response that time out go on, step after step, until
// another upstream may take over the request. An upstream that is silent may be
// sound, and giving up its response without that would only lose it. The deadline of
// the request, or the caller that leaves, ends the wait.
func (x *exchange) keepWaiting(ctx context.Context, c *pickedUpstream, resp *kcconn.Response, step kcclock.Millis) {
	resp.OnReadTimeout(func() kcclock.Millis {
		if ctx.Err() != nil || x.reserveRetry(c) {
			return 0
		}
		return step
	})
}

// reserveRetry takes a retry from the budget if another upstream could run the
// request, and keeps it for the next attempt.
func (x *exchange) reserveRetry(c *pickedUpstream) bool {
	if !x.canRetryElsewhere(c) || !x.g.Upstreams.hasOther(x.criteria(kcset.New(c.ID))) {
		return false
	}
	x.retryReserved = x.retryReserved || x.g.takeRetry(x.service)
	return x.retryReserved
}

// forwardStream forwards events as they arrive, and resumes an interrupted stream
// at other upstreams.
func (x *exchange) forwardStream(
	ctx context.Context, c *pickedUpstream, resp *kcconn.Response, finish func(execution, string),
) attemptResult {
	last := x.meta.LastEventID
	interruption := x.relayEvents(ctx, c, resp, &last, &x.attempts[len(x.attempts)-1])
	switch {
	case interruption == nil:
		finish(ran, "events="+itoa(x.events)+resp.Path())
		x.g.Upstreams.release(c, outcomeGood)
		x.g.Upstreams.recordAnswer(c, false)
		x.recordOutcome(c, false)
		return resultAnswered
	case x.r.Context().Err() != nil || errors.Is(interruption, errCallerGone):
		finish(maybeRan, "caller left")
		x.g.Upstreams.release(c, outcomeNeutral)
		x.reason = reasonCallerLeft
		panic(http.ErrAbortHandler)
	}
	finish(maybeRan, interruption.Error()+resp.Path())
	x.releaseInterrupted(ctx, c, interruption)
	if !x.headerWritten {
		return resultNoAnswer
	}
	x.resumeStream(ctx, c, &last)
	return resultAnswered
}

// relayEvents copies events until the stream ends. It returns nil for a complete
// stream, and otherwise the cause of the interruption. last is the id of the last
// event that was forwarded, and a the attempt.
func (x *exchange) relayEvents(ctx context.Context, c *pickedUpstream, resp *kcconn.Response, last *int64, a *attempt) error {
	rd := kcevent.NewReader(resp.Body, *last, kcledger.CallerOf(x.r.Context()))
	defer rd.Release()
	readTimeout := kcclock.Millis(stallFactor * float64(x.pauseLimit()))
	x.keepWaiting(ctx, c, resp, x.pauseLimit())
	firstEventAt := kcclock.Millis(0)
	x.events = 0
	for {
		if rd.NonEventBytes == 0 {
			if err := resp.SetReadTimeout(readTimeout); err != nil && ctx.Err() == nil {
				resp.Abort()
				return err
			}
		}
		ev, err := rd.Next()
		if errors.Is(err, io.EOF) {
			if err := x.checkStreamEnd(ctx, c, resp, *last); err != nil {
				resp.Abort()
				return err
			}
			resp.Finish()
			x.startStream(resp)
			if x.events >= kclatency.MinPauseEvents && x.events < kclatency.PauseSampleEvents {
				x.classifyPause(c, a, firstEventAt)
			}
			return nil
		}
		if err == nil {
			err = ev.CheckSequence(*last)
		}
		if err != nil {
			resp.Abort()
			if ctx.Err() != nil {
				err = context.Cause(ctx)
			}
			return err
		}
		x.g.Upstreams.markActive(c)
		x.startStream(resp)
		x.countEvent(c, a, &firstEventAt)
		if err := x.writeEvent(ev.Raw); err != nil {
			resp.Abort()
			return err
		}
		if ev.HasID {
			*last = ev.ID
		}
	}
}

var errEmptyStream = errs.New("a stream without framing ended before its first event")

// checkEnd returns an error if the body of a response may be incomplete although its
// connection was closed cleanly.
func (x *exchange) checkEnd(ctx context.Context, c *pickedUpstream, resp *kcconn.Response) error {
	return resp.CheckEnd(ctx, x.table.HealthPaths[x.service], c.ID)
}

// checkStreamEnd does the same for a stream. last is the id of the last event that
// was forwarded, or -1.
func (x *exchange) checkStreamEnd(ctx context.Context, c *pickedUpstream, resp *kcconn.Response, last int64) error {
	if !resp.Framed() && x.events == 0 && last < 0 {
		return errEmptyStream
	}
	return x.checkEnd(ctx, c, resp)
}

// countEvent counts an event of an attempt, and records what the first ones tell.
func (x *exchange) countEvent(c *pickedUpstream, a *attempt, firstEventAt *kcclock.Millis) {
	switch x.events++; x.events {
	case 1:
		*firstEventAt = x.g.Clock.Now()
		a.progress = bodyStarted
		x.recordAnswerStart()
	case kclatency.PauseSampleEvents:
		x.classifyPause(c, a, *firstEventAt)
		x.recordSlow(c)
	}
}

// classifyPause compares the mean pause between the events of a stream with the usual
// one.
func (x *exchange) classifyPause(c *pickedUpstream, a *attempt, firstEventAt kcclock.Millis) {
	pause := float64(x.g.Clock.Now()-firstEventAt) / float64(x.events)
	x.classifyLatency(c, "pause/"+a.model, pause, kclatency.EngineSlowFactor)
}

// writeEvent sends an event to the caller.
func (x *exchange) writeEvent(raw []byte) error {
	x.setTimeout(x.rc.SetWriteDeadline, callerWriteTimeoutMs)
	_, err := x.w.Write(raw)
	if err == nil {
		err = x.rc.Flush()
	}
	if err != nil {
		return errs.New("%w: %v", errCallerGone, err)
	}
	return nil
}

// errCallerGone ends a stream whose caller does not read it.
var errCallerGone = errors.New("caller does not read the response")

// startStream writes the status and headers before the first event.
func (x *exchange) startStream(resp *kcconn.Response) {
	if x.headerWritten {
		return
	}
	x.copyHeader(resp)
	x.writeHeader(resp.StatusCode, -1)
	x.firstEventAt = x.g.Clock.Now()
}

// resumeStream continues a stream that was interrupted after a part of it was
// sent to the caller. The response keeps the headers of its first upstream.
func (x *exchange) resumeStream(ctx context.Context, c *pickedUpstream, last *int64) {
	tried := make(map[string]struct{})
	tried[c.ID] = struct{}{}
	model := x.attempts[len(x.attempts)-1].model
	for x.mayRetry() && ctx.Err() == nil && x.takeRetry() {
		next, ok := x.pickUpstream(tried, model)
		if !ok {
			break
		}
		tried[next.ID] = struct{}{}
		x.g.Metrics.CountRetry("resume")
		if x.resumeStreamAt(ctx, next, model, last) {
			return
		}
	}
	if x.r.Context().Err() != nil {
		x.reason = reasonCallerLeft
	} else {
		x.reason = reasonTruncated
	}
	panic(http.ErrAbortHandler)
}

// resumeStreamAt continues a stream at one upstream and reports whether it is
// complete.
func (x *exchange) resumeStreamAt(ctx context.Context, c *pickedUpstream, model string, last *int64) bool {
	now := x.g.Clock.Now()
	s := x.newAttempt(c, model, now)
	s.execution = maybeRan
	x.attemptSlow, x.attemptVerySlow, x.latencyKnown, x.slowRecorded = false, false, false, false
	defer func() {
		s.tookMs = x.g.Clock.Now() - now
		x.attempts = append(x.attempts, s)
	}()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	resp, err := x.g.Pool.Do(ctx, c.Address, x.upstreamRequest(c, model, *last))
	if err != nil {
		s.detail = err.Error()
		var failure *kcconn.Error
		if errors.As(err, &failure) && !failure.MaybeSent {
			s.execution = notSent
		}
		x.releaseInterrupted(ctx, c, err)
		return false
	}
	s.progress = headerOnly
	head := x.decodeResponse(c, resp)
	if head.NotRun || resp.StatusCode != http.StatusOK || !isApplicationResponse(resp, head) {
		resp.Abort()
		s.detail = itoa(resp.StatusCode)
		if head.NotRun {
			s.execution = notRun
		}
		x.g.Upstreams.release(c, outcomeNeutral)
		return false
	}
	if err := x.relayEvents(ctx, c, resp, last, &s); err != nil {
		s.detail = err.Error() + resp.Path()
		if errors.Is(err, errCallerGone) {
			x.g.Upstreams.release(c, outcomeNeutral)
			x.reason = reasonCallerLeft
			panic(http.ErrAbortHandler)
		}
		x.releaseInterrupted(ctx, c, err)
		return false
	}
	s.execution, s.detail = ran, "resumed to the end"+resp.Path()
	x.g.Upstreams.release(c, outcomeGood)
	return true
}
