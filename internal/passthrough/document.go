package passthrough

import (
	"errors"
	"fmt"
)

// DocumentReason says why a document that another program wrote is not used.
type DocumentReason uint8

// The reasons to refuse a document.
const (
	DocumentUnreadable DocumentReason = iota // the bytes do not have the format of the document
	DocumentMissingField
	DocumentWrongType // a field has the wrong type
	DocumentUnknownState
	DocumentUnknownService // the configuration in force does not name the service
	DocumentBadValue       // a value has the right type but is out of range
)

// String returns the reason's name for logs and metrics.
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

// DocumentError says why and where a document was refused.
type DocumentError struct {
	Reason DocumentReason
	Field  string // the faulty field; empty if the fault is not in one field
	Detail string // what was found, and what is allowed
}

// Error implements error.
func (e *DocumentError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s: %s", e.Reason, e.Detail)
	}
	return fmt.Sprintf("%s: field %s: %s", e.Reason, e.Field, e.Detail)
}

// DocumentReasonOf returns the reason of a refusal. An error without a reason means that the
// document could not be read.
func DocumentReasonOf(err error) DocumentReason {
	var refused *DocumentError
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return DocumentUnreadable
}
