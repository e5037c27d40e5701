package kcentry

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/kingcuprail/kingcuprail/internal/kcledger"
	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/internal/kcupstream"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Reasons for a further dispatch, as labels of the retry metric.
const (
	retryRunLost = "runLost"
	retryRefused = "upstreamRefused"
	retryFailed  = "upstreamFailed"
	retryHedged  = "hedged"
	// retryEscalated is the dispatch to the second version of a cascade.
	retryEscalated = "escalated"
)

// withDeadline returns a context that expires at the deadline of the request.
func (s *Server) withDeadline(ctx context.Context, ex *Exchange) (context.Context, context.CancelFunc) {
	return kcclock.WithTimeout(ctx, s.Clock, max(ex.Deadline-s.Clock.Now(), 1))
}

// dispatchChat sends the request to engines until one returns a complete
// response. Chat requests are idempotent, so an attempt that failed before any
// part of the response was sent to the caller can be retried.
func (s *Server) dispatchChat(ctx context.Context, ex *Exchange) *kcapi.Error {
	ctx, cancel := s.withDeadline(ctx, ex)
	defer cancel()
	s.routingState.countFirstAttempt()
	dispatch := &chatDispatch{s: s, ex: ex, triedEngines: kcset.New[string](), quarantine: s.newChatQuarantine(ex)}
	if refusal := dispatch.quarantine.check(); refusal != nil {
		return refusal
	}
	if refusal := s.awaitCapacity(ctx, ex, ex.plan.First); refusal != nil {
		return refusal
	}
	defer dispatch.quarantine.end()
	for n := range s.Limits.MaxAttempts {
		if refusal := dispatch.quarantine.await(ctx); refusal != nil {
			dispatch.lastErr = refusal
			break
		}
		member, refusal := dispatch.nextEngine(n)
		if refusal != nil {
			return refusal
		}
		if member.ID == "" {
			break
		}
		r := &relay{
			s: s, ex: ex, attemptID: ex.upstreamID() + "-" + strconv.Itoa(n), version: ex.Version,
			holdUntilChecked: ex.rejectedFirst == nil && ex.plan.Second != "",
			onFirstEvent:     dispatch.quarantine.recordAnswer,
		}
		start := s.Clock.Now()
		dispatch.lastErr = s.attemptChat(ctx, r, kcupstream.Target{ID: member.ID, Addr: member.Addr})
		s.upstreamLoad.done(member.ID, cmp.Or(r.firstEventAt, s.Clock.Now())-start, classifyChatResult(ctx, ex, dispatch.lastErr))
		if dispatch.lastErr == nil {
			return nil
		}
		dispatch.quarantine.recordFailure(ctx, r, member, dispatch.lastErr)
		if errors.Is(dispatch.lastErr, errCheckFailed) {
			ex.rejectedFirst = r
			continue
		}
		if failure := s.terminalError(ctx, ex, dispatch.lastErr, r.started); failure != nil || r.started {
			return dispatch.fail(r, failure)
		}
		if dispatch.quarantine.onTrial {
			break
		}
	}
	return dispatch.fail(nil, nil)
}

// chatDispatch holds the state of the dispatches of one chat request.
type chatDispatch struct {
	s            *Server
	ex           *Exchange
	triedEngines kcset.Set[string]
	quarantine   *chatQuarantine
	// lastErr is the error of the last dispatch.
	lastErr error
}

// nextEngine sets the version for dispatch n and returns the engine for it. The
// returned member has an empty id if no further dispatch is possible.
func (c *chatDispatch) nextEngine(n int) (kcmember.Member, *kcapi.Error) {
	s, ex := c.s, c.ex
	if n > 0 && !s.mayRetry(c.lastErr) {
		return kcmember.Member{}, nil
	}
	// The version is chosen again before each dispatch, so that a version
	// withdrawn in the meantime is not used.
	choice := s.chooseRoute(ex)
	switch {
	case ex.rejectedFirst != nil && !s.canEscalate(ex, choice):
		return kcmember.Member{}, nil
	case ex.rejectedFirst == nil && choice.Version == "":
		return kcmember.Member{}, routeError(choice.Code, ex)
	}
	ex.Version = ex.nextVersion(choice)
	member, ok := s.selectEngine(ex, ex.Version, c.triedEngines)
	if !ok && errors.Is(c.lastErr, kcupstream.ErrUnknownRequest) {
		// If the only engine restarted and lost the run, it can run the request again.
		member, ok = s.upstreamLoad.selectUpstream(s.Directory.Engines(ex.Version), selectionCriteria{
			zone: s.Zone, delayTolerant: s.isDelayTolerant(ex),
		})
	}
	if !ok && n == 0 && len(s.Directory.Engines(ex.Version)) > 0 {
		return kcmember.Member{}, s.overloadedError(ex)
	}
	if !ok {
		return kcmember.Member{}, nil
	}
	c.triedEngines.Add(member.ID)
	if n > 0 {
		s.Metrics.CountRetry(retryReason(c.lastErr))
	}
	return member, nil
}

// fail ends a request for which no further dispatch is possible. failure is the
// terminal error of attempt r; both are nil if the attempts are exhausted. A
// held response of the first cascade step is delivered instead of an error if
// nothing was sent yet and the caller is still connected.
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

// mayRetry reports whether another dispatch is permitted, and takes it from the
// retry budget. A dispatch that the rules rejected and the second step of a
// cascade do not count as retries.
func (s *Server) mayRetry(last error) bool {
	var refusal *kcapi.Error
	return errors.As(last, &refusal) || errors.Is(last, errCheckFailed) || s.acquireRetry()
}

// acquireRetry takes a retry or a hedged call from the retry budget.
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
	case errors.Is(err, kcupstream.ErrUnknownRequest):
		return retryRunLost
	case errors.As(err, &refusal):
		return string(refusal.Code)
	case errors.As(err, &status):
		return retryRefused
	default:
		return retryFailed
	}
}

// terminalError returns the error for the caller if another dispatch cannot
// succeed, or nil if a retry is possible. started is true if a part of the response
// was sent: the engine has accepted the request then, and an error that it returns
// to a resume is not about the request.
func (s *Server) terminalError(ctx context.Context, ex *Exchange, err error, started bool) *kcapi.Error {
	var status *kcupstream.StatusError
	var refusal *kcapi.Error
	switch {
	case ex.W.writeErr != nil || ex.R.Context().Err() != nil:
		return kcapi.NewError(kcapi.StatusCallerLeft, kcapi.CodeCallerLeft, ex.Execution,
			"the caller left or did not read the answer")
	case errors.Is(context.Cause(ctx), errStopping):
		return stoppingError(ex)
	case ctx.Err() != nil:
		return deadlineError(ex)
	case errors.Is(err, errResponseTooLarge):
		// Another upstream would generate a response of the same size.
		return kcapi.NewError(http.StatusBadGateway, kcapi.CodeUpstreamFailed, ex.Execution,
			"the answer is larger than "+strconv.FormatInt(s.Limits.MaxResponseBytes, 10)+" bytes; ask for a stream")
	case errors.Is(err, kcledger.ErrShort):
		return kcapi.NewError(http.StatusBadGateway, kcapi.CodeUpstreamFailed, ex.Execution,
			"the instance has no memory left for the answer").WithRetryAfter(memoryRetryMs)
	case errors.As(err, &status) && status.Status == http.StatusBadRequest && !started:
		return kcapi.NewError(http.StatusBadRequest, kcapi.CodeInvalidRequest, ex.Execution,
			"the engine rejected the request: "+engineErrorMessage(status.Body))
	case errors.As(err, &refusal) && refusal.Code != kcapi.CodeVersionWithdrawn:
		return refusal
	default:
		// If the version was withdrawn after it was chosen, another version can
		// still serve the request.
		return nil
	}
}

func deadlineError(ex *Exchange) *kcapi.Error {
	return kcapi.NewError(http.StatusGatewayTimeout, kcapi.CodeDeadlineExceeded, ex.Execution,
		"the deadline of the request has passed")
}

// abortResponse ends a request that cannot be retried. If part of the response
// was already sent, the error is sent as an event of the stream. The price is
// billed only if the caller disconnected.
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

// attemptChat runs one attempt on engine t. It returns nil once the complete
// response has been sent to the caller.
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
	r.headerArrived = true
	err = r.copyStream(ctx, stream)
	stream.Close(err == nil)
	passed := s.evaluateAttempt(r, err)
	if err != nil {
		r.releaseCharge()
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
