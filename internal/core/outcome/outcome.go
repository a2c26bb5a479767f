// Package outcome declares how a request can end. Outcomes are values and are
// never represented by an error.
package outcome

import "time"

// Kind states what is known about the execution of a request.
type Kind uint8

// The kinds. Only Completed and Refused may be reported as certain.
const (
	// Unknown means that the request was sent to an engine and no answer came. It may
	// have run.
	Unknown Kind = iota
	// Completed means that the whole answer was received.
	Completed
	// Refused means that the request provably did not run: it was never sent, or the
	// engine reported that it did not run it.
	Refused
	// Failed means that the request ran and an engine reported that it cannot complete.
	Failed
	// Cancelled means that the request was stopped for the caller or an operator.
	Cancelled
	// Preempted means that batch work was stopped in favor of online work; the tokens
	// so far are kept.
	Preempted
)

// String returns the stable label used in answers, logs and metrics.
func (k Kind) String() string {
	switch k {
	case Completed:
		return "completed"
	case Refused:
		return "not_run"
	case Failed:
		return "failed"
	case Cancelled:
		return "cancelled"
	case Preempted:
		return "preempted"
	default:
		return "unknown"
	}
}

// Outcome is the result of one request as reported to its caller.
type Outcome struct {
	Kind Kind
	// Code is a stable machine-readable reason; empty when Completed.
	Code string
	// Reason is a human-readable reason.
	Reason string
	// RetryAfter is the time after which a refused caller may retry; zero if unknown.
	RetryAfter time.Duration
	// FinishReason is the reason reported by the engine ("stop", "length") when
	// Completed.
	FinishReason string
	// PromptTokens and OutputTokens are the numbers of tokens that the engine processed.
	PromptTokens, OutputTokens int
	// Tokens holds the output so far, for Preempted and Completed batch items.
	Tokens []string
}
