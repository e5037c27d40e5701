package kcgate

import "github.com/kingcuprail/kingcuprail/pkg/kcclock"

const (
	// weakBelow is the opinion of a small model of its answer, from 0 to 100,
	// below which the largest model is asked if it can answer in time.
	weakBelow = 55
	// hopelessBelow is the same if the largest model would be late. Such an
	// answer is worth a third, and takes ten times the time of a small model
	// from others; only an answer that is almost surely wrong is worth less.
	hopelessBelow = 15
	// easySlack and noSlack are the time that is left within the objective,
	// in usual times to the first event of the largest model. With the first,
	// three of four answers are in time, with the second one of two.
	easySlack = 2.5
	noSlack   = 1.0
	// escalateMs is the least time that must be left for the largest model.
	escalateMs = 1000 * kcclock.Millisecond
)

// escalation is what the step from a small model to the largest depends on. It
// answers the load of busy hours: the largest model then takes so long that
// its answers come late and make those of others late.
type escalation struct {
	// objectiveMs is what is left of the objective, expectMs the usual time of
	// the largest model to its first event.
	objectiveMs, expectMs kcclock.Millis
}

// threshold returns the confidence below which the largest model is asked.
func (e escalation) threshold() float64 {
	slack := float64(e.objectiveMs) / float64(max(e.expectMs, 1))
	switch {
	case slack >= easySlack:
		return weakBelow
	case slack <= noSlack:
		return hopelessBelow
	}
	return hopelessBelow + (weakBelow-hopelessBelow)*(slack-noSlack)/(easySlack-noSlack)
}

// firstModel returns the model that is asked first: the smallest one.
func (x *exchange) firstModel() string {
	if x.ask.Model != AnyModel || len(x.route.Models) == 0 {
		return x.ask.Model
	}
	return x.route.Models[0]
}

// shouldEscalate reports whether an answer is dropped for one of the largest
// model. Nothing of it has reached the caller.
func (x *exchange) shouldEscalate(head ResponseMeta, model string) bool {
	n := len(x.route.Models)
	if !head.HasConfidence || x.ask.Model != AnyModel || n < 2 || model == x.route.Models[n-1] || x.ask.LastEventID >= 0 ||
		x.sends.runs()+2 > x.route.MaxAttempts || x.left() < escalateMs {
		return false
	}
	e := escalation{
		objectiveMs: x.received + x.route.ObjectiveMs - x.g.Clock.Now(),
		expectMs:    x.g.paces.expect(x.route.Models[n-1], x.ask.PromptTokens),
	}
	return float64(head.Confidence) < e.threshold() && x.g.takeRepeat(x.service)
}
