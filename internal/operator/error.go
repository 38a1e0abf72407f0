package operator

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"bluebellhold/id"
	"bluebellhold/note"
	"bluebellhold/store"
)

// ConflictError reports that another note was accepted first; Epoch is the current epoch.
type ConflictError = note.ConflictError

// Outcome tells whether a refused request took effect.
type Outcome string

// The outcomes of a refused request.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not run"
	OutcomeUnknown Outcome = "unknown"
)

// retryDelay is the suggested delay before a retry while the store is unavailable or after a timeout. It equals the
// interval at which instances poll.
const retryDelay = 500 * time.Millisecond

// UnavailableError reports that an instance temporarily cannot serve a request.
type UnavailableError struct {
	Outcome    Outcome
	RetryAfter time.Duration
	Cause      error
}

// Error names the cause.
func (e *UnavailableError) Error() string {
	if e.Cause == nil {
		return "operator: unavailable"
	}
	return "operator: unavailable: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error {
	return e.Cause
}

// NotFoundError reports that a path, service or organisation of a request does not exist.
type NotFoundError struct {
	Kind string
	Name string
}

// Error names the kind and the name.
func (e *NotFoundError) Error() string {
	return "operator: " + e.Kind + " " + strconv.Quote(e.Name) + " does not exist"
}

// TokenError reports a request without the operators' token.
type TokenError struct{}

// Error describes the header that is required.
func (*TokenError) Error() string {
	return "operator: the operators' token is needed as \"Authorization: Bearer TOKEN\""
}

// BodyTooLargeError reports a body above the size limit.
type BodyTooLargeError struct {
	Limit id.Bytes
}

// Error names the limit.
func (e *BodyTooLargeError) Error() string {
	return "operator: the body is larger than " + strconv.FormatInt(int64(e.Limit), 10) + " bytes"
}

// BodyReadError reports that reading a body failed.
type BodyReadError struct {
	Cause error
}

// Error names the cause.
func (e *BodyReadError) Error() string {
	return "operator: the body could not be read: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *BodyReadError) Unwrap() error {
	return e.Cause
}

// MethodError reports a method that a path does not support.
type MethodError struct {
	Method string
}

// Error names the method.
func (e *MethodError) Error() string {
	return "operator: method " + strconv.Quote(e.Method) + " is not allowed here"
}

// PanicError reports a panic in the instance; the details are in its log.
type PanicError struct{}

// Error refers to the log.
func (*PanicError) Error() string {
	return "operator: internal fault, see the log of the instance"
}

// Refusal is the JSON body of a refused request.
type Refusal struct {
	Code             string             `json:"code"`
	Outcome          Outcome            `json:"outcome"`
	RetryAfterMillis int64              `json:"after"`
	Error            string             `json:"error"`
	Path             string             `json:"path"`
	Fields           []*note.FieldError `json:"fields,omitempty"`
	Epoch            *id.Epoch          `json:"epoch,omitempty"`
}

// withStatus attaches the HTTP status of the response to an error.
func withStatus(err error, status int) error {
	return merry.Wrap(err, merry.WithHTTPCode(status), merry.NoCaptureStack())
}

// classify returns the response body for err, and err with the HTTP status attached.
//
// An error of any other type keeps the status that is attached to it, 500 by default, and its outcome is unknown,
// because it is not known whether it occurred before or after the request took effect.
func classify(err error) (Refusal, error) {
	var invalid *note.InvalidError
	var infeasible *note.InfeasibleError
	var field *note.FieldError
	switch {
	case errors.As(err, &invalid):
		return newFieldsRefusal("invalid", err, invalid.Fields), withStatus(err, http.StatusBadRequest)
	case errors.As(err, &infeasible):
		return newFieldsRefusal("infeasible", err, infeasible.Fields), withStatus(err, http.StatusUnprocessableEntity)
	case errors.As(err, &field):
		return newFieldsRefusal("invalid", err, []*note.FieldError{field}), withStatus(err, http.StatusBadRequest)
	}
	return classifyBackendError(err)
}

func classifyBackendError(err error) (Refusal, error) {
	var conflict *ConflictError
	var unavailable *UnavailableError
	var notFound *NotFoundError
	var storeUnavailable *store.UnavailableError
	switch {
	case errors.As(err, &conflict):
		r := newRefusal("conflict", OutcomeNotRun, err)
		r.Epoch = &conflict.Epoch
		return r, withStatus(err, http.StatusConflict)
	case errors.As(err, &unavailable):
		r := newRefusal("unavailable", unavailable.Outcome, err)
		if r.Outcome == "" {
			r.Outcome = OutcomeUnknown
		}
		r.RetryAfterMillis = unavailable.RetryAfter.Milliseconds()
		return r, withStatus(err, http.StatusServiceUnavailable)
	case errors.As(err, &storeUnavailable):
		r := newRefusal("unavailable", OutcomeUnknown, err)
		r.RetryAfterMillis = retryDelay.Milliseconds()
		return r, withStatus(err, http.StatusServiceUnavailable)
	case errors.As(err, &notFound):
		return newRefusal("absent", OutcomeNotRun, err), withStatus(err, http.StatusNotFound)
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		r := newRefusal("late", OutcomeUnknown, err)
		r.RetryAfterMillis = retryDelay.Milliseconds()
		return r, withStatus(err, http.StatusGatewayTimeout)
	}
	return classifyRequestError(err)
}

func classifyRequestError(err error) (Refusal, error) {
	var token *TokenError
	var tooLarge *BodyTooLargeError
	var unreadable *BodyReadError
	var method *MethodError
	switch {
	case errors.As(err, &token):
		return newRefusal("unauthorised", OutcomeNotRun, err), withStatus(err, http.StatusUnauthorized)
	case errors.As(err, &tooLarge):
		return newRefusal("large", OutcomeNotRun, err), withStatus(err, http.StatusRequestEntityTooLarge)
	case errors.As(err, &unreadable):
		return newRefusal("unread", OutcomeNotRun, err), withStatus(err, http.StatusBadRequest)
	case errors.As(err, &method):
		return newRefusal("method", OutcomeNotRun, err), withStatus(err, http.StatusMethodNotAllowed)
	}
	return newRefusal("internal", OutcomeUnknown, err), err
}

func newRefusal(code string, outcome Outcome, err error) Refusal {
	return Refusal{Code: code, Outcome: outcome, Error: err.Error()}
}

func newFieldsRefusal(code string, err error, fields []*note.FieldError) Refusal {
	r := newRefusal(code, OutcomeNotRun, err)
	r.Fields = fields
	if len(fields) > 0 {
		r.Path = fields[0].Path
	}
	return r
}
