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

// errNotPassed reports that the answer of the first version of a cascade did
// not pass the check.
var errNotPassed = errors.New("the answer did not pass the check")

// admitLimits takes what the request uses from the limits of its workspace.
func (s *Server) admitLimits(_ context.Context, ex *Exchange) *kcapi.Error {
	use := kclimit.Usage{Price: ex.Price}
	if ex.Chat != nil {
		use.Tokens = ex.Chat.OutputLimit()
	}
	v := s.decisions.admit(ex.WorkspaceName, ex.Workspace, use)
	if v.Exceeded != "" {
		s.Metrics.Count("limits." + string(v.Exceeded))
		return kcapi.NewError(http.StatusTooManyRequests, kcapi.CodeRateLimited, kcapi.NotRun,
			"the workspace is over its limit "+string(v.Exceeded)).WithRetryAfter(v.RetryAfter)
	}
	ex.admitted, ex.reserved = true, use.Tokens
	return nil
}

// release gives back what the request did not use of the limits.
func (s *Server) release(ex *Exchange) {
	if ex.admitted {
		s.decisions.release(ex.WorkspaceName, ex.reserved, ex.tokens)
	}
}

// versionFor returns the version of the next dispatch: the second one of the
// cascade after the first answer did not pass, else the one of the choice.
func (ex *Exchange) versionFor(choice kcroute.Choice) string {
	if ex.held != nil {
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

// engineFor returns the engine for the dispatch. The first one is placed by
// prefix and load, later ones avoid the engines that were tried. Each engine needs a call of
// s.load.done.
func (s *Server) engineFor(ex *Exchange, version string, tried kcset.Set[string]) (kcmember.Member, bool) {
	members, patient := s.Directory.Engines(version), s.isPatient(ex)
	if len(tried) == 0 {
		return s.engines.place(version, members, kcroute.Placement{
			Prefixes: prefixesOf(ex.Chat.Messages), Zone: s.Zone, Region: s.Region, AllowRemote: true, Exclude: -1,
		}, func(id string) bool { return s.load.admit(id, patient) })
	}
	return s.load.choose(members, selection{zone: s.Zone, tried: tried, patient: patient})
}

// learn passes the result of an attempt on and reports whether the answer may
// go to the caller.
func (s *Server) learn(r *relay, err error) bool {
	ex := r.ex
	a := attempt{
		requestID: ex.ID, class: ex.Class, version: ex.Version, chain: ex.plan.Chain, second: ex.held != nil,
		tokens: r.tokens, slow: isSlow(s.Rules.Rules().Versions[ex.Version], r.tokens, r.last-r.firstAt),
		explored: ex.plan.Second != "" && !ex.plan.MeetsTarget,
	}
	if ex.plan.First != ex.Version && !a.second {
		a.chain = kccascade.Chain{First: ex.Version}
	}
	var status *kcupstream.StatusError
	if err != nil {
		// Engines that cannot be reached and callers that leave tell nothing
		// about the version.
		if errors.As(err, &status) && status.Status >= http.StatusInternalServerError {
			a.failed = true
			s.decisions.observe(a)
		}
		return false
	}
	if r.hold || !ex.Chat.Stream {
		text, finish := r.whole.First()
		failure := kccascade.CheckAnswer(kccascade.Answer{Text: text, FinishReason: finish}, ex.Chat.OutputLimit())
		a.checked, a.passed = true, failure == kccascade.Passed
		if !a.passed {
			s.Metrics.Count("checks." + string(failure))
		}
	}
	a.final = !r.hold || a.passed
	s.engines.took(ex.Version, r.last-r.firstAt)
	s.decisions.observe(a)
	return a.final
}

// deliverHeld passes the answer on that did not pass the check, because the
// second version gave none.
func (s *Server) deliverHeld(ex *Exchange) *kcapi.Error {
	r := ex.held
	ex.Version, ex.Execution = r.version, kcapi.Completed
	s.Metrics.Count("cascades.firstDelivered")
	if withheld := s.closeDelivered(ex.R.Context(), ex); withheld != nil {
		return withheld
	}
	if ex.Cause = r.flush(); ex.Cause == nil {
		ex.Cause = r.finish()
	}
	return nil
}

// waitFor returns the expected wait for a version, with queued that of the
// requests in the queue included.
func (s *Server) waitFor(version string, queued bool) (kcclock.Millis, bool) {
	serviceMs := kcroute.ExpectedRunTime(s.Rules.Rules().Versions[version], 0, meanTokens)
	return s.engines.wait(version, s.Directory.Engines(version), serviceMs, queued)
}

// ObserveLoad takes the headers of an answer of the engine with the id.
func (s *Server) ObserveLoad(id string, header http.Header) {
	s.engines.report(id, header.Get(headerEngineLoad))
}
