package kcentry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"

	"github.com/kingcuprail/kingcuprail/internal/kcledger"
	"github.com/kingcuprail/kingcuprail/internal/kcretry"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/internal/kcupstream"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// maxTrackedUpstreams bounds the upstreams whose admission state is kept. A
// deployment of the target size has 3,200 upstreams.
const maxTrackedUpstreams = 4096

// gateOptions returns the options of the circuit breaker and the adaptive
// concurrency limit of an upstream.
func gateOptions() kcretry.GateOptions {
	return kcretry.GateOptions{
		Breaker: kcretry.BreakerOptions{Failures: 5, OpenMs: kcclock.Second, RampMs: 10 * kcclock.Second},
		// The limit starts at 64, the geometric mean of Min and Max. The time to the
		// first token varies with the length of the prompt, so a latency below three
		// times the usual one is no sign of overload.
		Limit:        kcretry.AdaptiveLimitOptions{Min: 4, Max: 1024, Tolerance: 3},
		PatientShare: delayTolerantLoadShare,
	}
}

// upstreamAdmission admits requests to each upstream by its circuit breaker and
// its adaptive concurrency limit. It is guarded by the lock of the
// upstreamLoadTable that contains it.
type upstreamAdmission struct {
	gateByID map[string]*kcretry.Gate
	// failing is the set of upstreams whose breaker waits for a successful probe.
	failing kcset.Set[string]
	// countEvent increments a metric.
	countEvent func(name string)
}

func newUpstreamAdmission(count func(string)) upstreamAdmission {
	return upstreamAdmission{gateByID: make(map[string]*kcretry.Gate), failing: kcset.New[string](), countEvent: count}
}

// admit reports whether the upstream may receive a request, and counts the
// request as running if so.
func (u *upstreamAdmission) admit(id string, now kcclock.Millis, delayTolerant bool) bool {
	g := u.gateByID[id]
	if g == nil {
		u.evictIdle()
		g = kcretry.NewGate(gateOptions())
		u.gateByID[id] = g
	}
	switch g.Admit(now, rand.Float64(), delayTolerant) {
	case kcretry.BreakerOpen:
		u.countEvent("upstreams.breakerOpen")
		return false
	case kcretry.LimitReached:
		u.countEvent("upstreams.limitReached")
		return false
	default:
		return true
	}
}

// done records the end of an admitted request.
func (u *upstreamAdmission) done(id string, now, latency kcclock.Millis, result kcretry.Result) {
	g := u.gateByID[id]
	if g == nil {
		return
	}
	g.Done(now, latency, result)
	switch failing := g.BreakerTripped(); {
	case failing && !u.failing.Has(id):
		u.failing.Add(id)
		u.countEvent("upstreams.breakerOpened")
	case !failing:
		u.failing.Remove(id)
	}
}

// evictIdle drops the state of idle upstreams once maxTrackedUpstreams is reached.
func (u *upstreamAdmission) evictIdle() {
	if len(u.gateByID) < maxTrackedUpstreams {
		return
	}
	for id, g := range u.gateByID {
		if g.Idle() {
			delete(u.gateByID, id)
		}
	}
}

// isDelayTolerant reports whether the remaining time until the deadline exceeds
// the default maximum wait. Delay-tolerant requests leave a part of each
// concurrency limit to the others.
func (s *Server) isDelayTolerant(ex *Exchange) bool {
	return ex.Deadline-s.Clock.Now() > s.Limits.DefaultMaxWaitMs
}

// overloadedError returns the error for a request that no live upstream admits.
func (s *Server) overloadedError(ex *Exchange) *kcapi.Error {
	if s.isDelayTolerant(ex) {
		s.Metrics.Count("upstreams.patientRefused")
	}
	return kcapi.NewError(http.StatusServiceUnavailable, kcapi.CodeOverloaded, ex.Execution,
		"the live upstreams fail or take no more requests for now").WithRetryAfter(kcclock.Second)
}

// classifyChatResult returns what the end of a chat attempt says about the health
// of the engine.
func classifyChatResult(ctx context.Context, ex *Exchange, err error) kcretry.Result {
	var status *kcupstream.StatusError
	var refusal *kcapi.Error
	switch {
	case err == nil, errors.Is(err, errCheckFailed):
		return kcretry.Succeeded
	case errors.As(err, &status):
		return classifyStatus(status.Status)
	case ctx.Err() != nil, ex.W.writeErr != nil, ex.R.Context().Err() != nil,
		errors.As(err, &refusal), errors.Is(err, errResponseTooLarge), errors.Is(err, kcledger.ErrShort):
		return kcretry.Unfinished
	default:
		return kcretry.Failed
	}
}

// classifyStatus treats server errors and 429 as failures of the upstream.
func classifyStatus(status int) kcretry.Result {
	if status >= http.StatusInternalServerError || status == http.StatusTooManyRequests {
		return kcretry.Failed
	}
	return kcretry.Succeeded
}

// classifyCallResult returns what the end of a service call says about the health
// of the upstream.
func (s *Server) classifyCallResult(ctx context.Context, ex *Exchange, res kcupstream.Result) kcretry.Result {
	switch {
	case res.Err == nil:
		return classifyStatus(res.Status)
	case ctx.Err() != nil, s.Clock.Now() >= ex.Deadline:
		return kcretry.Unfinished
	default:
		return kcretry.Failed
	}
}
