// Package kcsettings reads and checks the settings of a process: a base file of
// shared rules and an overlay per site. Files are JSON with comments and
// trailing commas.
package kcsettings

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcuprail/kingcuprail/internal/kcentry"
	"github.com/kingcuprail/kingcuprail/internal/kcrules"
	"github.com/kingcuprail/kingcuprail/internal/kcsession"
	"github.com/kingcuprail/kingcuprail/internal/kctls"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Settings are the settings of one process.
type Settings struct {
	// Schema is the address of the JSON schema, for editors only. It is empty
	// in the merged settings.
	Schema string `json:"$schema,omitempty"`
	// Base is the path of the base file, relative to this file. It is empty in
	// the merged settings.
	Base     string         `json:"base,omitempty"`
	Instance Instance       `json:"instance"`
	Platform Platform       `json:"platform"`
	Limits   kcentry.Limits `json:"limits"`
	Timing   Timing         `json:"timing"`
	TLS      kctls.Settings `json:"tls,omitzero"`
	// SessionKeys are the keys of session tokens. The first one signs new tokens;
	// all verify them.
	SessionKeys []kcsession.Key `json:"sessionKeys"`
	// Rules are the base that the published configuration is applied to.
	Rules kcrules.Rules `json:"rules"`
}

// Instance identifies the process and its addresses.
type Instance struct {
	ID     string `json:"id"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Listen, Admin and Peer are IP:port addresses to listen on.
	Listen string `json:"listen"`
	Admin  string `json:"admin"`
	Peer   string `json:"peer"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	// Deployment is the name of the deployment. All its instances must state the
	// same name and the same URL of the log, because messages between instances
	// that differ in them are refused.
	Deployment string `json:"deployment,omitempty"`

	Log     string `json:"log"`
	List    string `json:"list"`
	Rater   string `json:"rater,omitempty"`
	Weights string `json:"weights,omitempty"`
}

// DeploymentID identifies the deployment and its log in messages between
// instances.
func (p Platform) DeploymentID() string {
	return strconv.FormatUint(xxhash.Sum64String(p.Deployment+"\n"+strings.TrimSuffix(p.Log, "/")), 16)
}

// Timing holds periods and bounds in milliseconds.
type Timing struct {
	ListPollIntervalMs  kcclock.Millis `json:"listPollMs"`
	StreamIdleTimeoutMs kcclock.Millis `json:"streamIdleMs"`
	BillFlushIntervalMs kcclock.Millis `json:"billFlushMs"`
	// LameDuckMs is how long the instance still accepts requests after it reports
	// not ready. It must cover the time until the load balancer notices.
	LameDuckMs kcclock.Millis `json:"leaveMs,omitempty"`
	// ShutdownTimeoutMs bounds a graceful stop. It does not include LameDuckMs.
	ShutdownTimeoutMs kcclock.Millis `json:"stopMs"`
	// FailoverDelayMs is how long an instance must be off the member list before
	// other instances append its bills and take over its jobs. It must cover the
	// lag of the list.
	FailoverDelayMs kcclock.Millis `json:"instanceGoneMs"`
	// Shards is the number of streams for claims, bills and jobs each. All
	// instances must agree on it.
	Shards int `json:"shards"`
	// MaxPendingBills bounds the bills of an instance that are not yet in the log.
	MaxPendingBills int `json:"maxPendingBills"`
	// ClaimWindowMs is how long idempotency keys are remembered. All instances
	// must agree on it, and the log must retain records for twice as long.
	ClaimWindowMs kcclock.Millis `json:"claimWindowMs"`
}

// Defaults returns the values of settings that a file omits.
func Defaults() Settings {
	return Settings{
		Limits: kcentry.Limits{}.WithDefaults(),
		Timing: Timing{
			ListPollIntervalMs: kcclock.Second, StreamIdleTimeoutMs: 2 * kcclock.Second, BillFlushIntervalMs: 200,
			ShutdownTimeoutMs: 30 * kcclock.Second, FailoverDelayMs: 5 * kcclock.Second, Shards: 8, MaxPendingBills: 10_000,
			ClaimWindowMs: kcclock.Day,
		},
	}
}
