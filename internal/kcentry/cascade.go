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

// errCheckFailed reports that the answer of the first version of a cascade did
// not pass the check.
var errCheckFailed = errors.New("the answer did not pass the check")

// enforceLimits takes what the request uses from the limits of its workspace.
func (s *Server) enforceLimits(_ context.Context, ex *Exchange) *kcapi.Error {
	use := kclimit.Use{Price: ex.Price}
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

// release gives back what the request did not use of the limits.
func (s *Server) releaseLimits(ex *Exchange) {
	if ex.limitsAcquired {
		s.routingState.releaseLimits(ex.WorkspaceName, ex.reservedTokens, ex.outputTokens)
	}
}

// nextVersion returns the version of the next dispatch: the second one of the
// cascade after the first answer did not pass, else the one of the choice.
func (ex *Exchange) nextVersion(choice kcroute.Choice) string {
	if ex.rejectedFirst != nil {
		return ex.plan.Second
	}
	ex.plan = choice.Plan
	return choice.Version
}

// canEscalate reports whether the second version of the cascade is still
// permitted and can answer before the deadline.
func (s *Server) canEscalate(ex *Exchange, choice kcroute.Choice) bool {
	for i := range choice.Plans {
		if p := &choice.Plans[i]; p.Chain == (kccascade.Chain{First: ex.plan.Second}) {
			return p.TimeMs <= ex.Deadline-s.Clock.Now()
		}
	}
	return false
}

// selectEngine returns the engine for the dispatch. The first one is placed by
// prefix and load, later ones avoid the engines that were tried. Each engine needs a call of
// s.load.done.
func (s *Server) selectEngine(ex *Exchange, version string, tried kcset.Set[string]) (kcmember.Member, bool) {
	members, patient := s.Directory.Engines(version), s.isDelayTolerant(ex)
	if len(tried) == 0 {
		return s.enginePools.placeRequest(version, members, kcroute.Placement{
			Prefixes: prefixHashes(ex.Chat.Messages), Zone: s.Zone, Region: s.Region, Remote: true, Skip: -1,
		}, func(id string) bool { return s.upstreamLoad.admit(id, patient) })
	}
	return s.upstreamLoad.selectUpstream(members, selectionCriteria{zone: s.Zone, excluded: tried, delayTolerant: patient})
}

// learn passes the result of an attempt on and reports whether the answer may
// go to the caller.
func (s *Server) evaluateAttempt(r *relay, err error) bool {
	ex := r.ex
	a := attemptResult{
		requestID: ex.ID, class: ex.Class, version: ex.Version, chain: ex.plan.Chain, secondStep: ex.rejectedFirst != nil,
		outputTokens: r.eventCount, slow: isSlowGeneration(s.Rules.Rules().Versions[ex.Version], r.eventCount, r.lastEventAt-r.firstEventAt),
		exploratory: ex.plan.Second != "" && !ex.plan.Meets,
	}
	if ex.plan.First != ex.Version && !a.secondStep {
		a.chain = kccascade.Chain{First: ex.Version}
	}
	var status *kcupstream.StatusError
	if err != nil {
		// Engines that cannot be reached and callers that leave tell nothing
		// about the version.
		if errors.As(err, &status) && status.Status >= http.StatusInternalServerError {
			a.failed = true
			s.routingState.recordAttempt(a)
		}
		return false
	}
	if r.holdUntilChecked || !ex.Chat.Stream {
		text, finish := r.assembler.First()
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

// deliverRejectedFirst passes the answer on that did not pass the check, because the
// second version gave none.
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

// estimateWait returns the expected wait for a version, with queued that of the
// requests in the queue included.
func (s *Server) estimateWait(version string, queued bool) (kcclock.Millis, bool) {
	serviceMs := kcroute.RunTime(s.Rules.Rules().Versions[version], 0, assumedOutputTokens)
	return s.enginePools.expectedWait(version, s.Directory.Engines(version), serviceMs, queued)
}

// ObserveLoad takes the headers of an answer of the engine with the id.
func (s *Server) ObserveLoad(id string, header http.Header) {
	s.enginePools.setReportedLoad(id, header.Get(headerEngineLoad))
}
