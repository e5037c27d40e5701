package kcentry

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/kingcuprail/kingcuprail/internal/kcclaim"
	"github.com/kingcuprail/kingcuprail/internal/kcledger"
	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcretry"
	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/internal/kcupstream"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// maxRecordedResponseBytes bounds the response body that a claim record keeps for replay to repeated requests.
const maxRecordedResponseBytes = 16 << 10

// maxIdempotencyKeyBytes bounds an idempotency key, which is part of every claim record.
const maxIdempotencyKeyBytes = 255

func (s *Server) servicePipeline() []Filter {
	return []Filter{s.authenticate, s.readBody, s.setDeadline, s.checkBillCapacity, s.callService}
}

func (s *Server) callService(ctx context.Context, ex *Exchange) *kcapi.Error {
	service, operation := ex.R.PathValue("service"), ex.R.PathValue("operation")
	op, refusal := s.findOperation(service, operation)
	if refusal != nil {
		return refusal
	}
	ex.Version = service + "/" + operation
	ex.Price = op.Price
	if ex.job != nil {
		ex.Price = ex.job.Price
	}
	ex.W.Header().Set(kcapi.HeaderPrice, strconv.FormatInt(ex.Price, 10))
	if refusal := s.enforceLimits(ctx, ex); refusal != nil {
		return refusal
	}
	if op.Idempotent {
		if refusal := s.openIdempotentBill(ctx, ex); refusal != nil {
			return refusal
		}
		return s.callIdempotent(ctx, ex, service, op)
	}
	return s.callNonIdempotent(ctx, ex, kcclaim.Key{
		Workspace: ex.WorkspaceName, Service: service, Operation: operation,
		IdempotencyKey: ex.R.Header.Get(kcapi.HeaderIdempotencyKey),
	}, op)
}

// findOperation looks up an operation of a plain service in the rules in force.
func (s *Server) findOperation(service, operation string) (kcrules.Operation, *kcapi.Error) {
	svc, ok := s.Rules.Rules().Services[service]
	if !ok {
		return kcrules.Operation{}, kcapi.NewError(http.StatusNotFound, kcapi.CodeUnknownService, kcapi.NotRun,
			"no service "+service)
	}
	op, ok := svc.Operations[operation]
	if !ok {
		return op, kcapi.NewError(http.StatusNotFound, kcapi.CodeUnknownOperation, kcapi.NotRun,
			"service "+service+" has no operation "+operation)
	}
	return op, nil
}

// callNonIdempotent runs a non-idempotent operation. A claim on the idempotency
// key ensures at most one dispatch for each key.
func (s *Server) callNonIdempotent(ctx context.Context, ex *Exchange, key kcclaim.Key, op kcrules.Operation) *kcapi.Error {
	if key.IdempotencyKey == "" {
		return kcapi.NewError(http.StatusBadRequest, kcapi.CodeIdempotencyKeyMissing, kcapi.NotRun,
			"operation "+ex.Version+" may not be repeated; send an "+kcapi.HeaderIdempotencyKey+" header")
	}
	if len(key.IdempotencyKey) > maxIdempotencyKeyBytes {
		return invalidRequestError(kcapi.HeaderIdempotencyKey + " is longer than " + strconv.Itoa(maxIdempotencyKeyBytes) + " bytes")
	}
	sum := sha256.Sum256(ex.Body)
	claim := kcclaim.Claim{
		Key: key, Attempt: rand.Text(), Fingerprint: hex.EncodeToString(sum[:]), Instance: s.Instance,
		RequestID: ex.ID, Price: ex.Price, Deadline: ex.Deadline,
	}
	d := s.Claimer.Acquire(ctx, claim)
	switch d.Verdict {
	case kcclaim.Acquired:
		return s.dispatchNonIdempotent(ctx, ex, claim, op)
	case kcclaim.HasOutcome:
		return replayOutcome(ex, *d.Entry.Outcome)
	case kcclaim.InProgress:
		return kcapi.NewError(http.StatusConflict, kcapi.CodeRequestRunning, kcapi.Unknown,
			"a request with this idempotency key is running").WithRetryAfter(kcclock.Second)
	case kcclaim.HolderLost:
		return kcapi.NewError(http.StatusConflict, kcapi.CodeOutcomeUnknown, kcapi.Unknown,
			"a request with this idempotency key was claimed by an instance that did not report its outcome")
	case kcclaim.KeyExpired:
		return kcapi.NewError(http.StatusUnprocessableEntity, kcapi.CodeIdempotencyKeyExpired, kcapi.NotRun,
			"the idempotency key is older than the time for which keys are remembered")
	case kcclaim.KeyReused:
		return kcapi.NewError(http.StatusUnprocessableEntity, kcapi.CodeIdempotencyKeyReused, kcapi.NotRun,
			"the idempotency key was used with another body")
	default:
		return kcapi.NewError(http.StatusServiceUnavailable, kcapi.CodeStoreUnavailable, kcapi.NotRun,
			fmt.Sprintf("the claim could not be recorded: %v", d.Err)).WithRetryAfter(kcclock.Second)
	}
}

func (s *Server) dispatchNonIdempotent(
	ctx context.Context, ex *Exchange, claim kcclaim.Claim, op kcrules.Operation,
) *kcapi.Error {
	// The outcome is recorded even if the caller disconnects.
	ctx = context.WithoutCancel(ctx)
	out := kcclaim.Outcome{Key: claim.Key, Attempt: claim.Attempt, Deadline: claim.Deadline, Execution: kcapi.NotRun}
	if refusal := s.openNonIdempotentBill(ctx, ex); refusal != nil {
		s.recordOutcome(ctx, ex, out)
		return refusal
	}
	members := s.Directory.Services(claim.Service)
	member, ok := s.upstreamLoad.selectUpstream(members, selectionCriteria{
		zone: s.Zone, delayTolerant: s.isDelayTolerant(ex), avoidFailing: true,
	})
	if !ok {
		s.recordOutcome(ctx, ex, out)
		if len(members) > 0 {
			return s.overloadedError(ex)
		}
		return serviceError(ex, "no upstream of service "+claim.Service+" is live")
	}
	if s.Clock.Now() > claim.Deadline {
		s.upstreamLoad.done(member.ID, 0, kcretry.Unfinished)
		s.recordOutcome(ctx, ex, out)
		return deadlineError(ex)
	}
	ex.recordDispatch()
	call, start := s.newUpstreamCall(ex, op), s.Clock.Now()
	if refusal := s.authorizeDispatch(ex); refusal != nil {
		s.upstreamLoad.done(member.ID, 0, kcretry.Unfinished)
		s.recordOutcome(ctx, ex, out)
		return refusal
	}
	callCtx, endCall := s.untilStop(ctx)
	defer endCall()
	res := s.sendCall(callCtx, ex, member, call, start)
	if res.Sent {
		ex.Execution = kcapi.Unknown
	}
	ex.Cause = res.Err
	out.Execution = ex.Execution
	if res.Err == nil {
		ex.Execution, out.Execution = kcapi.Completed, kcapi.Completed
		out.Status, out.ContentType, out.Body = res.Status, res.ContentType, res.Body
		if len(out.Body) > maxRecordedResponseBytes {
			out.Body, out.Truncated = nil, true
		}
	}
	s.recordOutcome(ctx, ex, out)
	s.settleBill(ex)
	if res.Err != nil && errors.Is(context.Cause(callCtx), errStopping) {
		return stoppingError(ex)
	}
	if res.Err != nil && s.Clock.Now() >= ex.Deadline {
		return deadlineError(ex)
	}
	if res.Err != nil {
		// The bill has to be durable before the caller learns the outcome: a peer may still
		// hold a copy of the open bill, which charges the full price if this instance is lost.
		_ = s.awaitBillDurable(ctx, ex)
		return serviceError(ex, "upstream "+member.ID+" gave no answer")
	}
	writeResponse(ex, res.Status, res.ContentType, res.Body)
	return nil
}

func (s *Server) recordOutcome(ctx context.Context, ex *Exchange, out kcclaim.Outcome) {
	if err := s.Claimer.ReportOutcome(ctx, out); err != nil {
		s.Log.Warn("outcomeNotRecorded", "requestId", ex.ID, "error", err)
	}
}

// newUpstreamCall builds the upstream call for the request.
func (s *Server) newUpstreamCall(ex *Exchange, op kcrules.Operation) kcupstream.Call {
	timeout := max(ex.Deadline-s.Clock.Now(), 1)
	if op.TimeoutMs > 0 {
		timeout = min(timeout, op.TimeoutMs)
	}
	return kcupstream.Call{
		Path: ex.R.URL.Path, ContentType: ex.R.Header.Get("Content-Type"), Body: ex.Body,
		RequestID:      ex.upstreamID(),
		IdempotencyKey: ex.R.Header.Get(kcapi.HeaderIdempotencyKey), Repeatable: op.Idempotent, TimeoutMs: timeout,
	}
}

// sendCall sends the call to an upstream that has admitted it and reports its
// result to the admission control. start is the time of the dispatch.
func (s *Server) sendCall(
	ctx context.Context, ex *Exchange, m kcmember.Member, call kcupstream.Call, start kcclock.Millis,
) kcupstream.Result {
	s.upstreamLoad.addInFlight(m.ID, 1)
	defer s.upstreamLoad.addInFlight(m.ID, -1)
	res := s.UpstreamClient.Do(ctx, kcupstream.Target{ID: m.ID, Addr: m.Addr}, call)
	s.upstreamLoad.done(m.ID, s.Clock.Now()-start, s.classifyCallResult(ctx, ex, res))
	return res
}

func replayOutcome(ex *Exchange, o kcclaim.Outcome) *kcapi.Error {
	ex.Execution = o.Execution
	if o.Execution == kcapi.Completed && !o.Truncated {
		kcledger.CallerOf(ex.R.Context()).Keep(int64(len(o.Body)))
		writeResponse(ex, o.Status, o.ContentType, o.Body)
		return nil
	}
	return kcapi.NewError(http.StatusConflict, kcapi.CodeOutcomeUnknown, o.Execution,
		"the request was dispatched before; its answer is not available")
}

func serviceError(ex *Exchange, message string) *kcapi.Error {
	code, status := kcapi.CodeUpstreamFailed, http.StatusBadGateway
	if ex.Execution == kcapi.NotRun {
		code, status = kcapi.CodeNoUpstream, http.StatusServiceUnavailable
	}
	return kcapi.NewError(status, code, ex.Execution, message).WithRetryAfter(kcclock.Second)
}

// writeResponse writes a response whose body is charged to the caller already.
func writeResponse(ex *Exchange, status int, contentType string, body []byte) {
	if contentType != "" {
		ex.W.Header().Set("Content-Type", contentType)
	}
	ex.W.setLength(len(body))
	ex.W.WriteHeader(status)
	_, _ = ex.W.Write(body)
}
