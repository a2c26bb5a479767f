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

// A request goes to another node, one hop at most, when no engine of this
// node's subset can take it now. The other node places it on its own engines at
// once or refuses it. It carries the request's id and deadline. Closing the
// stream cancels it there.

const (
	// forwardTries is how many nodes a request is offered to before it waits here.
	forwardTries = 2
	// forwardDraws bounds the draws for nodes that were not asked yet.
	forwardDraws = 16
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

// forwardToken is one token of the answer.
type forwardToken struct {
	Offset int
	Text   string
}

// forwardEnd is the outcome, the last message of the stream.
type forwardEnd struct {
	Kind                       uint8
	Code, Reason, FinishReason string
	RetryAfter                 time.Duration
	PromptTokens, OutputTokens int
}

func init() { peer.Register(forwardRequest{}, forwardToken{}, forwardEnd{}) }

// errForwardLost ends a forwarded request whose node was lost.
var errForwardLost = errors.New("the node that the request was forwarded to was lost")

// forward offers a run to other nodes. The ending is final unless all of them
// refused, or one was lost and the request may be repeated.
func (s *Service) forward(ctx context.Context, run *run) ending {
	if run.forwarded || run.request.BeforeSend != nil {
		return ending{} // an intent can be recorded only where the request was taken
	}
	for range forwardTries {
		node, ok := s.nextNode(run)
		if !ok {
			return ending{}
		}
		run.askedNodes = append(run.askedNodes, node)
		end := s.forwardTo(ctx, run, node)
		if end.final || end.err != nil {
			return end
		}
	}
	return ending{}
}

// nextNode draws a live node that was not asked before.
func (s *Service) nextNode(run *run) (identity.NodeID, bool) {
	view := s.bus.View()
	for range forwardDraws {
		node, ok := s.fleet.Elsewhere(run.request.Row.Pool, globalRandom{})
		if !ok {
			return "", false
		}
		member, known := view.Member(node)
		live := known && (member.State == membership.Alive || member.State == membership.Suspect)
		if live && node != view.Self && !slices.Contains(run.askedNodes, node) {
			return node, true
		}
	}
	return "", false
}

// forwardTo runs one request through another node. Neither final nor an error
// means that it was refused there, or never arrived.
func (s *Service) forwardTo(ctx context.Context, run *run, node identity.NodeID) ending {
	stream, err := s.bus.Open(ctx, node, run.forwardRequest())
	if err != nil {
		if errors.Is(err, peer.ErrLost) {
			return run.forwardLost(ctx)
		}
		return ending{}
	}
	defer func() { _ = stream.Close() }()
	watched, stop := context.WithCancel(ctx)
	defer stop()
	s.background.Go(func() { s.closeWhenLost(watched, node, stream) })
	// The other node has the engine's limits to keep; this one notices its silence.
	limit := s.config.FirstTokenTimeout + s.config.NextTokenTimeout
	silence := time.AfterFunc(limit, func() { _ = stream.Close() })
	defer silence.Stop()
	for {
		message, err := stream.Receive()
		silence.Reset(limit)
		if err != nil {
			events.ForwardLost.Log(s.logger, zap.String("request", string(run.request.ID)), zap.String("node", string(node)), zap.Error(err))
			return run.forwardLost(ctx)
		}
		switch message := message.(type) {
		case forwardToken:
			run.maybeRan = true
			if message.Offset != len(run.tokens) {
				continue // taken before; the other node gives offsets without gaps
			}
			run.tokens = append(run.tokens, message.Text)
			if err := run.sink(backend.Token(message)); err != nil {
				return final(outcome.Outcome{Kind: outcome.Cancelled, Code: codeCancelled, Reason: errCallerGone.Error(), Tokens: run.tokens})
			}
		case forwardEnd:
			return run.forwardEnded(message)
		}
	}
}

// closeWhenLost closes a stream when its node is no longer a member, or when
// the context ends.
func (s *Service) closeWhenLost(ctx context.Context, node identity.NodeID, stream peer.Stream) {
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

// forwardEnded takes the other node's outcome as it is, except a refusal,
// after which this node goes on.
func (r *run) forwardEnded(end forwardEnd) ending {
	kind := outcome.Kind(end.Kind)
	if kind == outcome.Refused && end.Code != codeInvalid {
		return ending{}
	}
	if kind == outcome.Unknown && r.request.Repeatable {
		r.maybeRan = true
		r.attempts++
		return ending{err: errForwardLost}
	}
	if kind == outcome.Completed && end.OutputTokens != len(r.tokens) {
		r.maybeRan = true
		r.attempts++
		return ending{err: errWrongEnd}
	}
	return final(outcome.Outcome{
		Kind: kind, Code: end.Code, Reason: end.Reason, RetryAfter: end.RetryAfter, FinishReason: end.FinishReason,
		PromptTokens: end.PromptTokens, OutputTokens: end.OutputTokens, Tokens: r.tokens,
	})
}

// forwardLost ends a request whose node was lost: it may have run there. A
// repeatable one goes on from its kept tokens.
func (r *run) forwardLost(ctx context.Context) ending {
	r.maybeRan = true
	r.attempts++
	switch {
	case ctx.Err() != nil:
		return final(r.stopped(ctx))
	case r.request.Repeatable:
		return ending{err: errForwardLost}
	default:
		return final(r.lost(errForwardLost))
	}
}

func (r *run) forwardRequest() forwardRequest {
	request := &r.request
	return forwardRequest{
		ID: string(request.ID), Tenant: string(request.Tenant), RowID: string(request.Row.ID), Weight: request.Row.Weight,
		Pool: request.Row.Pool, Model: request.Model, Adapter: request.Adapter, Prompt: request.Prompt,
		MaxTokens: request.MaxTokens, Kept: r.tokens, Repeatable: request.Repeatable, Deadline: request.Deadline,
	}
}

// serveForwarded runs a request of another node on this node's engines.
func (s *Service) serveForwarded(ctx context.Context, _ identity.NodeID, first any, stream peer.Stream) {
	forwarded, ok := first.(forwardRequest)
	if !ok {
		return
	}
	request := Request{
		ID: identity.RequestID(forwarded.ID), Tenant: identity.TenantID(forwarded.Tenant),
		Row: policy.Row{ID: identity.RowID(forwarded.RowID), Weight: forwarded.Weight, Pool: forwarded.Pool}, Kind: policy.KindOnline,
		Model: forwarded.Model, Adapter: forwarded.Adapter, Prompt: forwarded.Prompt, MaxTokens: forwarded.MaxTokens,
		Kept: forwarded.Kept, Repeatable: forwarded.Repeatable, Deadline: forwarded.Deadline,
	}
	run := s.newRun(request, func(token backend.Token) error { return stream.Send(forwardToken(token)) }, routing.Online)
	run.forwarded = true
	end := s.runWithin(ctx, run)
	s.metrics.requests.WithLabelValues("forwarded", end.Kind.String()).Inc()
	_ = stream.Send(forwardEnd{ // a lost stream is noticed at the other end
		Kind: uint8(end.Kind), Code: end.Code, Reason: end.Reason, FinishReason: end.FinishReason,
		RetryAfter: end.RetryAfter, PromptTokens: end.PromptTokens, OutputTokens: end.OutputTokens,
	})
}
