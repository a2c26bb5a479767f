// Package apierror defines the error that clients and operators receive: an HTTP
// status, a stable code, a message, and the outcome of the run as far as known.
package apierror

import (
	"fmt"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"ringstream.example/ringstream/internal/core/outcome"
)

// Code is a stable, machine-readable reason for an error.
type Code string

// The error codes. docs/operations/errors.md has an entry for each.
const (
	CodeInvalidRequest Code = "invalid_request"
	CodeUnauthorized   Code = "unauthorized"
	CodeForbidden      Code = "forbidden"
	CodeNotFound       Code = "not_found"
	CodeConflict       Code = "conflict"
	CodeKeyReuse       Code = "idempotency_key_reuse"
	CodeTooLarge       Code = "request_too_large"
	CodeLimited        Code = "limit_exceeded"
	CodeNoCapacity     Code = "no_capacity"
	CodeStoreDown      Code = "store_unavailable"
	CodeDraining       Code = "draining"
	CodeDeadline       Code = "deadline_exceeded"
	CodeEngine         Code = "engine_failed"
	CodeEngineLost     Code = "engine_lost"
	CodeNeverRan       Code = "never_ran"
	CodeNotLoaded      Code = "model_not_loaded"
	CodeCancelled      Code = "cancelled"
	CodePreempted      Code = "preempted"           // batch items only
	CodeIntent         Code = "intent_not_recorded" // batch items only
	CodeInternal       Code = "internal"
)

// Error is an error response.
type Error struct {
	Status     int
	Code       Code
	Message    string
	Run        outcome.Kind
	RetryAfter time.Duration
	// Detail is added to the JSON body as "current", for example the current row.
	Detail any
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Message) }

// New returns an error for a request that did not run. It wraps an *Error, which
// errors.As finds, and carries merry's stack trace and HTTP code.
func New(status int, code Code, format string, arguments ...any) error {
	body := &Error{Status: status, Code: code, Message: fmt.Sprintf(format, arguments...), Run: outcome.Refused}
	return merry.Wrap(body, merry.WithHTTPCode(status))
}

// Invalid returns a 400 for an invalid request. The message names the fault.
func Invalid(format string, arguments ...any) error {
	return New(http.StatusBadRequest, CodeInvalidRequest, format, arguments...)
}

// Unavailable returns a 503 for a request that provably did not run, because a
// store that it needs is unreachable.
func Unavailable(retryAfter time.Duration, format string, arguments ...any) error {
	body := &Error{
		Status: http.StatusServiceUnavailable, Code: CodeStoreDown, Run: outcome.Refused,
		RetryAfter: retryAfter, Message: fmt.Sprintf(format, arguments...),
	}
	return merry.Wrap(body, merry.WithHTTPCode(body.Status))
}

// Uncertain returns a 503 for a request that may have taken effect.
func Uncertain(format string, arguments ...any) error {
	body := &Error{
		Status: http.StatusServiceUnavailable, Code: CodeStoreDown, Run: outcome.Unknown,
		RetryAfter: time.Second, Message: fmt.Sprintf(format, arguments...),
	}
	return merry.Wrap(body, merry.WithHTTPCode(body.Status))
}
