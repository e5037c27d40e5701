package kcentry

import (
	"context"
	"errors"
	"net/http"

	"github.com/kingcuprail/kingcuprail/internal/kccascade"
	"github.com/kingcuprail/kingcuprail/internal/kclimit"
	"github.com/kingcuprail/kingcuprail/internal/kcmember"
	"github.com/kingcuprail/kingcuprail/internal/kcroute"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/internal/kcupstream"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// errCheckFailed reports that the response of the first version of a cascade
// failed the cascade check.
var errCheckFailed = errors.New("response of the first version failed the cascade check")

// enforceLimits reserves the usage of the request from the rate limits of its
// workspace, or rejects the request.
func (s *Server) enforceLimits(_ context.Context, ex *Exchange) *kcapi.Error {
	use := kclimit.Usage{Price: ex.Price}
	if ex.Chat != nil {
		use.Tokens = ex.Chat.OutputLimit()
	}
	v := s.routingState.acquireLimits(ex.WorkspaceName, ex.Workspace, use)
	if v.Exceeded != "" {
		s.Metrics.Count("limits." + string(v.Exceeded))
		return kcapi.NewError(http.StatusTooManyRequests, kcapi.CodeRateLimited, kcapi.NotRun,
			"the workspace is over its limit "+string(v.Exceeded)).WithRetryAfter(v.RetryAfter)
	}
	ex.limitsAcquired, ex.reservedTokens = true, use.Tokens
	return nil
}

// releaseLimits returns the unused part of the reservation to the rate limits.
func (s *Server) releaseLimits(ex *Exchange) {
	if ex.limitsAcquired {
		s.routingState.releaseLimits(ex.WorkspaceName, ex.reservedTokens, ex.outputTokens)
	}
}

// nextVersion returns the version for the next dispatch: the second version of
// the cascade once the first response has failed the check, otherwise the
// version of the choice.
func (ex *Exchange) nextVersion(choice kcroute.Choice) string {
	if ex.rejectedFirst != nil {
		return ex.plan.Second
	}
	ex.plan = choice.Plan
	return choice.Version
}

// canEscalate reports whether the second version of the cascade is still
// permitted and expected to finish before the deadline.
func (s *Server) canEscalate(ex *Exchange, choice kcroute.Choice) bool {
	for i := range choice.Plans {
		if p := &choice.Plans[i]; p.Chain == (kccascade.Chain{First: ex.plan.Second}) {
			return p.TimeMs <= ex.Deadline-s.Clock.Now()
		}
	}
	return false
}

// selectEngine returns the engine for the next dispatch. The first dispatch is
// placed by prompt prefix and load, later ones exclude the engines already
// tried. Each selected engine requires a call of s.upstreamLoad.done.
func (s *Server) selectEngine(ex *Exchange, version string, tried kcset.Set[string]) (kcmember.Member, bool) {
	members, delayTolerant := s.Directory.Engines(version), s.isDelayTolerant(ex)
	if len(tried) == 0 {
		return s.enginePools.placeRequest(version, members, kcroute.Placement{
			Prefixes: prefixHashes(ex.Chat.Messages), Zone: s.Zone, Region: s.Region, AllowRemote: true, Exclude: -1,
		}, func(id string) bool { return s.upstreamLoad.admit(id, delayTolerant) })
	}
	return s.upstreamLoad.selectUpstream(members, selectionCriteria{zone: s.Zone, excluded: tried, delayTolerant: delayTolerant})
}

// evaluateAttempt records the result of an attempt and reports whether its
// response may be delivered to the caller.
func (s *Server) evaluateAttempt(r *relay, err error) bool {
	ex := r.ex
	a := attemptResult{
		requestID: ex.ID, class: ex.Class, version: ex.Version, chain: ex.plan.Chain, secondStep: ex.rejectedFirst != nil,
		outputTokens: r.eventCount,
		slow:         isSlowGeneration(s.Rules.Rules().Versions[ex.Version], r.eventCount, r.lastEventAt-r.firstEventAt),
		exploratory:  ex.plan.Second != "" && !ex.plan.MeetsTarget,
	}
	if ex.plan.First != ex.Version && !a.secondStep {
		a.chain = kccascade.Chain{First: ex.Version}
	}
	var status *kcupstream.StatusError
	if err != nil {
		// An unreachable engine or a caller that disconnects says nothing about
		// the version; only a server error of the engine does.
		if errors.As(err, &status) && status.Status >= http.StatusInternalServerError {
			a.failed = true
			s.routingState.recordAttempt(a)
		}
		return false
	}
	if r.holdUntilChecked || !ex.Chat.Stream {
		text, finish := r.assembler.FirstChoice()
		failure := kccascade.CheckAnswer(kccascade.Answer{Text: text, FinishReason: finish}, ex.Chat.OutputLimit())
		a.checked, a.passed = true, failure == kccascade.Passed
		if !a.passed {
			s.Metrics.Count("checks." + string(failure))
		}
	}
	a.delivered = !r.holdUntilChecked || a.passed
	s.enginePools.recordServiceTime(ex.Version, r.lastEventAt-r.firstEventAt)
	s.routingState.recordAttempt(a)
	return a.delivered
}

// deliverRejectedFirst delivers the first response of a cascade although it
// failed the check, because the second version returned none.
func (s *Server) deliverRejectedFirst(ex *Exchange) *kcapi.Error {
	r := ex.rejectedFirst
	ex.Version, ex.Execution = r.version, kcapi.Completed
	s.Metrics.Count("cascades.firstDelivered")
	if withheld := s.closeDeliveredBill(ex.R.Context(), ex); withheld != nil {
		return withheld
	}
	if ex.Cause = r.flushHeld(); ex.Cause == nil {
		ex.Cause = r.finishResponse()
	}
	return nil
}

// estimateWait returns the expected wait for a slot of the version, including
// the wait behind the queued requests if includeQueued is true.
func (s *Server) estimateWait(version string, includeQueued bool) (kcclock.Millis, bool) {
	serviceMs := kcroute.ExpectedRunTime(s.Rules.Rules().Versions[version], 0, assumedOutputTokens)
	return s.enginePools.expectedWait(version, s.Directory.Engines(version), serviceMs, includeQueued)
}

// ObserveLoad records the load that the engine reports in its response headers.
func (s *Server) ObserveLoad(id string, header http.Header) {
	s.enginePools.setReportedLoad(id, header.Get(headerEngineLoad))
}
