package kcentry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"

	"github.com/kingcuprail/kingcuprail/internal/kcretry"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/internal/kcupstream"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// maxTrackedUpstreams bounds the upstreams whose results are remembered. The target size
// has 3,200 of them.
const maxTrackedUpstreams = 4096

func gateOptions() kcretry.GateOptions {
	return kcretry.GateOptions{
		Breaker: kcretry.BreakerOptions{Failures: 5, OpenMs: kcclock.Second, RampMs: 10 * kcclock.Second},
		// The limit starts at 64. The time to the first token varies with the
		// length of the prompt, so that less than three times is no sign of an
		// overload.
		Limit:        kcretry.AdaptiveOptions{Min: 4, Max: 1024, Tolerance: 3},
		PatientShare: delayTolerantLoadShare,
	}
}

// upstreamAdmission decides per upstream whether it gets a request. The lock of the
// table that it is part of guards it.
type upstreamAdmission struct {
	gateByID map[string]*kcretry.Gate
	// failing are the upstreams whose breaker waits for a successful probe.
	failing kcset.Set[string]
	// count counts an event of a gate.
	countEvent func(name string)
}

func newUpstreamAdmission(count func(string)) upstreamAdmission {
	return upstreamAdmission{gateByID: make(map[string]*kcretry.Gate), failing: kcset.New[string](), countEvent: count}
}

// admit counts a request to the upstream if its gate admits it.
func (u *upstreamAdmission) admit(id string, now kcclock.Millis, patient bool) bool {
	g := u.gateByID[id]
	if g == nil {
		u.evictIdle()
		g = kcretry.NewGate(gateOptions())
		u.gateByID[id] = g
	}
	switch g.Admit(now, rand.Float64(), patient) {
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

// done counts the end of an admitted request.
func (u *upstreamAdmission) done(id string, now, latency kcclock.Millis, result kcretry.Result) {
	g := u.gateByID[id]
	if g == nil {
		return
	}
	g.Done(now, latency, result)
	switch failing := g.Failing(); {
	case failing && !u.failing.Has(id):
		u.failing.Add(id)
		u.countEvent("upstreams.breakerOpened")
	case !failing:
		u.failing.Remove(id)
	}
}

// trim drops gates without state when there are too many.
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

// isDelayTolerant reports whether the caller still has more time than callers that
// state no patience. Patient work leaves a part of each limit free.
func (s *Server) isDelayTolerant(ex *Exchange) bool {
	return ex.Deadline-s.Clock.Now() > s.Limits.DefaultMaxWaitMs
}

// overloadedError refuses a request that no gate of a live upstream admits.
func (s *Server) overloadedError(ex *Exchange) *kcapi.Error {
	if s.isDelayTolerant(ex) {
		s.Metrics.Count("upstreams.patientRefused")
	}
	return kcapi.NewError(http.StatusServiceUnavailable, kcapi.CodeOverloaded, ex.Execution,
		"the live upstreams fail or take no more requests for now").WithRetryAfter(kcclock.Second)
}

// classifyChatResult tells what the end of an attempt says about the engine.
func classifyChatResult(ctx context.Context, ex *Exchange, err error) kcretry.Result {
	var status *kcupstream.StatusError
	var refusal *kcapi.Error
	switch {
	case err == nil, errors.Is(err, errCheckFailed):
		return kcretry.Succeeded
	case errors.As(err, &status):
		return classifyStatus(status.Status)
	case ctx.Err() != nil, ex.W.writeErr != nil, ex.R.Context().Err() != nil,
		errors.As(err, &refusal), errors.Is(err, errResponseTooLarge):
		return kcretry.Unfinished
	default:
		return kcretry.Failed
	}
}

func classifyStatus(status int) kcretry.Result {
	if status >= http.StatusInternalServerError || status == http.StatusTooManyRequests {
		return kcretry.Failed
	}
	return kcretry.Succeeded
}

// classifyCallResult tells what the end of a call says about the service.
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
