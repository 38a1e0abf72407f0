package steering

import (
	"net/http"
	"time"
)

// Code is a stable word that tells callers why a request was refused.
type Code string

// The codes of refusals.
const (
	CodeNoRoute     Code = "route"
	CodeKey         Code = "key"
	CodeStale       Code = "stale"
	CodeRate        Code = "rate"
	CodeQueue       Code = "queue"
	CodeDeadline    Code = "deadline"
	CodeCapacity    Code = "capacity"
	CodeSuspect     Code = "suspect"
	CodeIdempotency Code = "idempotency"
	CodeMismatch    Code = "mismatch"
	CodeProgress    Code = "progress"
	CodeUnknown     Code = "unknown"
	CodeKept        Code = "kept"
	CodeStore       Code = "store"
	CodeUpstream    Code = "upstream"
	CodeBody        Code = "body"
)

// Outcome tells whether a refused request ran.
type Outcome string

// The outcomes that a refusal states.
const (
	Ran            Outcome = "ran"
	NotRun         Outcome = "not run"
	OutcomeUnknown Outcome = "unknown"
)

// Refusal is the answer to a request that gets no answer of an upstream.
//
// After is the time until which the caller should wait; zero means that coming again does not help.
type Refusal struct {
	Code    Code
	Outcome Outcome
	After   time.Time
}

// Status returns the HTTP status of the refusal.
func (r Refusal) Status() int {
	switch r.Code {
	case CodeNoRoute:
		return http.StatusNotFound
	case CodeKey:
		return http.StatusUnauthorized
	case CodeRate:
		return http.StatusTooManyRequests
	case CodeIdempotency, CodeBody:
		return http.StatusBadRequest
	case CodeMismatch, CodeSuspect:
		return http.StatusUnprocessableEntity
	case CodeProgress, CodeKept:
		return http.StatusConflict
	case CodeDeadline, CodeUnknown:
		return http.StatusGatewayTimeout
	case CodeUpstream:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}
