package gateway

import (
	"net/http"
	"time"

	"ringstream.example/ringstream/internal/apierror"
	"ringstream.example/ringstream/internal/core/outcome"
	"ringstream.example/ringstream/internal/httpserver"
)

func messageOf(err error) string { return httpserver.Classify(err).Message }

// errClientGone ends a request whose client closed the connection. No client reads
// it. Its status, nginx's 499, is for the access log.
var errClientGone = &apierror.Error{Status: 499, Code: apierror.CodeDeadline, Message: "the client closed the connection", Run: outcome.Cancelled}

// errStillRunning ends the wait of a client whose own deadline comes before
// the end of the run that it follows.
var errStillRunning = &apierror.Error{
	Status: http.StatusGatewayTimeout, Code: apierror.CodeDeadline, Run: outcome.Unknown,
	Message: "the deadline passed while the request was running; with an Idempotency-Key, send it again to read the answer",
}

// defaultRetryAfter is the Retry-After of a refusal that has none of its own.
const defaultRetryAfter = time.Second

// failureOf returns the error with which a run that did not complete is reported to
// its caller.
func failureOf(ended outcome.Outcome) *apierror.Error {
	failure := &apierror.Error{Code: apierror.Code(ended.Code), Message: ended.Reason, Run: ended.Kind, RetryAfter: ended.RetryAfter}
	switch ended.Kind {
	case outcome.Refused:
		setDefaults(failure, apierror.CodeNoCapacity, "not run: no engine took the request")
		failure.Status = refusedStatus(failure.Code)
	case outcome.Cancelled:
		failure.Status = http.StatusGatewayTimeout
		setDefaults(failure, apierror.CodeDeadline, "stopped before it was complete")
	case outcome.Failed:
		failure.Status = http.StatusBadGateway
		setDefaults(failure, apierror.CodeEngine, "the engine could not complete the request")
	case outcome.Completed, outcome.Unknown, outcome.Preempted:
		failure.Status = http.StatusBadGateway
		failure.Run = outcome.Unknown
		setDefaults(failure, apierror.CodeEngine, "the engine stopped answering; the request may have run")
	}
	return failure
}

func setDefaults(failure *apierror.Error, code apierror.Code, message string) {
	if failure.Code == "" {
		failure.Code = code
	}
	if failure.Message == "" {
		failure.Message = message
	}
	if failure.Run == outcome.Refused && failure.RetryAfter == 0 {
		failure.RetryAfter = defaultRetryAfter
	}
}

// refusedStatus returns the HTTP status of a refusal with the given code.
func refusedStatus(code apierror.Code) int {
	switch code {
	case apierror.CodeInvalidRequest:
		return http.StatusBadRequest
	case apierror.CodeNotFound:
		return http.StatusNotFound
	case apierror.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case apierror.CodeLimited:
		return http.StatusTooManyRequests
	case apierror.CodeDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}
