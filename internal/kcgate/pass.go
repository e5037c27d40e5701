package kcgate

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/zeebo/errs"

	"github.com/kingcuprail/kingcuprail/internal/kcconn"
	"github.com/kingcuprail/kingcuprail/internal/kctable"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// maxHeldBytes is the largest answer that is read whole before it is passed
// on. An upstream that breaks off is then not seen by the caller.
const maxHeldBytes = 512 << 10

// pass passes an answer on.
func (x *exchange) pass(ctx context.Context, c *choice, resp *kcconn.Response, end func(execution, string)) verdict {
	if x.route.Type == kctable.Streaming && resp.StatusCode == http.StatusOK {
		return x.passStream(ctx, c, resp, end)
	}
	var body []byte
	err := x.boundBody(c, resp)
	if err == nil {
		body, err = io.ReadAll(io.LimitReader(resp.Body, maxHeldBytes+1))
	}
	if err != nil {
		resp.Abort()
		end(maybeRan, "body: "+err.Error())
		x.releaseBroken(ctx, c)
		return lost
	}
	x.g.Upstreams.answered(c, isFailure(resp.StatusCode))
	if isFailure(resp.StatusCode) {
		end(ran, itoa(resp.StatusCode))
		x.g.Upstreams.release(c, neutral)
		x.count(c, true)
		if x.mayRepeat() && x.g.takeRepeat(x.service) {
			resp.Finish()
			x.g.Metrics.CountRetry("failure")
			return again
		}
	} else {
		took := x.g.Clock.Now() - x.sends[len(x.sends)-1].at
		x.judge(c, "answer/"+x.route.Name, float64(took), plainSlow)
		x.g.Upstreams.release(c, good)
		x.count(c, false)
	}
	x.copyHead(resp)
	if len(body) <= maxHeldBytes {
		resp.Finish()
		x.writeHead(resp.StatusCode, len(body))
		_, err = x.w.Write(body)
	} else {
		x.passLong(resp, body)
	}
	detail := itoa(resp.StatusCode)
	if err != nil {
		detail += ", " + err.Error()
	}
	end(ran, detail)
	return answered
}

// boundBody limits the time in which the body of an answer arrives, where another
// upstream could answer: half of the time that is left remains for that one.
func (x *exchange) boundBody(c *choice, resp *kcconn.Response) error {
	if !x.couldRepeat(c) {
		return nil
	}
	return resp.SetReadTimeout(max(x.left()/2, 0))
}

// passLong passes an answer on as it arrives.
func (x *exchange) passLong(resp *kcconn.Response, read []byte) {
	x.writeHead(resp.StatusCode, int(resp.ContentLength))
	_, err := x.w.Write(read)
	if err == nil {
		err = resp.SetReadTimeout(max(x.left(), 0))
	}
	if err == nil {
		x.bound(x.rc.SetWriteDeadline, x.left())
		_, err = io.Copy(x.w, resp.Body)
	}
	if err != nil {
		resp.Abort()
		x.reason = reasonCutOff
		panic(http.ErrAbortHandler)
	}
	resp.Finish()
}

func (x *exchange) copyHead(resp *kcconn.Response) {
	h := x.w.Header()
	for k, v := range x.g.Codec.Pass(resp.Header) {
		h[k] = v
	}
}

// releaseBroken ends the use of an upstream that broke off its answer.
func (x *exchange) releaseBroken(ctx context.Context, c *choice) {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent) {
		x.g.Upstreams.release(c, neutral)
		return
	}
	x.g.Upstreams.release(c, failed)
	x.g.Upstreams.answered(c, true)
	if x.g.Upstreams.broke(c) {
		x.count(c, true)
	}
}

// gapPart is the number of permitted pauses after which a stream without
// events is resumed elsewhere. A runner that preempts a request is silent for
// about one.
const gapPart = 2.5

// defaultGapMs is the permitted pause of routes that state none.
const defaultGapMs = kcclock.Second

func (x *exchange) gapMs() kcclock.Millis {
	gap := x.route.MaxEventGapMs
	if gap <= 0 {
		gap = defaultGapMs
	}
	return kcclock.Millis(gapPart * float64(gap))
}

// passStream passes events on as they arrive, and resumes the stream at other
// upstreams if it breaks off.
func (x *exchange) passStream(ctx context.Context, c *choice, resp *kcconn.Response, end func(execution, string)) verdict {
	last := x.ask.LastEvent
	broken := x.relay(ctx, c, resp, &last)
	switch {
	case broken == nil:
		end(ran, "events="+itoa(x.events))
		x.g.Upstreams.release(c, good)
		x.g.Upstreams.answered(c, false)
		x.count(c, false)
		return answered
	case x.r.Context().Err() != nil || errors.Is(broken, errCallerGone):
		end(maybeRan, "caller left")
		x.g.Upstreams.release(c, neutral)
		x.reason = reasonCallerLeft
		panic(http.ErrAbortHandler)
	}
	end(maybeRan, broken.Error())
	x.releaseBroken(ctx, c)
	if !x.started {
		return lost
	}
	x.resume(ctx, c, &last)
	return answered
}

// relay copies events until the stream ends. It returns nil for a whole
// stream, and otherwise how it broke off. last is the id of the last event
// that was passed on.
func (x *exchange) relay(ctx context.Context, c *choice, resp *kcconn.Response, last *int64) error {
	rd := newEventReader(resp.Body)
	gap := x.gapMs()
	began := kcclock.Millis(0)
	x.events = 0
	for {
		if rd.noise == 0 {
			if err := resp.SetReadTimeout(gap); err != nil && ctx.Err() == nil {
				resp.Abort()
				return err
			}
		}
		ev, err := rd.next()
		if errors.Is(err, io.EOF) {
			resp.Finish()
			x.startStream(resp)
			if x.events >= minEvents {
				pause := float64(x.g.Clock.Now()-began) / float64(x.events)
				x.judge(c, "pause/"+x.sends[len(x.sends)-1].model, pause, engineSlow)
			}
			return nil
		}
		if err == nil {
			err = ev.follows(*last)
		}
		if err != nil {
			resp.Abort()
			if ctx.Err() != nil {
				err = context.Cause(ctx)
			}
			return err
		}
		x.g.Upstreams.alive(c)
		x.startStream(resp)
		if x.events++; x.events == 1 {
			began = x.g.Clock.Now()
		}
		if err := x.send(ev.raw); err != nil {
			resp.Abort()
			return err
		}
		if ev.hasID {
			*last = ev.id
		}
	}
}

// send passes an event to the caller.
func (x *exchange) send(raw []byte) error {
	x.bound(x.rc.SetWriteDeadline, writeMs)
	_, err := x.w.Write(raw)
	if err == nil {
		err = x.rc.Flush()
	}
	if err != nil {
		return errs.New("%w: %v", errCallerGone, err)
	}
	return nil
}

// errCallerGone ends a stream whose caller does not take it.
var errCallerGone = errors.New("the caller does not read")

// startStream writes the head of the answer before the first event.
func (x *exchange) startStream(resp *kcconn.Response) {
	if x.started {
		return
	}
	x.copyHead(resp)
	x.writeHead(resp.StatusCode, -1)
	x.firstEvent = x.g.Clock.Now()
}

// resume continues a stream that broke off after a part of it went out. The
// answer keeps the head of its first upstream.
func (x *exchange) resume(ctx context.Context, c *choice, last *int64) {
	tried := make(map[string]struct{})
	tried[c.ID] = struct{}{}
	model := x.sends[len(x.sends)-1].model
	for x.mayRepeat() && ctx.Err() == nil && x.g.takeRepeat(x.service) {
		next, ok := x.choose(tried, model)
		if !ok {
			break
		}
		tried[next.ID] = struct{}{}
		x.g.Metrics.CountRetry("resume")
		if x.resumeAt(ctx, next, model, last) {
			return
		}
	}
	if x.r.Context().Err() != nil {
		x.reason = reasonCallerLeft
	} else {
		x.reason = reasonCutOff
	}
	panic(http.ErrAbortHandler)
}

// resumeAt continues a stream at one upstream and reports whether it came to
// its end.
func (x *exchange) resumeAt(ctx context.Context, c *choice, model string, last *int64) bool {
	now := x.g.Clock.Now()
	s := x.newSend(c, model, now)
	s.execution = maybeRan
	defer func() {
		s.tookMs = x.g.Clock.Now() - now
		x.sends = append(x.sends, s)
	}()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	resp, err := x.g.Pool.Do(ctx, c.Address, x.request(c, model, *last))
	if err != nil {
		s.detail = err.Error()
		var failure *kcconn.Error
		if errors.As(err, &failure) && !failure.MaybeSent {
			s.execution = notSent
		}
		x.releaseBroken(ctx, c)
		return false
	}
	head := x.g.Codec.Head(resp.Response)
	if head.NotRun || resp.StatusCode != http.StatusOK || !genuine(resp, head) {
		resp.Abort()
		s.detail = itoa(resp.StatusCode)
		if head.NotRun {
			s.execution = notRun
		}
		x.g.Upstreams.release(c, neutral)
		return false
	}
	if err := x.relay(ctx, c, resp, last); err != nil {
		s.detail = err.Error()
		if errors.Is(err, errCallerGone) {
			x.g.Upstreams.release(c, neutral)
			x.reason = reasonCallerLeft
			panic(http.ErrAbortHandler)
		}
		x.releaseBroken(ctx, c)
		return false
	}
	s.execution, s.detail = ran, "resumed to the end"
	x.g.Upstreams.release(c, good)
	return true
}
