// Package backend declares one narrow interface for each external system that
// ringstream depends on. No other package knows their URLs or wire fields. The HTTP
// adapters are in package backend/httpclient.
//
// Every method honors its context's deadline. A failed call returns *Error, whose
// Effect says whether the call can have taken effect.
package backend

import (
	"fmt"
	"time"

	"ringstream.example/ringstream/internal/core/identity"
)

// Effect states whether a failed call can have taken effect.
type Effect uint8

// The effects of a failed call.
const (
	// EffectUnknown means that the call may have been sent and no definite response
	// was received.
	EffectUnknown Effect = iota
	// EffectNone means that the call provably had no effect.
	EffectNone
)

// ErrorCode classifies a failed call.
type ErrorCode string

// The codes by which callers of this package distinguish failures.
const (
	CodeUnavailable ErrorCode = "unavailable"  // down, refused, or timed out
	CodeRateLimited ErrorCode = "rate_limited" // RetryAfter holds the time until a retry
	CodeNotFound    ErrorCode = "not_found"
	CodeFenced      ErrorCode = "fenced"     // an order or write of an older epoch, or a request for another incarnation
	CodeSaturated   ErrorCode = "saturated"  // the engine has no free capacity
	CodeNotLoaded   ErrorCode = "not_loaded" // model, version or adapter not on this engine
	CodeLeaving     ErrorCode = "leaving"    // the engine accepts no new work
	CodeInvalid     ErrorCode = "invalid"    // the call itself is invalid; never retried
	CodeBroken      ErrorCode = "broken"     // a stream ended before its last token
)

// Error is the only error type that adapters return for a failed call.
type Error struct {
	Code       ErrorCode
	Effect     Effect
	RetryAfter time.Duration
	// System and Operation name the failed call, such as "table" and "commit".
	System, Operation string
	Cause             error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s %s: %s", e.System, e.Operation, e.Code)
	}
	return fmt.Sprintf("%s %s: %s: %v", e.System, e.Operation, e.Code, e.Cause)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Cause }

// MachineKind distinguishes engines from ringstream nodes in the machine list.
type MachineKind string

// The machine kinds.
const (
	MachineEngine MachineKind = "engine"
	MachineNode   MachineKind = "node"
)

// Machine is one entry of the machine list. The list lags, so an entry is only a hint.
type Machine struct {
	ID      string
	Kind    MachineKind
	Address string // host:port, where host is an IP address
	Zone    string
	Region  string
	Pool    string // engines only: the pool they serve
	// Capacity is the engine's relative size; 1 is the reference engine.
	Capacity float64
	Leaving  bool
}

// EngineID returns the machine's ID as an engine ID.
func (m Machine) EngineID() identity.EngineID { return identity.EngineID(m.ID) }

// HopHeader marks a request that one site has forwarded to the other. A request
// that carries it is never forwarded again.
const HopHeader = "Ringstream-Hop"

// bytesPerToken is the mean length of a token in bytes of text.
const bytesPerToken = 4

// PromptTokens estimates the tokens of a prompt from its length.
func PromptTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}
