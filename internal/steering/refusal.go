package steering

import (
	"net/http"
	"time"
)

// Code is the reason for a refusal, a stable word for callers.
type Code string

// The codes of refusals.
const (
	CodeNoRoute    Code = "route"
	CodeInvalidKey Code = "key"
	// CodeStale means that the configuration in force is not known to be the newest.
	CodeStale       Code = "stale"
	CodeRateLimited Code = "rate"
	CodeQueueFull   Code = "queue"
	CodeDeadline    Code = "deadline"
	// CodeCapacity means that upstreams shed the request.
	CodeCapacity         Code = "capacity"
	CodeSuspect          Code = "suspect"
	CodeNoIdempotencyKey Code = "idempotency"
	// CodeMismatch means that the idempotency key was used for a different request.
	CodeMismatch          Code = "mismatch"
	CodeInProgress        Code = "progress"
	CodeOutcomeUnknown    Code = "unknown"
	CodeResponseNotStored Code = "kept"
	CodeStoreUnavailable  Code = "store"
	CodeUpstreamFailed    Code = "upstream"
	CodeInvalidBody       Code = "body"
)

// Outcome is whether a refused request ran.
type Outcome string

// The outcomes of a refused request.
const (
	Ran            Outcome = "ran"
	NotRun         Outcome = "not run"
	OutcomeUnknown Outcome = "unknown"
)

// Refusal is the instance's own response to a request, in place of an upstream's response.
//
// RetryAt is the time until which the caller should wait before a retry; zero means that a retry does not help.
type Refusal struct {
	Code    Code
	Outcome Outcome
	RetryAt time.Time
}

// Status returns the HTTP status of the refusal.
func (r Refusal) Status() int {
	switch r.Code {
	case CodeNoRoute:
		return http.StatusNotFound
	case CodeInvalidKey:
		return http.StatusUnauthorized
	case CodeRateLimited:
		return http.StatusTooManyRequests
	case CodeNoIdempotencyKey, CodeInvalidBody:
		return http.StatusBadRequest
	case CodeMismatch, CodeSuspect:
		return http.StatusUnprocessableEntity
	case CodeInProgress, CodeResponseNotStored:
		return http.StatusConflict
	case CodeDeadline, CodeOutcomeUnknown:
		return http.StatusGatewayTimeout
	case CodeUpstreamFailed:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}
