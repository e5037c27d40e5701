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
	s.routingState.countFirstAttempt()
	if refusal := s.awaitCapacity(ctx, ex, ex.plan.First); refusal != nil {
		return refusal
	}
	dispatch := &chatDispatch{s: s, ex: ex, triedEngines: kcset.New[string]()}
	for n := range s.Limits.MaxAttempts {
		member, refusal := dispatch.nextEngine(n)
		if refusal != nil {
			return refusal
		}
		if member.ID == "" {
			break
		}
		r := &relay{
			s: s, ex: ex, attemptID: ex.ID + "-" + strconv.Itoa(n), version: ex.Version,
			holdUntilChecked: ex.rejectedFirst == nil && ex.plan.Second != "",
		}
		start := s.Clock.Now()
		dispatch.lastErr = s.attemptChat(ctx, r, kcupstream.Target{ID: member.ID, Addr: member.Addr})
		s.upstreamLoad.done(member.ID, cmp.Or(r.firstEventAt, s.Clock.Now())-start, classifyChatResult(ctx, ex, dispatch.lastErr))
		if dispatch.lastErr == nil {
			return nil
		}
		if errors.Is(dispatch.lastErr, errCheckFailed) {
			ex.rejectedFirst = r
			continue
		}
		if failure := s.terminalError(ctx, ex, dispatch.lastErr); failure != nil || r.started {
			return dispatch.fail(r, failure)
		}
	}
	return dispatch.fail(nil, nil)
}

// chatDispatch is a request on its way through engines.
type chatDispatch struct {
	s            *Server
	ex           *Exchange
	triedEngines kcset.Set[string]
	// last is the failure of the last dispatch.
	lastErr error
}

// next sets the version of dispatch n and returns the engine for it. The
// engine has no id if there is none.
func (c *chatDispatch) nextEngine(n int) (kcmember.Member, *kcapi.Error) {
	s, ex := c.s, c.ex
	if n > 0 && !s.mayRetry(c.lastErr) {
		return kcmember.Member{}, nil
	}
	// The version is chosen anew before each dispatch, so that a withdrawal in
	// the meantime is seen.
	choice := s.chooseRoute(ex)
	switch {
	case ex.rejectedFirst != nil && !s.canEscalate(ex, choice):
		return kcmember.Member{}, nil
	case ex.rejectedFirst == nil && choice.Version == "":
		return kcmember.Member{}, routeError(choice.Code, ex)
	}
	ex.Version = ex.nextVersion(choice)
	member, ok := s.selectEngine(ex, ex.Version, c.triedEngines)
	if !ok && errors.Is(c.lastErr, kcupstream.ErrRunLost) {
		// A restarted engine that is the only one can run it again.
		member, ok = s.upstreamLoad.selectUpstream(s.Directory.Engines(ex.Version), selectionCriteria{zone: s.Zone, delayTolerant: s.isDelayTolerant(ex)})
	}
	if !ok && n == 0 && len(s.Directory.Engines(ex.Version)) > 0 {
		return kcmember.Member{}, s.overloadedError(ex)
	}
	if !ok {
		return kcmember.Member{}, nil
	}
	c.triedEngines.Add(member.ID)
	if n > 0 {
		s.Metrics.Retried(retryReason(c.lastErr))
	}
	return member, nil
}

// fail ends a request that no further dispatch can help. The failure is that
// of the attempt r; both are nil if there is no attempt left.
func (c *chatDispatch) fail(r *relay, failure *kcapi.Error) *kcapi.Error {
	s, ex := c.s, c.ex
	started := r != nil && r.started
	if ex.rejectedFirst != nil && !started && (failure == nil || failure.Code != kcapi.CodeCallerLeft) {
		return s.deliverRejectedFirst(ex)
	}
	if r != nil {
		return s.abortResponse(r, failure, c.lastErr)
	}
	ex.Cause = c.lastErr
	var refusal *kcapi.Error
	if errors.As(c.lastErr, &refusal) {
		return refusal
	}
	return kcapi.NewError(http.StatusBadGateway, kcapi.CodeUpstreamFailed, ex.Execution,
		"no upstream gave an answer").WithRetryAfter(kcclock.Second)
}

// mayRetry asks the retry budget. A dispatch that was refused by the rules
// and the second step of a cascade are no retries.
func (s *Server) mayRetry(last error) bool {
	var refusal *kcapi.Error
	return errors.As(last, &refusal) || errors.Is(last, errCheckFailed) || s.acquireRetry()
}

// retry takes a retry or hedge from the budget.
func (s *Server) acquireRetry() bool {
	if s.routingState.acquireRetry() {
		return true
	}
	s.Metrics.Count("retries.overBudget")
	return false
}

func retryReason(err error) string {
	var status *kcupstream.StatusError
	var refusal *kcapi.Error
	switch {
	case errors.Is(err, errCheckFailed):
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

// terminalError returns the failure if a repeat cannot help, or nil.
func (s *Server) terminalError(ctx context.Context, ex *Exchange, err error) *kcapi.Error {
	var status *kcupstream.StatusError
	var refusal *kcapi.Error
	switch {
	case ex.W.writeErr != nil || ex.R.Context().Err() != nil:
		return kcapi.NewError(kcapi.StatusCallerLeft, kcapi.CodeCallerLeft, ex.Execution,
			"the caller left or did not read the answer")
	case ctx.Err() != nil:
		return deadlineError(ex)
	case errors.Is(err, errResponseTooLarge):
		// Another upstream would generate as much again.
		return kcapi.NewError(http.StatusBadGateway, kcapi.CodeUpstreamFailed, ex.Execution,
			"the answer is larger than "+strconv.FormatInt(s.Limits.MaxResponseBytes, 10)+" bytes; ask for a stream")
	case errors.As(err, &status) && status.Status == http.StatusBadRequest:
		return kcapi.NewError(http.StatusBadRequest, kcapi.CodeInvalidRequest, ex.Execution,
			"the engine rejected the request: "+engineErrorMessage(status.Body))
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
func (s *Server) abortResponse(r *relay, failure *kcapi.Error, cause error) *kcapi.Error {
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
	r.writeErrorEvent(failure)
	r.ex.StreamError = failure
	return nil
}

// attemptChat returns nil once the whole answer has been passed on.
func (s *Server) attemptChat(ctx context.Context, r *relay, t kcupstream.Target) error {
	body, err := r.ex.Chat.UpstreamBody(r.ex.Version)
	if err != nil {
		return err
	}
	s.upstreamLoad.addInFlight(t.ID, 1)
	defer s.upstreamLoad.addInFlight(t.ID, -1)
	s.enginePools.addInFlight(t.ID, 1)
	defer s.enginePools.addInFlight(t.ID, -1)
	r.ex.recordDispatch()
	if refusal := s.authorizeDispatch(r.ex); refusal != nil {
		return refusal
	}
	stream, sent, err := s.UpstreamClient.Stream(ctx, t, r.attemptID, body)
	if sent {
		r.ex.Execution = kcapi.Unknown
	}
	if err != nil {
		s.evaluateAttempt(r, err)
		return err
	}
	err = r.copyStream(ctx, stream)
	stream.Close(err == nil)
	passed := s.evaluateAttempt(r, err)
	if err != nil {
		return err
	}
	if !passed {
		return errCheckFailed
	}
	if err := r.flushHeld(); err != nil {
		return err
	}
	r.ex.Execution = kcapi.Completed
	if withheld := s.closeDeliveredBill(ctx, r.ex); withheld != nil {
		return withheld
	}
	if err := r.finishResponse(); err != nil {
		r.ex.Cause = err
	}
	return nil
}
