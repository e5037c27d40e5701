// Package kcapi defines the types, header names and error codes of the public
// API of kingcuprail.
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

// Execution states whether a request may have been executed by an upstream.
type Execution string

// Values of Execution.
const (
	// NotRun means that no byte of the request can have reached an upstream, so
	// the request has not been executed.
	NotRun Execution = "notRun"
	// Unknown means that the request may have been executed.
	Unknown Execution = "unknown"
	// Completed means that the request has been executed.
	Completed Execution = "completed"
)

// Code is the machine-readable reason of an error. It is also the name of the
// counter of refusals with this reason.
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
	CodeQuarantined             Code = "quarantined"
	CodeStaleConfiguration      Code = "staleConfiguration"
	CodeStopping                Code = "stopping"
	CodeMethodNotAllowed        Code = "methodNotAllowed"
	CodeHeadersTooLarge         Code = "headersTooLarge"
	CodeRequestTimeout          Code = "requestTimeout"
	CodeCallerLeft              Code = "callerLeft"
)

// StatusCallerLeft is the status that logs show for a request whose caller
// closed the connection (client closed request). It is never sent.
const StatusCallerLeft = 499

// Error is a refusal or failure as the caller sees it.
type Error struct {
	// Status is the HTTP status.
	Status int `json:"-"`
	// Message is a description for humans.
	Message string `json:"message"`
	// Type is the error class that OpenAI clients expect.
	Type string `json:"type"`
	// Code is the machine-readable reason.
	Code Code `json:"code"`
	// Execution may be NotRun only if no byte of the request can have reached
	// an upstream.
	Execution Execution `json:"execution"`
	// RetryAfter is the time after which a retry can succeed, or 0 if a retry
	// does not help.
	RetryAfter kcclock.Millis `json:"-"`
}

// Error returns the code and the message.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// NewError returns an error whose type is derived from the status.
func NewError(status int, code Code, execution Execution, message string) *Error {
	return &Error{Status: status, Message: message, Type: errorType(status), Code: code, Execution: execution}
}

// WithRetryAfter sets the time after which a retry can succeed and returns e.
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

// Write sends e as the response. The Retry-After header is rounded up to whole
// seconds.
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
