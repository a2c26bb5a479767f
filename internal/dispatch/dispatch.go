// Package dispatch runs requests on engines. It routes requests, sends attempts,
// reads their token streams, retries requests that provably did not run, resumes
// broken streams and preempts batch work when online work needs its capacity.
package dispatch

import (
	"context"
	"time"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/outcome"
	"ringstream.example/ringstream/internal/core/policy"
)

// Request is one unit of model work, online or a batch item.
type Request struct {
	ID        identity.RequestID
	Tenant    identity.TenantID
	Row       policy.Row // as looked up when the request was accepted
	Kind      policy.Kind
	Model     string
	Adapter   string
	Prompt    string
	MaxTokens int
	Sampling  backend.Sampling
	// KeptTokens holds the tokens of an earlier attempt that was preempted.
	KeptTokens []string
	// Repeatable is false for a request that may be sent to an engine at most once.
	Repeatable bool
	// Deadline is when the caller stops waiting. Zero means no deadline.
	Deadline time.Time
	// BeforeSend, when set, is called after routing and before the first byte
	// is sent to the engine. If it returns an error, nothing is sent and the
	// outcome is Refused.
	BeforeSend func(ctx context.Context, intent Intent) error
}

// Intent identifies an attempt before it is sent. A worker records it durably for
// requests that are not repeatable.
type Intent = identity.Intent

// Sink receives the tokens of a request in offset order, each offset once. An
// error means that the caller has gone; the engine's work is then cancelled.
type Sink func(token backend.Token) error

// Online runs online requests.
type Online interface {
	// Run returns when the request has ended. Cancelling the context cancels
	// the engine's work.
	Run(ctx context.Context, request Request, sink Sink) outcome.Outcome
}

// Batch runs batch items on capacity that online work leaves idle.
type Batch interface {
	// Acquire waits for idle capacity in a pool for a model and reserves it.
	Acquire(ctx context.Context, pool, model string) (Slot, error)
	// Resume reads the stream of an earlier intent's attempt without sending a
	// new one. The outcome is Completed, Refused when the engine confirms that
	// the attempt never ran and never will, or Unknown when it cannot confirm that.
	Resume(ctx context.Context, intent Intent, offset int, sink Sink) outcome.Outcome
	// Cancel stops an attempt on its engine on a best-effort basis.
	Cancel(ctx context.Context, intent Intent)
}

// Slot is reserved idle capacity for one item. Exactly one of Run and Release
// is called.
type Slot interface {
	// Run runs one item. A Preempted outcome carries the tokens generated so far.
	Run(ctx context.Context, request Request, sink Sink) outcome.Outcome
	Release()
}
