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

// callRepeatable sends an idempotent call until one upstream answers. After
// HedgeAfterMs without an answer it sends the call to a second upstream as
// well. All calls carry the id of the request, and the first answer ends the
// others, so that there is one answer and one bill.
func (s *Server) callRepeatable(ctx context.Context, ex *Exchange, service string, op kcrules.Operation) *kcapi.Error {
	ctx, cancel := s.withDeadline(ctx, ex)
	defer cancel()
	r := &repeater{
		s: s, ex: ex, service: service, call: s.callOf(ex, op), tried: kcset.New[string](),
		results: make(chan kcupstream.Result, s.Limits.Attempts),
	}
	work := workOf(ex)
	r.call.Again = func() bool {
		code, _ := s.Guard(work)
		return code == ""
	}
	ex.markSent()
	s.decisions.tryFirst()
	r.launch(ctx)
	var hedge <-chan struct{}
	if op.HedgeAfterMs > 0 {
		hedge = s.Clock.After(op.HedgeAfterMs)
	}
	for r.running > 0 {
		select {
		case res := <-r.results:
			r.running--
			if res.Sent {
				ex.Execution = kcapi.Unknown
			}
			if res.Err == nil && res.Status < http.StatusInternalServerError {
				return s.deliver(ctx, ex, res)
			}
			ex.Cause = res.Err
			if ctx.Err() == nil && s.retry() && r.launch(ctx) {
				s.Metrics.CountRetry(retryFailed)
			}
		case <-hedge:
			hedge = nil
			if s.retry() && r.launch(ctx) {
				s.Metrics.CountRetry(retryHedged)
			}
		}
	}
	if failure := s.finalFailure(ctx, ex, nil); failure != nil {
		return failure
	}
	if r.refusal != nil {
		r.refusal.Execution = ex.Execution
		return r.refusal
	}
	return serviceError(ex, "no upstream of service "+service+" answered")
}

// deliver passes the answer on once its bill is safe.
func (s *Server) deliver(ctx context.Context, ex *Exchange, res kcupstream.Result) *kcapi.Error {
	ex.Execution = kcapi.Completed
	if withheld := s.closeDelivered(ctx, ex); withheld != nil {
		return withheld
	}
	writeAnswer(ex, res.Status, res.ContentType, res.Body)
	return nil
}

// repeater starts the calls of one request.
type repeater struct {
	s       *Server
	ex      *Exchange
	service string
	call    kcupstream.Call
	tried   kcset.Set[string]
	// results has room for every call, so that a call that lost ends without a
	// reader.
	results chan kcupstream.Result
	started int
	running int
	// refusal is set once the rules no longer permit a call, or if no upstream
	// can take the first one.
	refusal *kcapi.Error
}

// launch starts one more call if the limit allows it and an untried upstream
// is live.
func (r *repeater) launch(ctx context.Context) bool {
	if r.started == r.s.Limits.Attempts {
		return false
	}
	s, members := r.s, r.s.Directory.Services(r.service)
	member, ok := s.load.choose(members, selection{zone: s.Zone, tried: r.tried, patient: s.isPatient(r.ex)})
	if !ok {
		if r.started == 0 && len(members) > 0 {
			r.refusal = s.overloadedError(r.ex)
		}
		return false
	}
	start := s.Clock.Now()
	if r.refusal = s.guard(r.ex); r.refusal != nil {
		s.load.done(member.ID, 0, kcretry.Unfinished)
		return false
	}
	r.tried.Add(member.ID)
	r.started++
	r.running++
	go func() { r.results <- s.send(ctx, r.ex, member, r.call, start) }()
	return true
}
