package dispatch

import (
	"context"
	"errors"
	"time"

	"ringstream.example/ringstream/internal/apierror"
	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/fairqueue"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/outcome"
	"ringstream.example/ringstream/internal/core/routing"
	"ringstream.example/ringstream/internal/fleet"
)

// The codes of outcomes other than Completed are described in
// docs/operations/errors.md.
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

// maxPrefixBlocks bounds the number of leading prompt blocks that routing hashes.
const maxPrefixBlocks = 32

// run is the state of one request across its attempts. Only one goroutine uses
// it, except while it waits in a queue, where Service.mutex guards it.
type run struct {
	request      Request
	sink         Sink
	class        routing.Class
	prefix       []uint64
	triedEngines []identity.EngineID
	attempts     int
	// tokens is the whole output so far. It begins with the request's KeptTokens.
	tokens []string
	// prefillTokens is the number of prompt tokens counted on prefillEngine until
	// the attempt's first token.
	prefillTokens int
	prefillEngine *fleet.Engine
	triedNodes    []identity.NodeID // nodes that it was forwarded to
	// forwarded is set when the request came from another node. It is not
	// forwarded again.
	forwarded bool
	// mayHaveRun is set once an engine may have run any part of the request.
	mayHaveRun bool
}

func (s *Service) newRun(request Request, sink Sink, class routing.Class) *run {
	if sink == nil {
		sink = func(backend.Token) error { return nil }
	}
	return &run{
		request: request, sink: sink, class: class,
		prefix: backend.AppendPrefixHashes(nil, request.Model, request.Adapter, request.Prompt, maxPrefixBlocks),
		tokens: append([]string(nil), request.KeptTokens...),
	}
}

// addPrefill counts on the engine the prompt tokens that it must compute for the
// run, given the number of prefix blocks that it has cached. The caller holds
// Service.mutex.
func (r *run) addPrefill(engine *fleet.Engine, blocks int) {
	uncached := r.request.Prompt[blocks*backend.PrefixBlockBytes:]
	r.prefillTokens = backend.PromptTokens(uncached) + len(r.tokens)
	r.prefillEngine = engine
	engine.AddPrefill(r.prefillTokens)
}

// releasePrefill subtracts the tokens counted by addPrefill from the engine. Further
// calls have no effect.
func (r *run) releasePrefill() {
	if r.prefillEngine != nil {
		r.prefillEngine.AddPrefill(-r.prefillTokens)
		r.prefillEngine = nil
	}
}

// newTicket returns the run's ticket for the fair queue. Its cost is the work
// requested of the engine, in prompt blocks plus output tokens.
func (r *run) newTicket(wait time.Duration) *fairqueue.Ticket {
	deadline := time.Now().Add(wait)
	if !r.request.Deadline.IsZero() && r.request.Deadline.Before(deadline) {
		deadline = r.request.Deadline
	}
	return &fairqueue.Ticket{
		Row: r.request.Row.ID, Weight: r.request.Row.Weight,
		Cost:     float64(1 + len(r.request.Prompt)/backend.PrefixBlockBytes + r.request.MaxTokens),
		Deadline: deadline,
	}
}

// refuse returns the outcome of a request that gets no engine. It is Refused when
// no attempt can have run, and Unknown otherwise.
func (r *run) refuse(code, reason string, retryAfter time.Duration) outcome.Outcome {
	kind := outcome.Refused
	if r.mayHaveRun {
		kind = outcome.Unknown
	}
	return outcome.Outcome{Kind: kind, Code: code, Reason: reason, RetryAfter: retryAfter}
}

// contextEnded returns the outcome of a request whose context has ended.
func (r *run) contextEnded(ctx context.Context) outcome.Outcome {
	code, reason := codeCancelled, "the caller has gone"
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code, reason = codeDeadline, "the deadline has passed"
	}
	if !r.mayHaveRun {
		return outcome.Outcome{Kind: outcome.Refused, Code: code, Reason: reason}
	}
	return outcome.Outcome{Kind: outcome.Cancelled, Code: code, Reason: reason, Tokens: r.tokens}
}

// completedByLength returns a Completed outcome when the run has all MaxTokens
// tokens, as when its engine was lost after the last token.
func (r *run) completedByLength() (outcome.Outcome, bool) {
	if len(r.tokens) < r.request.MaxTokens {
		return outcome.Outcome{}, false
	}
	return outcome.Outcome{
		Kind: outcome.Completed, FinishReason: "length", Tokens: r.tokens,
		PromptTokens: backend.PromptTokens(r.request.Prompt), OutputTokens: len(r.tokens),
	}, true
}

// attemptsExhausted returns the outcome of a request after its last attempt.
func (r *run) attemptsExhausted(cause error, retryAfter time.Duration) outcome.Outcome {
	code := codeEngine
	var failure *backend.Error
	if errors.As(cause, &failure) && failure.Code == backend.CodeSaturated {
		code = codeNoCapacity
		retryAfter = max(retryAfter, failure.RetryAfter)
	}
	if r.mayHaveRun {
		code = codeLost
	}
	return r.refuse(code, cause.Error(), retryAfter)
}

// unknownOutcome returns the outcome of a request that was sent and whose engine
// can no longer be queried.
func (r *run) unknownOutcome(cause error) outcome.Outcome {
	return outcome.Outcome{Kind: outcome.Unknown, Code: codeLost, Reason: cause.Error(), Tokens: r.tokens}
}
