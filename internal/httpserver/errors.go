package httpserver

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"ringstream.example/ringstream/internal/apierror"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/outcome"
)

// ErrorBody is the JSON body of every error response. Error repeats code and
// message in the form that OpenAI clients read.
type ErrorBody struct {
	Code      apierror.Code      `json:"code"`
	Message   string             `json:"message"`
	Run       string             `json:"run"` // label of an outcome.Kind
	RequestID identity.RequestID `json:"request_id,omitempty"`
	Current   any                `json:"current,omitempty"`
	Error     NestedError        `json:"error"`
}

// NestedError is the part of ErrorBody that OpenAI clients read.
type NestedError struct {
	Message string        `json:"message"`
	Type    apierror.Code `json:"type"`
	Code    apierror.Code `json:"code"`
}

// NewErrorBody returns the JSON body for an error. It is exported for streams that
// end with an error.
func NewErrorBody(c echo.Context, failure *apierror.Error) ErrorBody {
	return ErrorBody{
		Code:      failure.Code,
		Message:   failure.Message,
		Run:       failure.Run.String(),
		RequestID: RequestID(c),
		Current:   failure.Detail,
		Error:     NestedError{Message: failure.Message, Type: failure.Code, Code: failure.Code},
	}
}

// WriteError sends the JSON response for an error, which Classify converts to an
// *apierror.Error. It does nothing if the response has already begun.
func WriteError(c echo.Context, err error) {
	if c.Response().Committed {
		return
	}
	failure := Classify(err)
	if failure.RetryAfter > 0 {
		seconds := math.Ceil(failure.RetryAfter.Seconds())
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(int(seconds)))
	}
	if c.Request().Method == http.MethodHead {
		_ = c.NoContent(failure.Status) // an error means that the client has disconnected
		return
	}
	_ = c.JSON(failure.Status, NewErrorBody(c, failure))
}

// Classify converts any error of a handler to an *apierror.Error. An error of
// unknown kind becomes an internal error with an unknown outcome of the run.
func Classify(err error) *apierror.Error {
	var failure *apierror.Error
	if errors.As(err, &failure) {
		return failure
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		message := fmt.Sprintf("the request body is larger than the allowed %d bytes", tooLarge.Limit)
		return refusal(http.StatusRequestEntityTooLarge, apierror.CodeTooLarge, message)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return refusal(http.StatusRequestTimeout, apierror.CodeInvalidRequest, "the request body did not arrive in time")
	}
	var routing *echo.HTTPError
	if errors.As(err, &routing) {
		return classifyRouting(routing)
	}
	return &apierror.Error{
		Status: http.StatusInternalServerError, Code: apierror.CodeInternal,
		Message: "internal error; the request id finds it in the node's log", Run: outcome.Unknown,
	}
}

func classifyRouting(routing *echo.HTTPError) *apierror.Error {
	message := fmt.Sprint(routing.Message)
	switch {
	case routing.Code == http.StatusNotFound:
		return refusal(routing.Code, apierror.CodeNotFound, "no such path")
	case routing.Code == http.StatusMethodNotAllowed:
		return refusal(routing.Code, apierror.CodeInvalidRequest, "this path does not take this method")
	case routing.Code < http.StatusInternalServerError:
		return refusal(routing.Code, apierror.CodeInvalidRequest, message)
	default:
		return &apierror.Error{Status: routing.Code, Code: apierror.CodeInternal, Message: message, Run: outcome.Unknown}
	}
}

func refusal(status int, code apierror.Code, message string) *apierror.Error {
	return &apierror.Error{Status: status, Code: code, Message: message, Run: outcome.Refused, RetryAfter: time.Duration(0)}
}
