package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/membership"
	"ringstream.example/ringstream/internal/core/outcome"
	"ringstream.example/ringstream/internal/core/policy"
	"ringstream.example/ringstream/internal/core/routing"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/peer"
)

// A request is forwarded to another node, over one hop at most, when no engine of
// this node's subset has free capacity. The other node places it on its own engines
// at once or refuses it. The forwarded message carries the request's id and
// deadline. Closing the stream cancels the request on the other node.

const (
	// maxForwardNodes is the number of nodes that are tried before a request is
	// queued on this node.
	maxForwardNodes = 2
	// maxNodeDraws bounds the random draws for a node that was not tried yet.
	maxNodeDraws = 16
)

// forwardRequest opens the stream of one forwarded request.
type forwardRequest struct {
	ID             string
	Tenant         string
	RowID          string
	Weight         int
	Pool           string
	Model, Adapter string
	Prompt         string
	MaxTokens      int
	Kept           []string
	Repeatable     bool
	Deadline       time.Time
}

// forwardToken is one token of a forwarded request's output.
type forwardToken struct {
	Offset int
	Text   string
}

// forwardEnd is the outcome of a forwarded request and the last message of its stream.
type forwardEnd struct {
	Kind                       uint8
	Code, Reason, FinishReason string
	RetryAfter                 time.Duration
	PromptTokens, OutputTokens int
}

func init() { peer.Register(forwardRequest{}, forwardToken{}, forwardEnd{}) }

// errForwardNodeLost is the error of a forwarded request whose node was lost.
var errForwardNodeLost = errors.New("the node that the request was forwarded to was lost")

// forward offers a run to other nodes. The result is not final when all of them
// refused, or when the forward failed and the request may be retried; err is then set.
func (s *Service) forward(ctx context.Context, run *run) attemptResult {
	if run.forwarded || run.request.BeforeSend != nil {
		return attemptResult{} // an intent can be recorded only on the node that accepted the request
	}
	for range maxForwardNodes {
		node, ok := s.nextNode(run)
		if !ok {
			return attemptResult{}
		}
		run.triedNodes = append(run.triedNodes, node)
		result := s.forwardTo(ctx, run, node)
		if result.final || result.err != nil {
			return result
		}
	}
	return attemptResult{}
}

// nextNode draws a live node at random that was not tried before.
func (s *Service) nextNode(run *run) (identity.NodeID, bool) {
	view := s.bus.View()
	for range maxNodeDraws {
		node, ok := s.fleet.RandomOtherDispatcher(run.request.Row.Pool, globalRandom{})
		if !ok {
			return "", false
		}
		member, known := view.Member(node)
		live := known && (member.State == membership.Alive || member.State == membership.Suspect)
		if live && node != view.Self && !slices.Contains(run.triedNodes, node) {
			return node, true
		}
	}
	return "", false
}

// forwardTo runs one request through another node. A result that is neither final
// nor has an error means that the request was refused there or never arrived.
func (s *Service) forwardTo(ctx context.Context, run *run, node identity.NodeID) attemptResult {
	stream, err := s.bus.Open(ctx, node, run.newForwardRequest())
	if err != nil {
		if errors.Is(err, peer.ErrConnectionLost) {
			return run.forwardNodeLost(ctx)
		}
		return attemptResult{}
	}
	defer func() { _ = stream.Close() }()
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	s.background.Go(func() { s.closeWhenNodeLost(watchCtx, node, stream) })
	// The other node enforces the engine's timeouts. This node detects only a silent
	// node, after the sum of both timeouts.
	silenceTimeout := s.config.FirstTokenTimeout + s.config.NextTokenTimeout
	silenceTimer := time.AfterFunc(silenceTimeout, func() { _ = stream.Close() })
	defer silenceTimer.Stop()
	for {
		message, err := stream.Receive()
		silenceTimer.Reset(silenceTimeout)
		if err != nil {
			events.ForwardLost.Log(s.logger, zap.String("request", string(run.request.ID)), zap.String("node", string(node)), zap.Error(err))
			return run.forwardNodeLost(ctx)
		}
		switch message := message.(type) {
		case forwardToken:
			run.mayHaveRun = true
			if message.Offset != len(run.tokens) {
				continue // received before; the other node sends offsets without gaps
			}
			run.tokens = append(run.tokens, message.Text)
			if err := run.sink(backend.Token(message)); err != nil {
				return finalResult(outcome.Outcome{Kind: outcome.Cancelled, Code: codeCancelled, Reason: errCallerGone.Error(), Tokens: run.tokens})
			}
		case forwardEnd:
			return run.applyForwardEnd(message)
		}
	}
}

// closeWhenNodeLost closes a stream when its node is no longer a member, or when
// the context ends.
func (s *Service) closeWhenNodeLost(ctx context.Context, node identity.NodeID, stream peer.Stream) {
	for {
		changed := s.bus.Changed()
		member, known := s.bus.View().Member(node)
		if !known || member.State == membership.Dead {
			_ = stream.Close()
			return
		}
		select {
		case <-ctx.Done():
			_ = stream.Close()
			return
		case <-changed:
		}
	}
}

// applyForwardEnd returns the other node's outcome as a final result. After a
// refusal, other than of an invalid request, this node continues. An unknown outcome
// of a repeatable request and a wrong token count are results that may be retried.
func (r *run) applyForwardEnd(end forwardEnd) attemptResult {
	kind := outcome.Kind(end.Kind)
	if kind == outcome.Refused && end.Code != codeInvalid {
		return attemptResult{}
	}
	if kind == outcome.Unknown && r.request.Repeatable {
		r.mayHaveRun = true
		r.attempts++
		return attemptResult{err: errForwardNodeLost}
	}
	if kind == outcome.Completed && end.OutputTokens != len(r.tokens) {
		r.mayHaveRun = true
		r.attempts++
		return attemptResult{err: errWrongEnd}
	}
	return finalResult(outcome.Outcome{
		Kind: kind, Code: end.Code, Reason: end.Reason, RetryAfter: end.RetryAfter, FinishReason: end.FinishReason,
		PromptTokens: end.PromptTokens, OutputTokens: end.OutputTokens, Tokens: r.tokens,
	})
}

// forwardNodeLost returns the result of a forward whose node was lost. The request
// may have run there. A repeatable request continues from its kept tokens.
func (r *run) forwardNodeLost(ctx context.Context) attemptResult {
	r.mayHaveRun = true
	r.attempts++
	switch {
	case ctx.Err() != nil:
		return finalResult(r.contextEnded(ctx))
	case r.request.Repeatable:
		return attemptResult{err: errForwardNodeLost}
	default:
		return finalResult(r.unknownOutcome(errForwardNodeLost))
	}
}

func (r *run) newForwardRequest() forwardRequest {
	request := &r.request
	return forwardRequest{
		ID: string(request.ID), Tenant: string(request.Tenant), RowID: string(request.Row.ID), Weight: request.Row.Weight,
		Pool: request.Row.Pool, Model: request.Model, Adapter: request.Adapter, Prompt: request.Prompt,
		MaxTokens: request.MaxTokens, Kept: r.tokens, Repeatable: request.Repeatable, Deadline: request.Deadline,
	}
}

// serveForwarded runs a request from another node on this node's engines.
func (s *Service) serveForwarded(ctx context.Context, _ identity.NodeID, first any, stream peer.Stream) {
	forwarded, ok := first.(forwardRequest)
	if !ok {
		return
	}
	request := Request{
		ID: identity.RequestID(forwarded.ID), Tenant: identity.TenantID(forwarded.Tenant),
		Row: policy.Row{ID: identity.RowID(forwarded.RowID), Weight: forwarded.Weight, Pool: forwarded.Pool}, Kind: policy.KindOnline,
		Model: forwarded.Model, Adapter: forwarded.Adapter, Prompt: forwarded.Prompt, MaxTokens: forwarded.MaxTokens,
		KeptTokens: forwarded.Kept, Repeatable: forwarded.Repeatable, Deadline: forwarded.Deadline,
	}
	run := s.newRun(request, func(token backend.Token) error { return stream.Send(forwardToken(token)) }, routing.Online)
	run.forwarded = true
	ended := s.runWithin(ctx, run)
	s.metrics.requests.WithLabelValues("forwarded", ended.Kind.String()).Inc()
	_ = stream.Send(forwardEnd{ // the other node detects a lost stream
		Kind: uint8(ended.Kind), Code: ended.Code, Reason: ended.Reason, FinishReason: ended.FinishReason,
		RetryAfter: ended.RetryAfter, PromptTokens: ended.PromptTokens, OutputTokens: ended.OutputTokens,
	})
}
