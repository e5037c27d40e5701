package kcgate

import (
	"github.com/kingcuprail/kingcuprail/internal/kcadmit"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// minEscalationMs is the least remaining time for an attempt at the largest model.
const minEscalationMs = 1000 * kcclock.Millisecond

// firstModel returns the model of the first attempt. If the route chooses, it is
// the smallest one, or the largest one if a weak answer could not be replaced.
func (x *exchange) firstModel() string {
	switch {
	case x.meta.Model != AnyModel || len(x.route.Models) == 0:
		return x.meta.Model
	case !x.route.SafeToRetry():
		return x.lastModel(x.meta.Model)
	}
	return x.route.Models[0]
}

// lastModel returns the largest model if the route chooses, and model otherwise.
func (x *exchange) lastModel(model string) string {
	if x.meta.Model != AnyModel || len(x.route.Models) == 0 {
		return model
	}
	return x.route.Models[len(x.route.Models)-1]
}

// shouldEscalate reports whether a response is discarded in favor of one from the
// largest model. No part of it has been sent to the caller yet, but a request that
// must not be repeated has run.
func (x *exchange) shouldEscalate(c *pickedUpstream, head ResponseMeta, model string) bool {
	n := len(x.route.Models)
	if !x.route.SafeToRetry() || !head.HasConfidence || x.meta.Model != AnyModel || n < 2 || model == x.route.Models[n-1] ||
		x.meta.LastEventID >= 0 || x.attempts.runs()+2 > x.route.MaxAttempts || x.remaining() < minEscalationMs ||
		c.cold && !x.g.Upstreams.hasOther(x.criteria(nil)) {
		return false
	}
	e := kcadmit.Escalation{
		RemainingMs: x.receivedAt + x.route.LatencyObjectiveMs - x.g.Clock.Now(),
		ExpectedMs:  x.g.firstEvents.Expect(x.route.Models[n-1], x.meta.PromptTokens),
		Share:       x.g.Admission.EscalationShare(x.service),
	}
	return float64(head.Confidence) < e.Threshold() && x.g.takeRetry(x.service)
}
