package passthrough

import (
	"errors"
	"fmt"
)

// DocumentReason says why a document that another program wrote is not used.
type DocumentReason uint8

// The reasons to refuse a document.
const (
	DocumentUnreadable DocumentReason = iota // its bytes are not of its format
	DocumentMissingField
	DocumentWrongType // of a field
	DocumentUnknownState
	DocumentUnknownService // the configuration in force does not name it
	DocumentBadValue       // of the right type, and out of what is allowed
)

// String gives the reason's name for logs and metrics.
func (r DocumentReason) String() string {
	switch r {
	case DocumentMissingField:
		return "missing_field"
	case DocumentWrongType:
		return "wrong_type"
	case DocumentUnknownState:
		return "unknown_state"
	case DocumentUnknownService:
		return "unknown_service"
	case DocumentBadValue:
		return "bad_value"
	default:
		return "unreadable"
	}
}

// DocumentError is the refusal of a document.
type DocumentError struct {
	Reason DocumentReason
	Field  string // that is at fault, where one is
	Detail string // what was found, and what is allowed
}

// Error implements error.
func (e *DocumentError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s: %s", e.Reason, e.Detail)
	}
	return fmt.Sprintf("%s: field %s: %s", e.Reason, e.Field, e.Detail)
}

// DocumentReasonOf gives the reason of a refusal; an error without one says that the
// document could not be read.
func DocumentReasonOf(err error) DocumentReason {
	var refused *DocumentError
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return DocumentUnreadable
}
