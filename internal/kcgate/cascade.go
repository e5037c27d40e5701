package kcgate

import "github.com/kingcuprail/kingcuprail/pkg/kcclock"

const (
	// escalateBelow is the opinion of a small model of its answer, from 0 to 100,
	// below which the largest model is asked if it can answer in time.
	escalateBelow = 55
	// escalateLateBelow is the same if the largest model would be late. Such an
	// answer is worth a third, and takes ten times the time of a small model
	// from others; only an answer that is almost surely wrong is worth less.
	escalateLateBelow = 15
	// ampleSlack and minSlack are the time that is left within the objective,
	// in usual times to the first event of the largest model. With the first,
	// three of four answers are in time, with the second one of two.
	ampleSlack = 2.5
	minSlack   = 1.0
	// minEscalationMs is the least time that must be left for the largest model.
	minEscalationMs = 1000 * kcclock.Millisecond
)

// escalation is what the step from a small model to the largest depends on. It
// answers the load of busy hours: the largest model then takes so long that
// its answers come late and make those of others late.
type escalationPolicy struct {
	// remainingMs is what is left of the objective, expectedMs the usual time of
	// the largest model to its first event.
	remainingMs, expectedMs kcclock.Millis
}

// threshold returns the confidence below which the largest model is asked.
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

// firstModel returns the model that is asked first: the smallest one.
func (x *exchange) firstModel() string {
	if x.meta.Model != AnyModel || len(x.route.Models) == 0 {
		return x.meta.Model
	}
	return x.route.Models[0]
}

// shouldEscalate reports whether an answer is dropped for one of the largest
// model. Nothing of it has reached the caller.
func (x *exchange) shouldEscalate(head ResponseMeta, model string) bool {
	n := len(x.route.Models)
	if !head.HasConfidence || x.meta.Model != AnyModel || n < 2 || model == x.route.Models[n-1] || x.meta.LastEventID >= 0 ||
		x.attempts.runs()+2 > x.route.MaxAttempts || x.remaining() < minEscalationMs {
		return false
	}
	e := escalationPolicy{
		remainingMs: x.receivedAt + x.route.ObjectiveMs - x.g.Clock.Now(),
		expectedMs:  x.g.firstEvents.expect(x.route.Models[n-1], x.meta.PromptTokens),
	}
	return float64(head.Confidence) < e.threshold() && x.g.takeRetry(x.service)
}
