package kcapi

import (
	"encoding/json"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// JobRequest is the body of POST /v1/jobs. Exactly one of Chat and Call is set.
type JobRequest struct {
	// Chat is a chat completion request; it must not ask for a stream.
	Chat json.RawMessage `json:"chat,omitempty"`
	// Call is a call of a plain service.
	Call *JobCall `json:"call,omitempty"`
	// Session is the equivalent of the header Kingcuprail-Session.
	Session string `json:"session,omitempty"`
	// MaxWaitMs is the equivalent of the header Kingcuprail-Max-Wait-Ms.
	MaxWaitMs kcclock.Millis `json:"maxWaitMs,omitempty"`
	// DeadlineMs is the latest time for the end of the job, in milliseconds
	// since the Unix epoch. It takes precedence over MaxWaitMs.
	DeadlineMs kcclock.Millis `json:"deadlineMs,omitempty"`
}

// JobCall is a call of a plain service within a job.
type JobCall struct {
	Service   string `json:"service"`
	Operation string `json:"operation"`
	// Body is sent unchanged with the content type application/json.
	Body json.RawMessage `json:"body,omitempty"`
}

// JobState is the state of a job as the caller sees it.
type JobState string

// Values of JobState.
const (
	JobQueued  JobState = "queued"
	JobRunning JobState = "running"
	JobDone    JobState = "done"
	JobFailed  JobState = "failed"
	// JobExpired is the state of a job whose deadline passed before it was
	// started.
	JobExpired JobState = "expired"
)

// JobStatus is the response of POST /v1/jobs and GET /v1/jobs/{id}.
type JobStatus struct {
	ID    string   `json:"id"`
	State JobState `json:"state"`
	// RequestID is the request id that the bill and the upstream carry.
	RequestID  string         `json:"requestId"`
	DeadlineMs kcclock.Millis `json:"deadlineMs"`
	// Price is in micro-units of currency.
	Price int64 `json:"price"`
	// LateExpected is true while the job is expected to miss its deadline.
	LateExpected bool `json:"lateExpected,omitempty"`
	// Answer is set if State is JobDone.
	Answer *JobAnswer `json:"answer,omitempty"`
	// Error is set if State is JobFailed or JobExpired.
	Error *Error `json:"error,omitempty"`
}

// JobAnswer is the response that a direct request would have received.
type JobAnswer struct {
	Status  int    `json:"status"`
	Version string `json:"version"`
	// Session is the equivalent of the header Kingcuprail-Session.
	Session string `json:"session,omitempty"`
	// Body is the body of the response: a JSON body unchanged, any other body
	// as a JSON string.
	Body json.RawMessage `json:"body,omitempty"`
	// Truncated is true if the response was too large to be stored.
	Truncated bool `json:"truncated,omitempty"`
}
