package kcgate

import "github.com/kingcuprail/kingcuprail/pkg/kcclock"

const (
	// escalateBelow is the confidence of a small model in its answer, from 0 to
	// 100, below which the request is escalated to the largest model if that can
	// answer in time.
	escalateBelow = 55
	// escalateLateBelow is the same threshold if the answer of the largest model
	// would be late. A late answer is worth a third, and it takes ten times the
	// engine time of a small model from other requests. Only an answer that is
	// almost certainly wrong is worth less.
	escalateLateBelow = 15
	// ampleSlack and minSlack are the remaining time within the objective, as
	// multiples of the usual time of the largest model to its first event. With
	// ampleSlack three of four answers are in time, with minSlack one of two.
	ampleSlack = 2.5
	minSlack   = 1.0
	// minEscalationMs is the least remaining time for an attempt at the largest
	// model.
	minEscalationMs = 1000 * kcclock.Millisecond
)

// escalationPolicy holds the inputs of the decision to escalate from a small
// model to the largest one. The threshold falls with the remaining time, because
// under peak load the largest model is so slow that its answers come late and
// delay those of other requests.
type escalationPolicy struct {
	// remainingMs is what remains of the objective. expectedMs is the usual time
	// of the largest model to its first event.
	remainingMs, expectedMs kcclock.Millis
}

// threshold returns the confidence below which a request is escalated.
func (e escalationPolicy) threshold() float64 {
	slack := float64(e.remainingMs) / float64(max(e.expectedMs, 1))
	switch {
	case slack >= ampleSlack:
		return escalateBelow
	case slack <= minSlack:
		return escalateLateBelow
	}
	return escalateLateBelow + (escalateBelow-escalateLateBelow)*(slack-minSlack)/(ampleSlack-minSlack)
}

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
func (x *exchange) shouldEscalate(head ResponseMeta, model string) bool {
	n := len(x.route.Models)
	if !x.route.SafeToRetry() || !head.HasConfidence || x.meta.Model != AnyModel || n < 2 || model == x.route.Models[n-1] ||
		x.meta.LastEventID >= 0 || x.attempts.runs()+2 > x.route.MaxAttempts || x.remaining() < minEscalationMs {
		return false
	}
	e := escalationPolicy{
		remainingMs: x.receivedAt + x.route.LatencyObjectiveMs - x.g.Clock.Now(),
		expectedMs:  x.g.firstEvents.Expect(x.route.Models[n-1], x.meta.PromptTokens),
	}
	return float64(head.Confidence) < e.threshold() && x.g.takeRetry(x.service)
}
