// Package kcjob runs deferred jobs. A job is accepted once its record is in the
// log. The log order within its shard decides which attempt runs the job and
// which end counts. Shard ownership only avoids duplicate work: it stays safe
// if two instances both believe that they own a shard.
package kcjob

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/kingcuprail/kingcuprail/internal/kcbill"
	"github.com/kingcuprail/kingcuprail/internal/kcset"
	"github.com/kingcuprail/kingcuprail/pkg/kcapi"
	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Kinds of records in a job stream.
const (
	KindJob     = "job"
	KindStart   = "start"
	KindRequeue = "giveBack"
	KindEnd     = "end"
	KindBilled  = "billed"
)

// Job is the body of a job record: the request and what was fixed when it was
// accepted.
type Job struct {
	ID        string `json:"id"`
	RequestID string `json:"requestId"`
	Workspace string `json:"workspace"`
	// Fingerprint is the hash of the request body.
	Fingerprint string `json:"fingerprint"`
	// Path is the path of the equivalent direct request, such as
	// /v1/chat/completions.
	Path string `json:"path"`
	// Service and Operation are empty for chat requests.
	Service   string `json:"service,omitempty"`
	Operation string `json:"operation,omitempty"`
	Session   string `json:"session,omitempty"`
	Body      []byte `json:"body"`
	// Version is the planned version, or service/operation.
	Version string `json:"version"`
	// Price is in micro-units of currency.
	Price int64 `json:"price"`
	// Repeatable is false for operations that must not be repeated.
	Repeatable bool           `json:"repeatable"`
	Deadline   kcclock.Millis `json:"deadline"`
}

// Start is the body of a start record. If several instances append a start of
// the same attempt, the first in log order runs it.
type Start struct {
	ID string `json:"id"`
	// Attempt counts from 1.
	Attempt  int    `json:"attempt"`
	Instance string `json:"instance"`
	// Process is the unique id of the process that runs the attempt.
	Process string `json:"process"`
}

// Requeue is the body of a giveBack record. It returns a job to the queue
// because a shutdown or restart of the instance ended the attempt.
type Requeue struct {
	ID      string `json:"id"`
	Attempt int    `json:"attempt"`
	Process string `json:"process"`
	// NotRun is true if no byte of the attempt can have reached an upstream.
	NotRun bool `json:"notRun,omitempty"`
}

// End is the body of an end record. The first one that counts ends the job.
type End struct {
	ID string `json:"id"`
	// Attempt is the attempt that ended, or 0 if the job was never started.
	Attempt int            `json:"attempt"`
	State   kcapi.JobState `json:"state"`
	// Execution states whether the job ran.
	Execution kcapi.Execution  `json:"execution"`
	Answer    *kcapi.JobAnswer `json:"answer,omitempty"`
	Error     *kcapi.Error     `json:"error,omitempty"`
}

// Billed is the body of a billed record: the bills of these jobs are in the
// log.
type Billed struct {
	IDs []string `json:"ids"`
}

// NewID returns the id of a job. Jobs of a workspace with the same idempotency
// key get the same id, and so the same shard. nonce is used if there is no key.
func NewID(workspace, idempotencyKey, nonce string) string {
	if idempotencyKey == "" {
		return "job-" + nonce
	}
	sum := sha256.Sum256([]byte(workspace + "\x00" + idempotencyKey))
	return "job-" + hex.EncodeToString(sum[:16])
}

// Stream returns the name of the stream of a shard.
func Stream(shard int) string { return fmt.Sprintf("jobs-%02d", shard) }

func shardIndex(id string, shards int) int { return kcset.Shard(id, shards) }

// Bill returns the bill of a job. It depends only on records in the log, so
// every instance writes the same bill.
func Bill(j Job, e End, endedAt kcclock.Millis) kcbill.Bill {
	b := kcbill.Bill{
		RequestID: j.RequestID, Group: j.ID, Workspace: j.Workspace, Version: j.Version, State: kcbill.Closed,
		Price: j.Price, Execution: e.Execution, Deadline: j.Deadline, At: endedAt,
	}
	if e.Answer != nil && e.Answer.Version != "" {
		b.Version = e.Answer.Version
	}
	if e.State == kcapi.JobDone || !j.Repeatable && e.Execution != kcapi.NotRun {
		b.Amount = j.Price
	}
	return b
}
