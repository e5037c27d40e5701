package kcadmit

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
)

// Escalation holds the inputs of the decision to escalate from a small
// model to the largest one. The threshold falls with the remaining time, because
// under peak load the largest model is so slow that its answers come late and
// delay those of other requests.
type Escalation struct {
	// RemainingMs is what remains of the objective. ExpectedMs is the usual time
	// of the largest model to its first event.
	RemainingMs, ExpectedMs kcclock.Millis
	// Share is the part of the threshold that a shortage leaves: 1 without one.
	Share float64
}

// Threshold returns the confidence below which a request is escalated.
func (e Escalation) Threshold() float64 {
	slack := float64(e.RemainingMs) / float64(max(e.ExpectedMs, 1))
	switch {
	case slack >= ampleSlack:
		return e.Share * escalateBelow
	case slack <= minSlack:
		return e.Share * escalateLateBelow
	}
	return e.Share * (escalateLateBelow + (escalateBelow-escalateLateBelow)*(slack-minSlack)/(ampleSlack-minSlack))
}
