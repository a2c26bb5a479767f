package main

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"ringstream.example/ringstream/internal/adminclient"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/settings"
)

// The exit codes; exitCodesHelp explains them to operators.
const (
	exitOK = iota
	exitFailure
	exitUsage
	exitNotFound
	exitConflict
	exitForbidden
	exitUnavailable
	exitRefused
)

// usageError is a wrong command line.
type usageError struct {
	command string
	cause   error
}

// Error implements error.
func (e *usageError) Error() string {
	if e.command == "" {
		return e.cause.Error()
	}
	return fmt.Sprintf("%s: %v", e.command, e.cause)
}

// Unwrap gives the cause.
func (e *usageError) Unwrap() error { return e.cause }

func exitCode(err error) int {
	var usage *usageError
	var wrong *settings.Error
	var answer *adminclient.APIError
	var connection *adminclient.ConnectionError
	var untold *noStoryError
	switch {
	case errors.As(err, &untold), errors.Is(err, passthrough.ErrNotFound):
		return exitNotFound
	case errors.As(err, &usage), errors.As(err, &wrong), strings.HasPrefix(err.Error(), "unknown command"):
		return exitUsage
	case errors.As(err, &connection), errors.Is(err, passthrough.ErrNothingDone), errors.Is(err, passthrough.ErrOutcomeUnknown):
		return exitUnavailable
	case errors.As(err, &answer):
		return exitCodeOf(answer.Status)
	default:
		return exitFailure
	}
}

func exitCodeOf(status int) int {
	switch status {
	case http.StatusNotFound:
		return exitNotFound
	case http.StatusConflict, http.StatusPreconditionFailed:
		return exitConflict
	case http.StatusUnauthorized, http.StatusForbidden:
		return exitForbidden
	case http.StatusServiceUnavailable, http.StatusBadGateway, http.StatusGatewayTimeout:
		return exitUnavailable
	}
	if status < http.StatusInternalServerError {
		return exitRefused
	}
	return exitFailure
}

// explainFailure says what went wrong, where, and what to do.
func explainFailure(err error) string {
	text := "ringstream: " + err.Error()
	if advice := advise(err); advice != "" {
		text += "\n" + advice
	}
	return text
}

func advise(err error) string {
	var answer *adminclient.APIError
	if errors.As(err, &answer) && len(answer.Current) > 0 {
		return "The current row:\n" + indent(answer.Current) + "\nMake your change against it and send it again."
	}
	var usage *usageError
	if errors.As(err, &usage) && usage.command != "" {
		return fmt.Sprintf("See `%s --help`.", usage.command)
	}
	if certificateRefused(err) {
		return "Give the authority of the node's certificate with --ca-file, and your own with --tls-certificate and --tls-key if the node demands one."
	}
	switch exitCode(err) {
	case exitForbidden:
		return "Give an operator's key with --key or " + settings.EnvironmentKey + "."
	case exitUnavailable:
		if answer != nil {
			return "Try again later; the message says what cannot be reached. It is the same for every node when it is the platform's."
		}
		return "Name another node with --server or " + settings.EnvironmentServer + ", or try again; nodes say why on /readyz."
	case exitUsage:
		return "See `ringstream --help`."
	default:
		return ""
	}
}

// certificateRefused says whether one side did not accept the other's
// certificate, or the lack of one.
func certificateRefused(err error) bool {
	var unverified *tls.CertificateVerificationError
	var alert tls.AlertError
	return errors.As(err, &unverified) || errors.As(err, &alert)
}
