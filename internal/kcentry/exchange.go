package kcentry

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/kingcuprail/kingcuprail/internal/kccascade"
	"github.com/kingcuprail/kingcuprail/internal/kcchat"
	"github.com/kingcuprail/kingcuprail/internal/kcjob"
	"github.com/kingcuprail/kingcuprail/internal/kcledger"
	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Exchange is a request and the state of its processing by the filter pipeline.
type Exchange struct {
	W *deadlineWriter
	R *http.Request
	// ID is the request id, as used in logs and bills. The ids of upstream calls begin
	// with it.
	ID string
	// upstreamSuffix tells the upstream calls of a job from those of its earlier tries,
	// which have the same request id.
	upstreamSuffix string
	Received       kcclock.Millis
	// Deadline is the time by which the response must be complete.
	Deadline kcclock.Millis
	Body     []byte

	WorkspaceName string
	Workspace     kcrules.Workspace

	Chat    *kcchat.Request
	Class   kcrules.Class
	Session string
	// Version is name@version of a model, or service/operation of a plain service.
	Version string
	// Price is in micro-units of the currency. It is fixed before the dispatch.
	Price     int64
	Execution kcapi.Execution
	// job is set if the exchange runs a job. The bill of a job is derived from the
	// log record of its completion.
	job       *kcjob.Job
	billState billState
	// nonIdempotent is true for operations that must not be repeated.
	nonIdempotent bool
	// Cause is the internal reason for a failure. It is only logged.
	Cause error
	// StreamError is the error of a response that failed after it had been started.
	StreamError *kcapi.Error
	// plan is the chosen version or cascade.
	plan kccascade.Plan
	// startMarginMs is how long before the deadline the request must be dispatched.
	startMarginMs kcclock.Millis
	// rejectedFirst is the held first response of a cascade that failed the check.
	rejectedFirst *relay
	// limitsAcquired is true once the request has acquired capacity from the rate
	// limits of its workspace. reservedTokens were reserved for output at the
	// admission, outputTokens were generated.
	limitsAcquired               bool
	reservedTokens, outputTokens int
	// firstEventAt is the time of the first event of the response, or 0.
	firstEventAt kcclock.Millis
	// bodyReadAt is the time at which the body was complete, dispatchOverhead the
	// time from then to the first dispatch. The overhead is well below a
	// millisecond, so kcclock is too coarse to measure it.
	bodyReadAt       time.Time
	dispatchOverhead time.Duration
}

// upstreamID returns the request id of upstream calls.
func (ex *Exchange) upstreamID() string { return ex.ID + ex.upstreamSuffix }

// recordDispatch records the overhead before the first dispatch. Later calls have
// no effect.
func (ex *Exchange) recordDispatch() {
	if ex.dispatchOverhead == 0 {
		ex.dispatchOverhead = time.Since(ex.bodyReadAt)
	}
}

// recordFirstEvent records the time of the first event. Later calls have no
// effect.
func (ex *Exchange) recordFirstEvent(now kcclock.Millis) {
	if ex.firstEventAt == 0 {
		ex.firstEventAt = now
	}
}

// Filter is one step of the pipeline. A non-nil error ends the pipeline and is
// written as the response, unless the response has already been started.
type Filter func(ctx context.Context, ex *Exchange) *kcapi.Error

// pipelineHandler returns a handler that applies the filters in order, after the
// checks that every request passes.
func (s *Server) pipelineHandler(filters []Filter) http.HandlerFunc {
	filters = append([]Filter{s.checkHeaderSize, s.checkShutdown}, filters...)
	return func(w http.ResponseWriter, r *http.Request) {
		ex := &Exchange{
			W: newDeadlineWriter(w, s.Limits.WriteTimeoutMs.Duration()),
			R: r, ID: rand.Text(), Received: s.Clock.Now(), Execution: kcapi.NotRun,
		}
		ex.W.extendDeadline()
		w.Header().Set(kcapi.HeaderRequestID, ex.ID)
		s.runningRequests.add(ex.ID)
		defer s.runningRequests.remove(ex.ID)
		defer s.settleBill(ex)
		ctx, stop := s.untilStop(r.Context())
		defer stop()
		var failure *kcapi.Error
		for _, f := range filters {
			if failure = f(ctx, ex); failure != nil {
				break
			}
		}
		if failure != nil && !ex.W.started {
			failure.Write(ex.W)
		}
		s.releaseLimits(ex)
		s.logRequest(ex, failure)
	}
}

// checkHeaderSize rejects requests with too large headers. The limit configured
// for net/http is larger, because its rejection has no JSON body and does not
// appear in the metrics.
func (s *Server) checkHeaderSize(_ context.Context, ex *Exchange) *kcapi.Error {
	n := len(ex.R.RequestURI)
	for k, values := range ex.R.Header {
		for _, v := range values {
			n += len(k) + len(v) + len(": \r\n")
		}
	}
	if n <= s.Limits.MaxHeaderBytes {
		return nil
	}
	return kcapi.NewError(http.StatusRequestHeaderFieldsTooLarge, kcapi.CodeHeadersTooLarge, kcapi.NotRun,
		"the headers are larger than "+strconv.Itoa(s.Limits.MaxHeaderBytes)+" bytes")
}

// readBody reads the complete body within the limits on size and time.
func (s *Server) readBody(ctx context.Context, ex *Exchange) *kcapi.Error {
	if ex.R.ContentLength > s.Limits.MaxBodyBytes {
		return s.bodyTooLargeError()
	}
	_ = ex.W.rc.SetReadDeadline(time.Now().Add(s.Limits.BodyTimeoutMs.Duration()))
	most := s.Limits.MaxBodyBytes
	if ex.R.ContentLength >= 0 {
		most = ex.R.ContentLength
	}
	body, err := kcledger.CallerOf(ctx).ReadBody(http.MaxBytesReader(ex.W, ex.R.Body, s.Limits.MaxBodyBytes), most)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, kcledger.ErrShort):
		return memoryError(ex)
	case errors.As(err, &tooLarge):
		return s.bodyTooLargeError()
	case errors.Is(err, os.ErrDeadlineExceeded):
		ex.W.Header().Set("Connection", "close")
		return kcapi.NewError(http.StatusRequestTimeout, kcapi.CodeRequestTimeout, kcapi.NotRun,
			"the body did not arrive within "+strconv.FormatInt(int64(s.Limits.BodyTimeoutMs), 10)+" ms")
	case err != nil:
		return kcapi.NewError(http.StatusBadRequest, kcapi.CodeInvalidRequest, kcapi.NotRun, "the body ended early")
	}
	// net/http keeps reading in the background to detect a closed connection. An
	// expired read deadline would look like one, so it is cleared.
	_ = ex.W.rc.SetReadDeadline(time.Time{})
	ex.Body, ex.bodyReadAt = body, time.Now()
	// A body that arrives after the instance has begun to drain is too late.
	return s.checkShutdown(ctx, ex)
}

// memoryRetryMs is the time after which callers that do not send have been ended.
const memoryRetryMs = kcclock.Second

// memoryError refuses a request that the process has no memory for.
func memoryError(ex *Exchange) *kcapi.Error {
	ex.W.Header().Set("Connection", "close")
	return kcapi.NewError(http.StatusServiceUnavailable, kcapi.CodeOverloaded, kcapi.NotRun,
		"the instance has no memory left for the request").WithRetryAfter(memoryRetryMs)
}

func (s *Server) bodyTooLargeError() *kcapi.Error {
	return kcapi.NewError(http.StatusRequestEntityTooLarge, kcapi.CodeBodyTooLarge, kcapi.NotRun,
		"the body is larger than "+strconv.FormatInt(s.Limits.MaxBodyBytes, 10)+" bytes")
}

// maxWaitHeaderLimitMs is the largest accepted value of Kingcuprail-Max-Wait-Ms.
const maxWaitHeaderLimitMs = 7 * kcclock.Day

// setDeadline sets the deadline from the header, the service tier, the class or
// the default, in this order of precedence.
func (s *Server) setDeadline(_ context.Context, ex *Exchange) *kcapi.Error {
	wait := s.Limits.DefaultMaxWaitMs
	if rule, ok := s.Rules.Rules().Classes[ex.Class]; ok && rule.MaxWaitMs > 0 {
		wait = rule.MaxWaitMs
	}
	if ex.Chat != nil {
		tier, ok := s.Limits.TierMaxWaitMs.forTier(ex.Chat.ServiceTier)
		if !ok {
			return invalidRequestError("service_tier must be auto, default, flex or priority")
		}
		if tier > 0 {
			wait = tier
		}
	}
	if h := ex.R.Header.Get(kcapi.HeaderMaxWait); h != "" {
		n, err := strconv.ParseInt(h, 10, 64)
		if err != nil || n <= 0 || kcclock.Millis(n) > maxWaitHeaderLimitMs {
			return invalidRequestError(kcapi.HeaderMaxWait + " must be a number of milliseconds from 1 to " +
				strconv.FormatInt(int64(maxWaitHeaderLimitMs), 10))
		}
		wait = kcclock.Millis(n)
	}
	ex.Deadline = ex.Received + wait
	return nil
}

func invalidRequestError(message string) *kcapi.Error {
	return kcapi.NewError(http.StatusBadRequest, kcapi.CodeInvalidRequest, kcapi.NotRun, message)
}
