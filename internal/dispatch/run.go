package dispatch

import (
	"context"
	"errors"
	"time"

	"ringstream.example/ringstream/internal/apierror"
	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/admission"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/outcome"
	"ringstream.example/ringstream/internal/core/routing"
	"ringstream.example/ringstream/internal/fleet"
)

// The codes of outcomes other than Completed; docs/operations/errors.md has them.
const (
	codeNoCapacity = string(apierror.CodeNoCapacity)
	codeNotLoaded  = string(apierror.CodeNotLoaded)
	codeDeadline   = string(apierror.CodeDeadline)
	codeCancelled  = string(apierror.CodeCancelled)
	codeNeverRan   = string(apierror.CodeNeverRan)
	codeEngine     = string(apierror.CodeEngine)
	codeLost       = string(apierror.CodeEngineLost)
	codePreempted  = string(apierror.CodePreempted)
	codeIntent     = string(apierror.CodeIntent)
	codeInvalid    = string(apierror.CodeInvalidRequest)
)

// maxPrefixBlocks bounds the part of a prompt that routing looks at.
const maxPrefixBlocks = 32

// run is one request on its way through attempts. One goroutine uses it, except
// while it waits in a queue, where Service.mutex guards it.
type run struct {
	request  Request
	sink     Sink
	class    routing.Class
	prefix   []uint64
	tried    []identity.EngineID
	attempts int
	// tokens is the whole output so far; what its first tokens were before
	// this run are the request's kept ones.
	tokens []string
	// prefill is what was counted on prefillOn for the attempt's first token.
	prefill    int
	prefillOn  *fleet.Engine
	askedNodes []identity.NodeID // that it was forwarded to
	// forwarded: it came from another node and goes to no further one.
	forwarded bool
	// maybeRan is set once an engine may have run any part of the request.
	maybeRan bool
}

func (s *Service) newRun(request Request, sink Sink, class routing.Class) *run {
	if sink == nil {
		sink = func(backend.Token) error { return nil }
	}
	return &run{
		request: request, sink: sink, class: class,
		prefix: backend.AppendPrefixHashes(nil, request.Model, request.Adapter, request.Prompt, maxPrefixBlocks),
		tokens: append([]string(nil), request.Kept...),
	}
}

// expect counts the prompt tokens that an engine must compute for the run,
// when it has these blocks of the prefix cached. Service.mutex is held.
func (r *run) expect(engine *fleet.Engine, blocks int) {
	uncached := r.request.Prompt[blocks*backend.PrefixBlockBytes:]
	r.prefill = backend.PromptTokens(uncached) + len(r.tokens)
	r.prefillOn = engine
	engine.AddPrefill(r.prefill)
}

// started takes the expected prompt tokens off the engine, once.
func (r *run) started() {
	if r.prefillOn != nil {
		r.prefillOn.AddPrefill(-r.prefill)
		r.prefillOn = nil
	}
}

// ticket makes the run's place in the fair queue. Its cost is the work asked of the
// engine: prompt blocks and output tokens.
func (r *run) ticket(wait time.Duration) *admission.Ticket {
	deadline := time.Now().Add(wait)
	if !r.request.Deadline.IsZero() && r.request.Deadline.Before(deadline) {
		deadline = r.request.Deadline
	}
	return &admission.Ticket{
		Row: r.request.Row.ID, Weight: r.request.Row.Weight,
		Cost:     float64(1 + len(r.request.Prompt)/backend.PrefixBlockBytes + r.request.MaxTokens),
		Deadline: deadline,
	}
}

// refuse ends a request that gets no engine: not run, when no attempt can have run.
func (r *run) refuse(code, reason string, retryAfter time.Duration) outcome.Outcome {
	kind := outcome.Refused
	if r.maybeRan {
		kind = outcome.Unknown
	}
	return outcome.Outcome{Kind: kind, Code: code, Reason: reason, RetryAfter: retryAfter}
}

// stopped ends a request whose context has ended.
func (r *run) stopped(ctx context.Context) outcome.Outcome {
	code, reason := codeCancelled, "the caller has gone"
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code, reason = codeDeadline, "the deadline has passed"
	}
	if !r.maybeRan {
		return outcome.Outcome{Kind: outcome.Refused, Code: code, Reason: reason}
	}
	return outcome.Outcome{Kind: outcome.Cancelled, Code: code, Reason: reason, Tokens: r.tokens}
}

// whole completes a run whose engine was lost after its last token.
func (r *run) whole() (outcome.Outcome, bool) {
	if len(r.tokens) < r.request.MaxTokens {
		return outcome.Outcome{}, false
	}
	return outcome.Outcome{
		Kind: outcome.Completed, FinishReason: "length", Tokens: r.tokens,
		PromptTokens: backend.PromptTokens(r.request.Prompt), OutputTokens: len(r.tokens),
	}, true
}

// giveUp ends a request after its last attempt.
func (r *run) giveUp(cause error, retryAfter time.Duration) outcome.Outcome {
	code := codeEngine
	var failure *backend.Error
	if errors.As(cause, &failure) && failure.Code == backend.CodeSaturated {
		code = codeNoCapacity
		retryAfter = max(retryAfter, failure.RetryAfter)
	}
	if r.maybeRan {
		code = codeLost
	}
	return r.refuse(code, cause.Error(), retryAfter)
}

// lost ends a request that was sent and whose engine cannot be asked.
func (r *run) lost(cause error) outcome.Outcome {
	return outcome.Outcome{Kind: outcome.Unknown, Code: codeLost, Reason: cause.Error(), Tokens: r.tokens}
}
