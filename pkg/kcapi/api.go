// Package kcapi defines the types, header names and codes that callers of
// kingcuprail see.
package kcapi

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/kingcuprail/kingcuprail/pkg/kcclock"
)

// Request and response headers.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderMaxWait        = "Kingcuprail-Max-Wait-Ms"
	HeaderSession        = "Kingcuprail-Session"
	HeaderRequestID      = "Kingcuprail-Request-Id"
	HeaderVersion        = "Kingcuprail-Version"
	HeaderPrice          = "Kingcuprail-Price"
)

// Execution tells what is known about the effect of a request.
type Execution string

// Values of Execution.
const (
	// NotRun means that no byte of the request can have reached an upstream.
	NotRun Execution = "notRun"
	// Unknown means that the request may have run.
	Unknown Execution = "unknown"
	// Completed means that the request has run.
	Completed Execution = "completed"
)

// Code is the machine-readable reason of an error. It is also the name of the
// counter that counts the refusals with this reason.
type Code string

// Error codes.
const (
	CodeUnauthorized            Code = "unauthorized"
	CodeInvalidRequest          Code = "invalidRequest"
	CodeBodyTooLarge            Code = "bodyTooLarge"
	CodeNotFound                Code = "notFound"
	CodeUnknownModel            Code = "unknownModel"
	CodeVersionNotAllowed       Code = "versionNotAllowed"
	CodeVersionWithdrawn        Code = "versionWithdrawn"
	CodeSessionVersionWithdrawn Code = "sessionVersionWithdrawn"
	CodeSessionInvalid          Code = "sessionInvalid"
	CodeUnknownService          Code = "unknownService"
	CodeUnknownOperation        Code = "unknownOperation"
	CodeIdempotencyKeyMissing   Code = "idempotencyKeyMissing"
	CodeIdempotencyKeyReused    Code = "idempotencyKeyReused"
	CodeIdempotencyKeyExpired   Code = "idempotencyKeyExpired"
	CodeRequestRunning          Code = "requestRunning"
	CodeOutcomeUnknown          Code = "outcomeUnknown"
	CodeStoreUnavailable        Code = "storeUnavailable"
	CodeBillBacklog             Code = "billBacklog"
	CodeNoUpstream              Code = "noUpstream"
	CodeUpstreamFailed          Code = "upstreamFailed"
	CodeDeadlineUnreachable     Code = "deadlineUnreachable"
	CodeDeadlineExceeded        Code = "deadlineExceeded"
	CodeRateLimited             Code = "rateLimited"
	CodeOverloaded              Code = "overloaded"
	CodeStaleConfiguration      Code = "staleConfiguration"
	CodeStopping                Code = "stopping"
	CodeMethodNotAllowed        Code = "methodNotAllowed"
	CodeHeadersTooLarge         Code = "headersTooLarge"
	CodeRequestTimeout          Code = "requestTimeout"
	CodeCallerLeft              Code = "callerLeft"
)

// StatusCallerLeft is the status in logs of a request whose caller left. No
// caller sees it.
const StatusCallerLeft = 499

// Error is a refusal or failure as the caller sees it.
type Error struct {
	// Status is the HTTP status.
	Status int `json:"-"`
	// Message is for people.
	Message string `json:"message"`
	// Type is the coarse class that OpenAI clients expect.
	Type string `json:"type"`
	// Code is the machine-readable reason.
	Code Code `json:"code"`
	// Execution must be NotRun only if no byte can have reached an upstream.
	Execution Execution `json:"execution"`
	// RetryAfter is 0 if a retry does not help.
	RetryAfter kcclock.Millis `json:"-"`
}

// Error returns the code and the message.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// NewError returns an error with the type derived from the status.
func NewError(status int, code Code, execution Execution, message string) *Error {
	return &Error{Status: status, Message: message, Type: errorType(status), Code: code, Execution: execution}
}

// WithRetryAfter sets the time after which a retry can help and returns e.
func (e *Error) WithRetryAfter(d kcclock.Millis) *Error {
	e.RetryAfter = d
	return e
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}

// Write sends e as the response. Retry-After is rounded up to whole seconds.
func (e *Error) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		seconds := (e.RetryAfter + kcclock.Second - 1) / kcclock.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(struct {
		Error *Error `json:"error"`
	}{e})
}
