package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/apierror"
	"ringstream.example/ringstream/internal/core/outcome"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/idempotency"
)

// storedResult is the stored answer of a key's run. It holds enough to write the
// same bytes again, streamed or not.
type storedResult struct {
	ID           string         `json:"id"`
	Model        string         `json:"model"`
	Created      int64          `json:"created"`
	Chat         bool           `json:"chat,omitempty"`
	Texts        []string       `json:"texts,omitempty"`
	Reason       string         `json:"reason,omitempty"`
	PromptTokens int            `json:"prompt_tokens,omitempty"`
	OutputTokens int            `json:"output_tokens,omitempty"`
	Failure      *storedFailure `json:"failure,omitempty"`
}

// storedFailure is the final failure of a request that may not run again.
type storedFailure struct {
	Status  int           `json:"status"`
	Code    apierror.Code `json:"code"`
	Message string        `json:"message"`
	Run     outcome.Kind  `json:"run"`
}

func encodeResult(current progress, result answerResult) []byte {
	stored := storedResult{ID: current.head.id, Model: current.head.model, Created: current.head.created, Chat: current.head.chat}
	if result.failure != nil {
		stored.Failure = &storedFailure{Status: result.failure.Status, Code: result.failure.Code, Message: result.failure.Message, Run: result.failure.Run}
	} else {
		stored.Texts, stored.Reason = current.texts, result.reason
		stored.PromptTokens, stored.OutputTokens = result.used.prompt, result.used.output
	}
	encoded, err := json.Marshal(stored)
	if err != nil {
		panic(err) // every field can be encoded
	}
	return encoded
}

// readResult answers from the stored result.
func (s *Server) readResult(run *keyedRun, encoded []byte) {
	var stored storedResult
	if err := json.Unmarshal(encoded, &stored); err != nil {
		events.ResultUnreadable.Log(s.logger, zap.String("request", run.request.id), zap.Error(err))
		run.fail(&apierror.Error{
			Status: http.StatusInternalServerError, Code: apierror.CodeInternal, Run: outcome.Unknown,
			Message: "the answer kept for this Idempotency-Key cannot be read",
		})
		return
	}
	head := answerHead{id: stored.ID, model: stored.Model, created: stored.Created, chat: stored.Chat}
	result := answerResult{reason: stored.Reason, used: usage{prompt: stored.PromptTokens, output: stored.OutputTokens}}
	if failure := stored.Failure; failure != nil {
		result = answerResult{failure: &apierror.Error{Status: failure.Status, Code: failure.Code, Message: failure.Message, Run: failure.Run}}
	}
	run.replay(head, stored.Texts, result)
}

// conclude ends a claim. A complete answer is recorded before its clients see its
// end, because until then another node could still produce a different one. The failure
// of a run that may run again is reported at once, and the key is released after.
// The failure of a run that may not run again is reported at once and then recorded.
func (s *Server) conclude(run *keyedRun, claim *idempotency.Claim, result answerResult) {
	ctx, cancel := context.WithTimeout(s.keyed.context, s.config.RecordRetention)
	defer cancel()
	switch {
	case claim.Superseded():
		s.endAfterRecording(run, result, idempotency.ErrSuperseded)
	case result.failure == nil:
		timer := time.AfterFunc(s.config.RecordWaitTimeout, func() { run.fail(errNotRecorded) })
		defer timer.Stop()
		err := s.persist(ctx, func() error { return claim.Complete(ctx, encodeResult(run.snapshot(), result)) })
		s.endAfterRecording(run, result, err)
	case run.request.parsed.repeatable || result.failure.Run == outcome.Refused:
		run.end(result)
		s.logRecordingError(run, s.persist(ctx, func() error { return claim.Release(ctx) }))
	default:
		run.end(result)
		s.logRecordingError(run, s.persist(ctx, func() error { return claim.Complete(ctx, encodeResult(run.snapshot(), result)) }))
	}
}

// errNotRecorded ends the wait for a record that the store does not accept.
var errNotRecorded = &apierror.Error{
	Status: http.StatusServiceUnavailable, Code: apierror.CodeStoreDown, Run: outcome.Unknown, RetryAfter: storeRetryAfter,
	Message: "the request has run, and its answer could not be recorded yet; send it again with the same key to read it",
}

// errTakenOver ends a run that was superseded because another node has the key.
var errTakenOver = &apierror.Error{
	Status: http.StatusServiceUnavailable, Code: apierror.CodeConflict, Run: outcome.Unknown, RetryAfter: time.Second,
	Message: "another node has taken the key over; send the request again with the same key to read its answer",
}

func (s *Server) endAfterRecording(run *keyedRun, result answerResult, err error) {
	switch {
	case err == nil:
		run.end(result)
	case errors.Is(err, idempotency.ErrSuperseded):
		run.fail(errTakenOver)
	default:
		run.fail(errNotRecorded)
	}
	s.logRecordingError(run, err)
}

func (s *Server) logRecordingError(run *keyedRun, err error) {
	fields := []zap.Field{zap.String("request", run.request.id), zap.String("tenant", string(run.request.tenant))}
	switch {
	case err == nil:
	case errors.Is(err, idempotency.ErrSuperseded):
		events.ClaimSuperseded.Log(s.logger, fields...)
	default:
		events.ResultNotRecorded.Log(s.logger, append(fields, zap.Error(err))...)
	}
}

// persistRetryDelay is the mean delay between two tries of a write, in addition to
// the store's own retries.
const persistRetryDelay = time.Second

// persist retries a write until it succeeds, the claim was superseded or ctx ends.
func (s *Server) persist(ctx context.Context, write func() error) error {
	for {
		err := write()
		if err == nil || errors.Is(err, idempotency.ErrSuperseded) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(persistRetryDelay/2 + rand.N(persistRetryDelay)): //nolint:gosec // jitter, not a secret
		}
	}
}
