package kcentry

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/kingcuprail/kingcuprail/internal/kccascade"
	"github.com/kingcuprail/kingcuprail/internal/kcchat"
	"github.com/kingcuprail/kingcuprail/internal/kcjob"
	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Exchange is one request on its way through the pipeline.
type Exchange struct {
	W *deadlineWriter
	R *http.Request
	// ID is the request id. It stands in logs, bills and upstream calls.
	ID       string
	Received kcclock.Millis
	// Deadline is the latest time for the end of the answer.
	Deadline kcclock.Millis
	Body     []byte

	WorkspaceName string
	Workspace     kcrules.Workspace

	Chat    *kcchat.Request
	Class   kcrules.Class
	Session string
	// Version is name@version, or service/operation.
	Version string
	// Price is in micro-units and fixed before the dispatch.
	Price     int64
	Execution kcapi.Execution
	// job is set if the exchange runs a job, whose bill follows from the record
	// of its end.
	job       *kcjob.Job
	billState billState
	// once is true for operations that may not be repeated.
	nonIdempotent bool
	// Cause is the internal reason of a failure, for the log only.
	Cause error
	// Cut is the failure of an answer that had been started.
	StreamError *kcapi.Error
	// plan is the way that the request follows.
	plan kccascade.Plan
	// reserve is the time before the deadline at which it must start.
	startMarginMs kcclock.Millis
	// held is the first answer of a cascade that did not pass the check.
	rejectedFirst *relay
	// admitted is true while the request counts for the limits of the
	// workspace; reserved and tokens are the generated tokens that were taken
	// at the admission and that were used.
	limitsAcquired               bool
	reservedTokens, outputTokens int
	// first is the time of the first event of the answer, or 0.
	firstEventAt kcclock.Millis
	// read is when the request had been read, and overhead the time from then
	// to the first dispatch. It is well below a millisecond, so that the clock
	// of the instance is too coarse for it.
	bodyReadAt       time.Time
	dispatchOverhead time.Duration
}

// recordDispatch notes the first dispatch.
func (ex *Exchange) recordDispatch() {
	if ex.dispatchOverhead == 0 {
		ex.dispatchOverhead = time.Since(ex.bodyReadAt)
	}
}

func (ex *Exchange) recordFirstEvent(now kcclock.Millis) {
	if ex.firstEventAt == 0 {
		ex.firstEventAt = now
	}
}

// Filter is one step of the pipeline. A non-nil error ends the pipeline and is
// the answer, unless the answer has been started.
type Filter func(ctx context.Context, ex *Exchange) *kcapi.Error

// run returns the handler that applies filters in order.
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
		defer s.closeUndeliveredBill(ex)
		var failure *kcapi.Error
		for _, f := range filters {
			if failure = f(r.Context(), ex); failure != nil {
				break
			}
		}
		if failure != nil && !ex.W.started {
			failure.Write(ex.W)
		}
		s.releaseLimits(ex)
		s.recordRequest(ex, failure)
	}
}

// checkHeaderSize bounds the headers. The limit of net/http itself is larger,
// because its refusal has no JSON body and is not counted.
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

// readBody reads the whole body within the limits of size and time.
func (s *Server) readBody(_ context.Context, ex *Exchange) *kcapi.Error {
	if ex.R.ContentLength > s.Limits.MaxBodyBytes {
		return s.bodyTooLargeError()
	}
	_ = ex.W.rc.SetReadDeadline(time.Now().Add(s.Limits.BodyTimeoutMs.Duration()))
	body, err := io.ReadAll(http.MaxBytesReader(ex.W, ex.R.Body, s.Limits.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return s.bodyTooLargeError()
	case errors.Is(err, os.ErrDeadlineExceeded):
		ex.W.Header().Set("Connection", "close")
		return kcapi.NewError(http.StatusRequestTimeout, kcapi.CodeRequestTimeout, kcapi.NotRun,
			"the body did not arrive within "+strconv.FormatInt(int64(s.Limits.BodyTimeoutMs), 10)+" ms")
	case err != nil:
		return kcapi.NewError(http.StatusBadRequest, kcapi.CodeInvalidRequest, kcapi.NotRun, "the body ended early")
	}
	// net/http reads on to notice that the caller leaves; a deadline would look
	// like that.
	_ = ex.W.rc.SetReadDeadline(time.Time{})
	ex.Body, ex.bodyReadAt = body, time.Now()
	return nil
}

func (s *Server) bodyTooLargeError() *kcapi.Error {
	return kcapi.NewError(http.StatusRequestEntityTooLarge, kcapi.CodeBodyTooLarge, kcapi.NotRun,
		"the body is larger than "+strconv.FormatInt(s.Limits.MaxBodyBytes, 10)+" bytes")
}

// maxWaitHeaderLimitMs bounds Kingcuprail-Max-Wait-Ms.
const maxWaitHeaderLimitMs = 7 * kcclock.Day

// setDeadline sets the deadline from the header, the service tier, the class
// or the default, in this order.
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
