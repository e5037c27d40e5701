// Package kcclaim makes sure that a non-idempotent request runs at most once.
// A claim in the log holds the key; the order of the log decides between
// claims, so no instance needs to know who owns a key.
package kcclaim

import (
	"strings"

	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Record kinds.
const (
	KindClaim   = "claim"
	KindOutcome = "outcome"
	KindExpired = "expired"
)

// Key names a non-idempotent request.
type Key struct {
	Workspace      string `json:"workspace"`
	Service        string `json:"service"`
	Operation      string `json:"operation"`
	IdempotencyKey string `json:"idempotencyKey"`
}

// String returns the key in a form that is unique per key.
func (k Key) String() string {
	return strings.Join([]string{k.Workspace, k.Service, k.Operation, k.IdempotencyKey}, "\x00")
}

// Claim is the body of a claim record.
type Claim struct {
	Key
	// Attempt is unique per try to acquire the key.
	Attempt string `json:"attempt"`
	// Fingerprint is the hash of the request body.
	Fingerprint string `json:"fingerprint"`
	// Instance is the claimant.
	Instance string `json:"instance"`
	// RequestID is the request id that the bill carries.
	RequestID string `json:"requestId"`
	// Price is the billed amount in micro-units.
	Price int64 `json:"price"`
	// Deadline is the time after which the claimant must not dispatch. A claim
	// that the log appended later is ignored by every reader.
	Deadline kcclock.Millis `json:"deadline"`
}

// Outcome is the body of an outcome record. Only the claimant writes it.
type Outcome struct {
	Key
	Attempt string `json:"attempt"`
	// Deadline is that of the claim. A closed attempt is forgotten after it.
	Deadline  kcclock.Millis  `json:"deadline"`
	Execution kcapi.Execution `json:"execution"`
	// Status is the HTTP status of the answer.
	Status int `json:"status,omitempty"`
	// ContentType and Body are the answer if it fits the size limit.
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Truncated is true if the answer was too large to be kept.
	Truncated bool `json:"truncated,omitempty"`
}

// ExpiredKeys is the body of an expired record: a part of a checkpoint that
// carries keys forward whose claims are older than the window.
type ExpiredKeys struct {
	// Checkpoint is unique per checkpoint, which has Parts parts.
	Checkpoint string `json:"checkpoint"`
	Part       int    `json:"part"`
	Parts      int    `json:"parts"`
	// Through is the offset before which no claim but the listed ones holds a
	// key that carries no time.
	EndOffset int64 `json:"through"`
	// Hashes are 8 bytes per key.
	Hashes []byte `json:"hashes"`
}
