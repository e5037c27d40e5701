// Package kcrules defines the shared rules that operators publish: versions,
// workspaces, services, roll-outs and the price list.
package kcrules

import (
	"strings"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// State is the life-cycle state of a version.
type State string

// Values of State.
const (
	// Active versions take new work.
	Active State = "active"
	// Draining versions serve the sessions that are bound to them, and no new
	// sessions.
	Draining State = "draining"
	// Withdrawn versions get no new work at all.
	Withdrawn State = "withdrawn"
)

// Class names a class of requests, such as "menu" or "lookup".
type Class string

// DefaultClass is the class of requests that do not name one.
const DefaultClass Class = "default"

// Rules are the shared rules. A value must not be modified once it is in force.
type Rules struct {
	// Versions has keys of the form name@version.
	Versions map[string]Version `json:"versions,omitempty"`
	// Workspaces has the workspace name as key.
	Workspaces map[string]Workspace `json:"workspaces,omitempty"`
	// Services has the service name as key.
	Services map[string]Service `json:"services,omitempty"`
	// Rollouts has the model name as key.
	Rollouts map[string]Rollout `json:"rollouts,omitempty"`
	// Classes has the class name as key.
	Classes map[Class]ClassRule `json:"classes,omitempty"`
	// PriceList sets the price factor by the time that a caller can wait.
	PriceList PriceList `json:"priceList"`
}

// Version is one version of a model.
type Version struct {
	// State must be one of the State values.
	State State `json:"state"`
	// Quality is the expected fraction, from 0 to 1, of responses that meet the
	// target, per class. The class "default" applies to all others.
	Quality map[Class]float64 `json:"quality"`
	// InputPrice and OutputPrice are in micro-units of currency per token.
	InputPrice  int64 `json:"inputPrice"`
	OutputPrice int64 `json:"outputPrice"`
	// TokenMillis is the expected time per generated token in milliseconds.
	TokenMillis float64 `json:"tokenMillis"`
}

// QualityFor returns the expected quality for class, from 0 to 1.
func (v Version) QualityFor(class Class) float64 {
	if q, ok := v.Quality[class]; ok {
		return q
	}
	return v.Quality[DefaultClass]
}

// Workspace holds the API keys, permissions and limits of one customer.
type Workspace struct {
	// KeyHashes are the SHA-256 hashes, in hex, of the API keys, which are sent as
	// bearer tokens.
	KeyHashes []string `json:"keyHashes"`
	// AllowedModels lists the models ("name") and versions ("name@version") that
	// requests of this workspace may run on.
	AllowedModels []string `json:"allow"`
	// QualityTarget is the required quality from 0 to 1, per class.
	QualityTarget map[Class]float64 `json:"qualityTarget,omitempty"`
	// Weight is the weight of the workspace in fair queueing; 0 means 1.
	Weight float64 `json:"weight,omitempty"`
	// RequestsPerSecond limits the rate; 0 means no limit.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	// Concurrency limits the number of running requests; 0 means no limit.
	Concurrency int `json:"concurrency,omitempty"`
	// TokensPerMinute limits generated tokens; 0 means no limit.
	TokensPerMinute int64 `json:"tokensPerMinute,omitempty"`
	// SpendPerDay limits the billed amount in micro-units; 0 means no limit.
	SpendPerDay int64 `json:"spendPerDay,omitempty"`
	// MaxRolloutShare is the largest fraction, from 0 to 1, of this workspace's
	// requests that may go to a version whose roll-out has not finished.
	MaxRolloutShare float64 `json:"maxRolloutShare,omitempty"`
}

// TargetFor returns the quality target for class, from 0 to 1.
func (w Workspace) TargetFor(class Class) float64 {
	if q, ok := w.QualityTarget[class]; ok {
		return q
	}
	return w.QualityTarget[DefaultClass]
}

// Allows reports whether requests of the workspace may run on the version
// with the key name@version.
func (w Workspace) Allows(key string) bool {
	model, _, _ := strings.Cut(key, "@")
	for _, a := range w.AllowedModels {
		if a == key || a == model {
			return true
		}
	}
	return false
}

// Service is a plain service, as opposed to a model.
type Service struct {
	// Operations has the operation name as key.
	Operations map[string]Operation `json:"operations"`
}

// Operation is one operation of a plain service.
type Operation struct {
	// Idempotent is true if a repeated call has no further effect.
	Idempotent bool `json:"repeatable"`
	// TimeoutMs bounds one call; 0 means the default of the instance.
	TimeoutMs kcclock.Millis `json:"timeoutMs,omitempty"`
	// Price is in micro-units of currency per call.
	Price int64 `json:"price,omitempty"`
	// HedgeAfterMs is the delay after which a hedged second call is sent; 0 means
	// no hedging. It must be 0 unless Idempotent.
	HedgeAfterMs kcclock.Millis `json:"hedgeAfterMs,omitempty"`
}

// ClassRule holds the defaults of a class.
type ClassRule struct {
	// MaxWaitMs is the maximum wait of requests that do not state one.
	MaxWaitMs kcclock.Millis `json:"maxWaitMs,omitempty"`
	// StaleConfigPolicy states what an instance whose configuration is stale does
	// with requests of this class: "refuse" or "serve".
	StaleConfigPolicy string `json:"whenStale,omitempty"`
}

// Rollout moves traffic of a model from one version to another in stages.
type Rollout struct {
	// From and To are keys of Versions.
	From string `json:"from"`
	To   string `json:"to"`
	// Stages are the ascending fractions, from 0 to 1, of the traffic that To gets.
	Stages []float64 `json:"stages"`
	// StageIndex is the index of the current stage in Stages.
	StageIndex int `json:"stage"`
	// Stopped is true after a stop; only an operator clears it.
	Stopped bool `json:"stopped,omitempty"`
	// Reason states why the roll-out was stopped.
	Reason string `json:"reason,omitempty"`
}

// PriceList sets a price factor by the time that a caller can wait.
type PriceList struct {
	// Currency is for display only.
	Currency string `json:"currency,omitempty"`
	// Steps are ordered by ascending MinWaitMs.
	Steps []PriceStep `json:"steps,omitempty"`
}

// PriceStep is the factor for callers that can wait at least MinWaitMs.
type PriceStep struct {
	MinWaitMs kcclock.Millis `json:"minWaitMs"`
	// Factor multiplies the list price. It is above 1 for urgent requests.
	Factor float64 `json:"factor"`
}

// FactorFor returns the factor for a caller that can wait up to wait; 1 if
// the list has no step for it.
func (p PriceList) FactorFor(wait kcclock.Millis) float64 {
	factor := 1.0
	for _, s := range p.Steps {
		if wait >= s.MinWaitMs {
			factor = s.Factor
		}
	}
	return factor
}
