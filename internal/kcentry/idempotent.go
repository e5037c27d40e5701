package kcentry

import (
	"context"
	"net/http"

	"github.com/kingcuprail/kingcuprail/internal/kcretry"
	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/internal/kcupstream"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
)

// callIdempotent sends an idempotent call, with retries, until an upstream
// responds. After HedgeAfterMs without a response it sends a hedged call to a
// second upstream. All calls carry the same request id, and the first response
// cancels the others, so there is one response and one bill.
func (s *Server) callIdempotent(ctx context.Context, ex *Exchange, service string, op kcrules.Operation) *kcapi.Error {
	ctx, cancel := s.withDeadline(ctx, ex)
	defer cancel()
	r := &idempotentCall{
		s: s, ex: ex, service: service, call: s.newUpstreamCall(ex, op), triedUpstreams: kcset.New[string](),
		results: make(chan kcupstream.Result, s.Limits.MaxAttempts),
	}
	attrs := dispatchAttributesOf(ex)
	r.call.AllowRetry = func() bool {
		code, _ := s.AuthorizeDispatch(attrs)
		return code == ""
	}
	ex.recordDispatch()
	s.routingState.countFirstAttempt()
	r.startCall(ctx)
	var hedge <-chan struct{}
	if op.HedgeAfterMs > 0 {
		hedge = s.Clock.After(op.HedgeAfterMs)
	}
	for r.runningCalls > 0 {
		select {
		case res := <-r.results:
			r.runningCalls--
			if res.Sent {
				ex.Execution = kcapi.Unknown
			}
			if res.Err == nil && res.Status < http.StatusInternalServerError {
				return s.deliverServiceResponse(ctx, ex, res)
			}
			ex.Cause = res.Err
			if ctx.Err() == nil && s.acquireRetry() && r.startCall(ctx) {
				s.Metrics.CountRetry(retryFailed)
			}
		case <-hedge:
			hedge = nil
			if s.acquireRetry() && r.startCall(ctx) {
				s.Metrics.CountRetry(retryHedged)
			}
		}
	}
	if failure := s.terminalError(ctx, ex, nil, false); failure != nil {
		return failure
	}
	if r.refusal != nil {
		r.refusal.Execution = ex.Execution
		return r.refusal
	}
	return serviceError(ex, "no upstream of service "+service+" answered")
}

// deliverServiceResponse sends the response to the caller once its bill is
// durable.
func (s *Server) deliverServiceResponse(ctx context.Context, ex *Exchange, res kcupstream.Result) *kcapi.Error {
	ex.Execution = kcapi.Completed
	if withheld := s.closeDeliveredBill(ctx, ex); withheld != nil {
		return withheld
	}
	writeResponse(ex, res.Status, res.ContentType, res.Body)
	return nil
}

// idempotentCall holds the state of the calls of one idempotent request.
type idempotentCall struct {
	s              *Server
	ex             *Exchange
	service        string
	call           kcupstream.Call
	triedUpstreams kcset.Set[string]
	// results is buffered for every call, so that the goroutine of a call that is
	// no longer awaited does not leak.
	results      chan kcupstream.Result
	startedCalls int
	runningCalls int
	// refusal is set once the rules no longer permit a call, or if no upstream
	// admits the first one.
	refusal *kcapi.Error
}

// startCall starts another call if the limit on attempts permits it and an
// upstream that was not tried yet admits it.
func (r *idempotentCall) startCall(ctx context.Context) bool {
	if r.startedCalls == r.s.Limits.MaxAttempts {
		return false
	}
	s, members := r.s, r.s.Directory.Services(r.service)
	member, ok := s.upstreamLoad.selectUpstream(members, selectionCriteria{
		zone: s.Zone, excluded: r.triedUpstreams, delayTolerant: s.isDelayTolerant(r.ex),
	})
	if !ok {
		if r.startedCalls == 0 && len(members) > 0 {
			r.refusal = s.overloadedError(r.ex)
		}
		return false
	}
	start := s.Clock.Now()
	if r.refusal = s.authorizeDispatch(r.ex); r.refusal != nil {
		s.upstreamLoad.done(member.ID, 0, kcretry.Unfinished)
		return false
	}
	r.triedUpstreams.Add(member.ID)
	r.startedCalls++
	r.runningCalls++
	go func() { r.results <- s.sendCall(ctx, r.ex, member, r.call, start) }()
	return true
}
