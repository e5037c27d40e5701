// Package kcclaim ensures that a non-idempotent request runs at most once. A
// claim record in the log holds the idempotency key. The log order decides
// between claims, so correctness does not depend on which instance owns a
// shard.
package kcclaim

import (
	"strings"

	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Kinds of records in a claim stream.
const (
	KindClaim   = "claim"
	KindOutcome = "outcome"
	KindExpired = "expired"
)

// Key identifies a non-idempotent request.
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
	// Attempt is the unique id of the attempt to acquire the key.
	Attempt string `json:"attempt"`
	// Fingerprint is the hash of the request body.
	Fingerprint string `json:"fingerprint"`
	// Instance is the id of the instance that makes the claim.
	Instance string `json:"instance"`
	// RequestID is the request id on the bill.
	RequestID string `json:"requestId"`
	// Price is the billed amount in micro-units.
	Price int64 `json:"price"`
	// Deadline is the time after which the claimant must not dispatch the request.
	// Every reader ignores a claim that was appended to the log later.
	Deadline kcclock.Millis `json:"deadline"`
}

// Outcome is the body of an outcome record. It always originates from the
// claimant; the shard owner may append it.
type Outcome struct {
	Key
	Attempt string `json:"attempt"`
	// Deadline is that of the claim. A closed attempt is kept until then.
	Deadline  kcclock.Millis  `json:"deadline"`
	Execution kcapi.Execution `json:"execution"`
	// Status is the HTTP status of the answer.
	Status int `json:"status,omitempty"`
	// ContentType and Body are the response if it fits the size limit.
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Truncated is true if the response body was too large to be kept.
	Truncated bool `json:"truncated,omitempty"`
}

// ExpiredKeys is the body of an expired record: one part of a checkpoint. A
// checkpoint lists keys whose claims are older than the deduplication window,
// so that they are still known after the claims are trimmed.
type ExpiredKeys struct {
	// Checkpoint is the unique id of the checkpoint, which has Parts parts.
	Checkpoint string `json:"checkpoint"`
	Part       int    `json:"part"`
	Parts      int    `json:"parts"`
	// EndOffset is the exclusive end of the claims that the checkpoint covers: of
	// the claims before it, only the listed ones hold a key that carries no time.
	EndOffset int64 `json:"through"`
	// Hashes holds the key hashes, 8 bytes each in big-endian order.
	Hashes []byte `json:"hashes"`
}
