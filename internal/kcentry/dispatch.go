package kcentry

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/internal/kcupstream"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Reasons for a repeat that are counted.
const (
	retryRunLost = "runLost"
	retryRefused = "upstreamRefused"
	retryFailed  = "upstreamFailed"
	retryHedged  = "hedged"
	// retryEscalated counts second steps of cascades.
	retryEscalated = "escalated"
)

// withDeadline returns a context that ends at the deadline of the request.
func (s *Server) withDeadline(ctx context.Context, ex *Exchange) (context.Context, context.CancelFunc) {
	return kcclock.WithTimeout(ctx, s.Clock, max(ex.Deadline-s.Clock.Now(), 1))
}

// dispatchChat sends the request to engines until one answers. Chat requests
// are idempotent, so an attempt that failed before the caller got any part of
// an answer may be repeated.
func (s *Server) dispatchChat(ctx context.Context, ex *Exchange) *kcapi.Error {
	ctx, cancel := s.withDeadline(ctx, ex)
	defer cancel()
	s.decisions.tryFirst()
	if refusal := s.await(ctx, ex, ex.plan.First); refusal != nil {
		return refusal
	}
	run := &chatRun{s: s, ex: ex, tried: kcset.New[string]()}
	for n := range s.Limits.Attempts {
		member, refusal := run.next(n)
		if refusal != nil {
			return refusal
		}
		if member.ID == "" {
			break
		}
		r := &relay{
			s: s, ex: ex, attempt: ex.ID + "-" + strconv.Itoa(n), version: ex.Version,
			hold: ex.held == nil && ex.plan.Second != "",
		}
		start := s.Clock.Now()
		run.last = s.attemptChat(ctx, r, kcupstream.Target{ID: member.ID, Addr: member.Addr})
		s.load.done(member.ID, cmp.Or(r.firstAt, s.Clock.Now())-start, chatResult(ctx, ex, run.last))
		if run.last == nil {
			return nil
		}
		if errors.Is(run.last, errNotPassed) {
			ex.held = r
			continue
		}
		if failure := s.finalFailure(ctx, ex, run.last); failure != nil || r.started {
			return run.fail(r, failure)
		}
	}
	return run.fail(nil, nil)
}

// chatRun is a request on its way through engines.
type chatRun struct {
	s     *Server
	ex    *Exchange
	tried kcset.Set[string]
	// last is the failure of the last dispatch.
	last error
}

// next sets the version of dispatch n and returns the engine for it. The
// engine has no id if there is none.
func (c *chatRun) next(n int) (kcmember.Member, *kcapi.Error) {
	s, ex := c.s, c.ex
	if n > 0 && !s.mayRepeat(c.last) {
		return kcmember.Member{}, nil
	}
	// The version is chosen anew before each dispatch, so that a withdrawal in
	// the meantime is seen.
	choice := s.pick(ex)
	switch {
	case ex.held != nil && !s.canEscalate(ex, choice):
		return kcmember.Member{}, nil
	case ex.held == nil && choice.Version == "":
		return kcmember.Member{}, routeError(choice.Code, ex)
	}
	ex.Version = ex.versionFor(choice)
	member, ok := s.engineFor(ex, ex.Version, c.tried)
	if !ok && errors.Is(c.last, kcupstream.ErrRunLost) {
		// A restarted engine that is the only one can run it again.
		member, ok = s.load.choose(s.Directory.Engines(ex.Version), selection{zone: s.Zone, patient: s.isPatient(ex)})
	}
	if !ok && n == 0 && len(s.Directory.Engines(ex.Version)) > 0 {
		return kcmember.Member{}, s.overloadedError(ex)
	}
	if !ok {
		return kcmember.Member{}, nil
	}
	c.tried.Add(member.ID)
	if n > 0 {
		s.Metrics.CountRetry(retryReason(c.last))
	}
	return member, nil
}

// fail ends a request that no further dispatch can help. The failure is that
// of the attempt r; both are nil if there is no attempt left.
func (c *chatRun) fail(r *relay, failure *kcapi.Error) *kcapi.Error {
	s, ex := c.s, c.ex
	started := r != nil && r.started
	if ex.held != nil && !started && (failure == nil || failure.Code != kcapi.CodeCallerLeft) {
		return s.deliverHeld(ex)
	}
	if r != nil {
		return s.cut(r, failure, c.last)
	}
	ex.Cause = c.last
	var refusal *kcapi.Error
	if errors.As(c.last, &refusal) {
		return refusal
	}
	return kcapi.NewError(http.StatusBadGateway, kcapi.CodeUpstreamFailed, ex.Execution,
		"no upstream gave an answer").WithRetryAfter(kcclock.Second)
}

// mayRepeat asks the retry budget. A dispatch that was refused by the rules
// and the second step of a cascade are no retries.
func (s *Server) mayRepeat(last error) bool {
	var refusal *kcapi.Error
	return errors.As(last, &refusal) || errors.Is(last, errNotPassed) || s.retry()
}

// retry takes a retry or hedge from the budget.
func (s *Server) retry() bool {
	if s.decisions.retry() {
		return true
	}
	s.Metrics.Count("retries.overBudget")
	return false
}

func retryReason(err error) string {
	var status *kcupstream.StatusError
	var refusal *kcapi.Error
	switch {
	case errors.Is(err, errNotPassed):
		return retryEscalated
	case errors.Is(err, kcupstream.ErrRunLost):
		return retryRunLost
	case errors.As(err, &refusal):
		return string(refusal.Code)
	case errors.As(err, &status):
		return retryRefused
	default:
		return retryFailed
	}
}

// finalFailure returns the failure if a repeat cannot help, or nil.
func (s *Server) finalFailure(ctx context.Context, ex *Exchange, err error) *kcapi.Error {
	var status *kcupstream.StatusError
	var refusal *kcapi.Error
	switch {
	case ex.W.err != nil || ex.R.Context().Err() != nil:
		return kcapi.NewError(kcapi.StatusCallerLeft, kcapi.CodeCallerLeft, ex.Execution,
			"the caller left or did not read the answer")
	case ctx.Err() != nil:
		return deadlineError(ex)
	case errors.Is(err, errAnswerTooLarge):
		// Another upstream would generate as much again.
		return kcapi.NewError(http.StatusBadGateway, kcapi.CodeUpstreamFailed, ex.Execution,
			"the answer is larger than "+strconv.FormatInt(s.Limits.MaxAnswerBytes, 10)+" bytes; ask for a stream")
	case errors.As(err, &status) && status.Status == http.StatusBadRequest:
		return kcapi.NewError(http.StatusBadRequest, kcapi.CodeInvalidRequest, ex.Execution,
			"the engine rejected the request: "+engineMessage(status.Body))
	case errors.As(err, &refusal) && refusal.Code != kcapi.CodeVersionWithdrawn:
		return refusal
	default:
		// If the version was withdrawn since it was chosen, another may do.
		return nil
	}
}

func deadlineError(ex *Exchange) *kcapi.Error {
	return kcapi.NewError(http.StatusGatewayTimeout, kcapi.CodeDeadlineExceeded, ex.Execution,
		"the deadline of the request has passed")
}

// cut ends a request that cannot be repeated. If a part of the answer has been
// passed on, the failure goes into the stream. The price is billed only if the
// caller left.
func (s *Server) cut(r *relay, failure *kcapi.Error, cause error) *kcapi.Error {
	r.ex.Cause = cause
	if !r.started {
		return failure
	}
	if failure == nil {
		failure = kcapi.NewError(http.StatusBadGateway, kcapi.CodeUpstreamFailed, r.ex.Execution,
			"the upstream failed in the middle of the answer")
	}
	if failure.Code == kcapi.CodeCallerLeft {
		s.closeBill(r.ex, r.ex.Price)
	}
	s.Metrics.Count("streams.cut")
	r.fail(failure)
	r.ex.Cut = failure
	return nil
}

// attemptChat returns nil once the whole answer has been passed on.
func (s *Server) attemptChat(ctx context.Context, r *relay, t kcupstream.Target) error {
	body, err := r.ex.Chat.UpstreamBody(r.ex.Version)
	if err != nil {
		return err
	}
	s.load.add(t.ID, 1)
	defer s.load.add(t.ID, -1)
	s.engines.add(t.ID, 1)
	defer s.engines.add(t.ID, -1)
	r.ex.markSent()
	if refusal := s.guard(r.ex); refusal != nil {
		return refusal
	}
	stream, sent, err := s.Upstream.Stream(ctx, t, r.attempt, body)
	if sent {
		r.ex.Execution = kcapi.Unknown
	}
	if err != nil {
		s.learn(r, err)
		return err
	}
	err = r.copy(ctx, stream)
	stream.Close(err == nil)
	passed := s.learn(r, err)
	if err != nil {
		return err
	}
	if !passed {
		return errNotPassed
	}
	if err := r.flush(); err != nil {
		return err
	}
	r.ex.Execution = kcapi.Completed
	if withheld := s.closeDelivered(ctx, r.ex); withheld != nil {
		return withheld
	}
	if err := r.finish(); err != nil {
		r.ex.Cause = err
	}
	return nil
}
