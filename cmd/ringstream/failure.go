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

// The exit codes of the program. exitCodesHelp explains them to operators.
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

// usageError is an error in the command line.
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

// Unwrap returns the cause.
func (e *usageError) Unwrap() error { return e.cause }

func exitCode(err error) int {
	var usage *usageError
	var settingsError *settings.Error
	var apiError *adminclient.APIError
	var connectionError *adminclient.ConnectionError
	var notFound *idNotFoundError
	switch {
	case errors.As(err, &notFound), errors.Is(err, passthrough.ErrNotFound):
		return exitNotFound
	case errors.As(err, &usage), errors.As(err, &settingsError), strings.HasPrefix(err.Error(), "unknown command"):
		return exitUsage
	case errors.As(err, &connectionError), errors.Is(err, passthrough.ErrNothingDone), errors.Is(err, passthrough.ErrOutcomeUnknown):
		return exitUnavailable
	case errors.As(err, &apiError):
		return exitCodeOfStatus(apiError.Status)
	default:
		return exitFailure
	}
}

func exitCodeOfStatus(status int) int {
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

// explainFailure returns the error's text with advice on what to do about it.
func explainFailure(err error) string {
	text := "ringstream: " + err.Error()
	if advice := advise(err); advice != "" {
		text += "\n" + advice
	}
	return text
}

func advise(err error) string {
	var apiError *adminclient.APIError
	if errors.As(err, &apiError) && len(apiError.Current) > 0 {
		return "The current row:\n" + indent(apiError.Current) + "\nMake your change against it and send it again."
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
		if apiError != nil {
			return "Try again later; the message says what cannot be reached. It is the same for every node when it is the platform's."
		}
		return "Name another node with --server or " + settings.EnvironmentServer + ", or try again; nodes say why on /readyz."
	case exitUsage:
		return "See `ringstream --help`."
	default:
		return ""
	}
}

// certificateRefused reports whether one side rejected the other's certificate,
// or its absence.
func certificateRefused(err error) bool {
	var unverified *tls.CertificateVerificationError
	var alert tls.AlertError
	return errors.As(err, &unverified) || errors.As(err, &alert)
}
