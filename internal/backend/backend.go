// Package backend declares, as one narrow interface each, the outside systems
// that ringstream runs on. No other package knows a URL or a wire field of
// theirs; the HTTP adapters live in package backend/httpclient.
//
// Every method honours its context's deadline. A failed call returns *Error,
// whose Effect says what is known of the call.
package backend

import (
	"fmt"
	"time"

	"ringstream.example/ringstream/internal/core/identity"
)

// Effect says whether a failed call can have taken effect.
type Effect uint8

// The effects of a failed call.
const (
	// EffectUnknown: the call was sent and its answer did not come.
	EffectUnknown Effect = iota
	// EffectNone: the call provably did nothing.
	EffectNone
)

// ErrorCode classifies a failed call.
type ErrorCode string

// The codes that callers of this package decide by.
const (
	CodeUnavailable ErrorCode = "unavailable"  // down, refused, or timed out
	CodeRateLimited ErrorCode = "rate_limited" // RetryAfter says when to ask again
	CodeNotFound    ErrorCode = "not_found"
	CodeFenced      ErrorCode = "fenced"     // an order or write of an older epoch
	CodeSaturated   ErrorCode = "saturated"  // the engine has no room
	CodeNotLoaded   ErrorCode = "not_loaded" // model, version or adapter not on this engine
	CodeLeaving     ErrorCode = "leaving"    // the engine takes no new work
	CodeInvalid     ErrorCode = "invalid"    // the call itself is wrong; never retried
	CodeBroken      ErrorCode = "broken"     // a stream ended before its last token
)

// Error is the only error type that adapters return for a failed call.
type Error struct {
	Code       ErrorCode
	Effect     Effect
	RetryAfter time.Duration
	// System and Operation name what failed ("table", "commit").
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

// Unwrap gives the transport's error.
func (e *Error) Unwrap() error { return e.Cause }

// MachineKind tells engines from ringstream nodes in the machine list.
type MachineKind string

// The machine kinds.
const (
	MachineEngine MachineKind = "engine"
	MachineNode   MachineKind = "node"
)

// Machine is one entry of the machine list. The list lags: it is a hint.
type Machine struct {
	ID      string
	Kind    MachineKind
	Address string // host:port, the host an IP number
	Zone    string
	Region  string
	Pool    string // engines only: the pool they serve
	// Capacity is the engine's relative size; 1 is the reference engine.
	Capacity float64
	Leaving  bool
}

// EngineID gives the machine's identifier as an engine.
func (m Machine) EngineID() identity.EngineID { return identity.EngineID(m.ID) }

// HopHeader marks a request that one site has already handed to the other. A
// request that carries it is never forwarded again.
const HopHeader = "Ringstream-Hop"

// bytesPerToken is the mean length of a token in bytes of text.
const bytesPerToken = 4

// PromptTokens estimates the tokens of a prompt from its length.
func PromptTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}
