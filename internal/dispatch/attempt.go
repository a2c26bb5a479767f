package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/oklog/ulid/v2"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/outcome"
	"ringstream.example/ringstream/internal/core/routing"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/fleet"
	"ringstream.example/ringstream/internal/wait"
)

// Causes of the cancellation of an attempt's context.
var (
	errStalled   = errors.New("the engine gave no token in time")
	errPreempted = errors.New("the engine's place was needed for online work")
)

// Errors that end the reading of a stream.
var (
	errCallerGone  = errors.New("the caller has gone")
	errWrongOffset = errors.New("the engine gave a token of another offset")
	errWrongEnd    = errors.New("the engine's count of tokens differs from those received")
	errStopped     = errors.New("the engine stopped the attempt")

	errCancelUnconfirmed = errors.New("the engine did not answer any try")
)

// attemptResult is the result of an attempt. When it is not final, the request may
// be sent to another engine, and err is the cause of the failure.
type attemptResult struct {
	final   bool
	outcome outcome.Outcome
	err     error
}

func finalResult(end outcome.Outcome) attemptResult { return attemptResult{final: true, outcome: end} }

// attempt is one dispatch of a run to one engine.
type attempt struct {
	service *Service
	run     *run
	id      identity.AttemptID
	client  backend.Engine
	engine  *fleet.Engine // nil when another node began the attempt
	// incarnation is the engine's incarnation. It is set only for requests that are
	// not repeatable.
	incarnation identity.Incarnation
	// watchdog cancels the context when no token arrives in time. Each token resets it.
	watchdog *time.Timer
}

// attempt sends the run to an engine on which it is already counted and reads the
// response.
func (s *Service) attempt(ctx context.Context, run *run, engine *fleet.Engine) attemptResult {
	run.attempts++
	current := &attempt{service: s, run: run, id: identity.AttemptID(ulid.Make().String()), client: engine.Client, engine: engine}
	if load, reported := engine.Load(); reported && !run.request.Repeatable {
		current.incarnation = load.Incarnation
	}
	if run.request.BeforeSend != nil {
		if err := run.request.BeforeSend(ctx, current.intent()); err != nil {
			return finalResult(run.refuse(codeIntent, err.Error(), s.config.RetryAfter))
		}
	}
	if ctx.Err() != nil {
		return finalResult(run.contextEnded(ctx))
	}
	result := current.start(ctx)
	s.metrics.attempts.WithLabelValues(classLabel(run.class), resultLabel(result)).Inc()
	return result
}

// start sends the request and reads its stream until it ends.
func (a *attempt) start(ctx context.Context) attemptResult {
	streamCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a.watchdog = time.AfterFunc(a.service.config.FirstTokenTimeout, func() { cancel(errStalled) })
	defer a.watchdog.Stop()
	request := &a.run.request
	priority := backend.PriorityOnline
	if a.run.class == routing.Batch {
		priority = backend.PriorityBatch
	}
	stream, err := a.client.Generate(streamCtx, backend.GenerateRequest{
		Attempt: a.id, Model: request.Model, Adapter: request.Adapter, Prompt: request.Prompt,
		Kept: a.run.tokens, MaxTokens: request.MaxTokens, Sampling: request.Sampling, Priority: priority,
		Incarnation: a.incarnation,
	})
	if err != nil {
		if provesNotRun(err) {
			return a.handleRefusal(ctx, err)
		}
		a.run.mayHaveRun = true
		return a.handleBrokenStream(ctx, withContextCause(streamCtx, err))
	}
	a.run.mayHaveRun = true
	a.service.fleet.RecordPrompt(a.engine, a.run.prefix)
	return a.readStream(ctx, streamCtx, stream)
}

// readStream receives a stream's tokens and returns the result of its end.
func (a *attempt) readStream(ctx, streamCtx context.Context, stream backend.TokenStream) attemptResult {
	finish, err := a.receive(stream)
	_ = stream.Close()
	if err != nil {
		return a.handleBrokenStream(ctx, withContextCause(streamCtx, err))
	}
	return finalResult(outcome.Outcome{
		Kind: outcome.Completed, FinishReason: finish.Reason,
		PromptTokens: finish.PromptTokens, OutputTokens: finish.OutputTokens, Tokens: a.run.tokens,
	})
}

// receive reads tokens in offset order. It drops a token that was received before.
// A token with a later offset ends the reading with errWrongOffset, and the caller
// resumes the stream at the exact offset.
func (a *attempt) receive(stream backend.TokenStream) (backend.Finish, error) {
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return a.checkFinish(stream.Finish())
		}
		if err != nil {
			return backend.Finish{}, err
		}
		expected := len(a.run.tokens)
		if token.Offset < expected {
			continue
		}
		if token.Offset > expected {
			a.logWrongOffset(expected, token.Offset)
			return backend.Finish{}, errWrongOffset
		}
		a.watchdog.Reset(a.service.config.NextTokenTimeout)
		a.run.releasePrefill()
		if a.engine != nil {
			a.service.fleet.RecordToken(a.engine)
		}
		a.run.tokens = append(a.run.tokens, token.Text)
		if err := a.run.sink(token); err != nil {
			return backend.Finish{}, errCallerGone
		}
	}
}

// checkFinish checks that the engine finished the attempt and that its token count
// matches the tokens received.
func (a *attempt) checkFinish(finish backend.Finish) (backend.Finish, error) {
	if finish.Reason == "cancelled" {
		return finish, errStopped
	}
	if finish.OutputTokens != len(a.run.tokens) {
		a.logWrongOffset(len(a.run.tokens), finish.OutputTokens)
		return finish, errWrongEnd
	}
	return finish, nil
}

// handleBrokenStream decides how to proceed after a stream ended early. The request
// may have run.
func (a *attempt) handleBrokenStream(ctx context.Context, err error) attemptResult {
	switch {
	case errors.Is(err, errCallerGone):
		a.cancel(ctx)
		return finalResult(outcome.Outcome{Kind: outcome.Cancelled, Code: codeCancelled, Reason: err.Error(), Tokens: a.run.tokens})
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errPreempted):
		a.cancel(ctx)
		return finalResult(a.run.contextEnded(ctx))
	case errors.Is(context.Cause(ctx), errPreempted):
		a.cancelAndWait(ctx)
		return finalResult(outcome.Outcome{Kind: outcome.Preempted, Code: codePreempted, Reason: errPreempted.Error(), Tokens: a.run.tokens})
	}
	a.logFailure(err)
	if errors.Is(err, errStalled) && a.run.request.Repeatable {
		a.reportHung()
		a.cancel(ctx)
		return attemptResult{err: err}
	}
	if errors.Is(err, errStopped) && !a.run.request.Repeatable {
		return finalResult(outcome.Outcome{Kind: outcome.Failed, Code: codeEngine, Reason: err.Error(), Tokens: a.run.tokens})
	}
	return a.resume(ctx, err)
}

// resume rejoins the attempt's stream on its own engine at the exact offset. The
// count of tries restarts with each token received. When all tries fail, a
// repeatable request continues on another engine from its kept tokens. Any other
// request is left running on the engine, where its only attempt can still be
// resumed by its id.
func (a *attempt) resume(ctx context.Context, cause error) attemptResult {
	backoff := a.service.config.ResumeBackoff
	offset := len(a.run.tokens)
	for tries := 0; tries < a.service.config.ResumeAttempts; tries++ {
		if !wait.For(ctx, backoff) {
			return a.handleBrokenStream(ctx, cause)
		}
		backoff *= 2
		result, err := a.rejoin(ctx)
		if received := len(a.run.tokens); received > offset {
			offset, tries, backoff = received, -1, a.service.config.ResumeBackoff
		}
		if err == nil {
			return result
		}
		cause = err
		if errors.Is(err, errCallerGone) || ctx.Err() != nil {
			return a.handleBrokenStream(ctx, err)
		}
		if errorCode(err) == backend.CodeNotFound {
			break
		}
	}
	if a.engine != nil && !errors.Is(cause, errWrongOffset) && errorCode(cause) != backend.CodeNotFound {
		a.reportHung()
	}
	if a.run.request.Repeatable {
		a.cancel(ctx)
		return attemptResult{err: cause}
	}
	if errorCode(cause) == backend.CodeNotFound && a.confirmNeverRan(ctx) {
		return finalResult(outcome.Outcome{
			Kind: outcome.Refused, Code: codeNeverRan, RetryAfter: a.service.config.RetryAfter,
			Reason: "the engine never ran the attempt and never will: " + cause.Error(),
		})
	}
	events.RequestOutcomeLost.Log(a.service.logger, zap.String("request", string(a.run.request.ID)),
		zap.String("engine", a.engineName()), zap.Int("offset", len(a.run.tokens)))
	return finalResult(a.run.unknownOutcome(cause))
}

// rejoin reads the attempt's stream from the current offset. It returns an error when
// the stream did not reach its end.
func (a *attempt) rejoin(ctx context.Context) (attemptResult, error) {
	streamCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a.watchdog = time.AfterFunc(a.service.config.FirstTokenTimeout, func() { cancel(errStalled) })
	defer a.watchdog.Stop()
	stream, err := a.client.Resume(streamCtx, a.id, len(a.run.tokens))
	if err != nil {
		return attemptResult{}, withContextCause(streamCtx, err)
	}
	finish, err := a.receive(stream)
	_ = stream.Close()
	if err != nil {
		return attemptResult{}, withContextCause(streamCtx, err)
	}
	return finalResult(outcome.Outcome{
		Kind: outcome.Completed, FinishReason: finish.Reason,
		PromptTokens: finish.PromptTokens, OutputTokens: finish.OutputTokens, Tokens: a.run.tokens,
	}), nil
}

// handleRefusal handles an error that proves that the engine did not run the request.
func (a *attempt) handleRefusal(ctx context.Context, err error) attemptResult {
	if ctx.Err() != nil {
		return finalResult(a.run.contextEnded(ctx))
	}
	a.logFailure(err)
	switch errorCode(err) {
	case backend.CodeInvalid:
		return finalResult(a.run.refuse(codeInvalid, err.Error(), 0))
	case backend.CodeLeaving:
		a.service.fleet.RecordLeaving(a.engine)
	case backend.CodeUnavailable:
		a.service.fleet.Unreachable(a.engine, err.Error())
	}
	return attemptResult{err: err}
}

// cancel stops the engine's work in the background, independently of the
// cancellation of ctx, so that the result is not delayed.
func (a *attempt) cancel(ctx context.Context) {
	a.service.background.Go(func() { a.service.cancelUntilConfirmed(ctx, a.client, a.intent()) })
}

// cancelAndWait tries once to cancel the attempt. If the engine does not confirm it,
// further tries are made in the background.
func (a *attempt) cancelAndWait(ctx context.Context) {
	if _, confirmed := a.service.cancelOnce(ctx, a.client, a.intent()); !confirmed {
		a.cancel(ctx)
	}
}

func (a *attempt) intent() Intent {
	return Intent{Attempt: a.id, Engine: identity.EngineID(a.engineName()), Incarnation: a.incarnation}
}

// confirmNeverRan cancels the attempt and returns whether its engine, in the
// incarnation that the attempt was meant for, confirms that the attempt never ran
// and never will.
func (a *attempt) confirmNeverRan(ctx context.Context) bool {
	report, confirmed := a.service.cancelOnce(ctx, a.client, a.intent())
	return confirmed && report.Never && a.incarnation != "" && report.Incarnation == a.incarnation && len(a.run.tokens) == 0
}

// cancelOnce tries once to cancel an attempt. confirmed is true when the engine
// accepted the cancel or does not know the attempt.
func (s *Service) cancelOnce(ctx context.Context, client backend.Engine, intent Intent) (report backend.CancelReport, confirmed bool) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), s.config.CancelTimeout)
	defer stop()
	report, err := client.Cancel(ctx, intent.Attempt)
	return report, err == nil || errorCode(err) == backend.CodeNotFound
}

// The backoff between tries to cancel an attempt is bounded so that a cancel reaches
// an engine within two seconds of the engine answering again.
const (
	minCancelBackoff = 100 * time.Millisecond
	maxCancelBackoff = 500 * time.Millisecond
)

// cancelUntilConfirmed retries a cancel while the engine does not answer, since an
// engine that hung or was unreachable keeps working on the attempt. It gives up
// after CancelRetryTimeout or when the service stops.
func (s *Service) cancelUntilConfirmed(ctx context.Context, client backend.Engine, intent Intent) {
	deadline := time.Now().Add(s.config.CancelRetryTimeout)
	for backoff := minCancelBackoff; ; backoff = min(2*backoff, maxCancelBackoff) {
		if _, confirmed := s.cancelOnce(ctx, client, intent); confirmed {
			return
		}
		if time.Now().After(deadline) || !s.sleepUnlessStopping(backoff) {
			events.CancelFailed.Log(s.logger, zap.String("attempt", string(intent.Attempt)), zap.String("engine", string(intent.Engine)),
				zap.Error(errCancelUnconfirmed))
			return
		}
	}
}

// sleepUnlessStopping waits for the duration. It returns false when the service
// stops first.
func (s *Service) sleepUnlessStopping(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-s.stopping:
		return false
	case <-timer.C:
		return true
	}
}

func (a *attempt) reportHung() {
	if a.engine != nil {
		a.service.fleet.RecordTimeout(a.engine, "streams stand still")
	}
}

func (a *attempt) logFailure(err error) {
	events.AttemptFailed.Log(a.service.logger, zap.String("request", string(a.run.request.ID)), zap.String("attempt", string(a.id)),
		zap.String("engine", a.engineName()), zap.Int("offset", len(a.run.tokens)), zap.Error(err))
}

func (a *attempt) logWrongOffset(want, got int) {
	events.AttemptCrossed.Log(a.service.logger, zap.String("request", string(a.run.request.ID)), zap.String("attempt", string(a.id)),
		zap.String("engine", a.engineName()), zap.Int("want", want), zap.Int("got", got))
}

func (a *attempt) engineName() string {
	if a.engine == nil {
		return ""
	}
	return string(a.engine.ID)
}

// withContextCause wraps a stream's error in the cause of its context's
// cancellation, if there is one and err is not errCallerGone.
func withContextCause(ctx context.Context, err error) error {
	if reason := context.Cause(ctx); reason != nil && !errors.Is(err, errCallerGone) {
		return fmt.Errorf("%w (%w)", reason, err)
	}
	return err
}

func provesNotRun(err error) bool {
	var failure *backend.Error
	return errors.As(err, &failure) && failure.Effect == backend.EffectNone
}

func errorCode(err error) backend.ErrorCode {
	var failure *backend.Error
	if errors.As(err, &failure) {
		return failure.Code
	}
	return ""
}
