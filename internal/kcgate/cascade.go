package kcgate

import "github.com/kingcuprail/kingcuprail/pkg/kcclock"

// minConfidence is the opinion of a small model of its answer below which the
// largest model is asked. In the trials of docs/notes/platform.md 55 earned
// more than 30 or 75.
const minConfidence = 55

// escalateMs is the least time that must be left for the largest model.
const escalateMs = 1000 * kcclock.Millisecond

// firstModel returns the model that is asked first: the smallest one.
func (x *exchange) firstModel() string {
	if x.ask.Model != AnyModel || len(x.route.Models) == 0 {
		return x.ask.Model
	}
	return x.route.Models[0]
}

// shouldEscalate reports whether an answer is dropped for one of the largest
// model. Nothing of it has reached the caller.
func (x *exchange) shouldEscalate(c choice, head Head, model string) bool {
	n := len(x.route.Models)
	return head.HasConfidence && x.ask.Model == AnyModel && n > 1 && model != x.route.Models[n-1] &&
		head.Confidence < minConfidence && x.ask.LastEvent < 0 &&
		x.sends.runs()+2 <= x.route.MaxAttempts && x.left() > escalateMs && x.g.takeRepeat(x.service)
}
