// Package dispatch runs requests on engines: it routes, sends attempts, takes
// their answers, retries what provably did not run, resumes broken streams and
// takes back batch work when online work needs its place.
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
	Row       policy.Row // as looked up when the request was taken
	Kind      policy.Kind
	Model     string
	Adapter   string
	Prompt    string
	MaxTokens int
	Sampling  backend.Sampling
	// Kept holds tokens of an earlier attempt that gave way.
	Kept []string
	// Repeatable false: sent to an engine at most once, ever.
	Repeatable bool
	// Deadline is when the caller stops waiting; zero: none.
	Deadline time.Time
	// BeforeSend, when set, is called after routing and before the first byte
	// goes to the engine. An error makes the outcome Refused: nothing was sent.
	BeforeSend func(ctx context.Context, intent Intent) error
}

// Intent names an attempt before it is sent. A worker records it durably for
// requests that are not repeatable.
type Intent = identity.Intent

// Sink takes the tokens of a request in offset order, each offset once. An
// error means that the caller has gone: the engine's work is cancelled.
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
	// Resume joins the attempt of an earlier intent, sending nothing new: the
	// outcome is Completed; Refused when the engine vouches that it never ran
	// and never will; or Unknown when the engine cannot say.
	Resume(ctx context.Context, intent Intent, offset int, sink Sink) outcome.Outcome
	// Cancel stops an attempt on its engine, best effort.
	Cancel(ctx context.Context, intent Intent)
}

// Slot is reserved idle capacity for one item. Exactly one of Run and Release
// is called.
type Slot interface {
	// Run runs one item; Preempted gives its tokens so far back.
	Run(ctx context.Context, request Request, sink Sink) outcome.Outcome
	Release()
}
