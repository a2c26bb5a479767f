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

// Causes with which an attempt's context is cancelled.
var (
	errStalled   = errors.New("the engine gave no token in time")
	errPreempted = errors.New("the engine's place was needed for online work")
)

// Ends of reading a stream.
var (
	errCallerGone  = errors.New("the caller has gone")
	errWrongOffset = errors.New("the engine gave a token of another offset")
	errWrongEnd    = errors.New("the engine's count of tokens differs from those received")
	errStopped     = errors.New("the engine stopped the attempt")

	errCancelUnheard = errors.New("the engine did not answer any try")
)

// ending says how an attempt ended. When it is not final, another engine may
// be asked, and err says what went wrong.
type ending struct {
	final   bool
	outcome outcome.Outcome
	err     error
}

func final(end outcome.Outcome) ending { return ending{final: true, outcome: end} }

// attempt is one dispatch of a run to one engine.
type attempt struct {
	service *Service
	run     *run
	id      identity.AttemptID
	client  backend.Engine
	engine  *fleet.Engine // nil when the attempt was begun by another node
	// incarnation is the engine's, set for what may run once only.
	incarnation identity.Incarnation
	// watchdog cancels the context when no token comes; it is reset by tokens.
	watchdog *time.Timer
}

// attempt sends the run to an engine on which it is counted, and takes the answer.
func (s *Service) attempt(ctx context.Context, run *run, engine *fleet.Engine) ending {
	run.attempts++
	own := &attempt{service: s, run: run, id: identity.AttemptID(ulid.Make().String()), client: engine.Client, engine: engine}
	if load, reported := engine.Load(); reported && !run.request.Repeatable {
		own.incarnation = load.Incarnation
	}
	if run.request.BeforeSend != nil {
		if err := run.request.BeforeSend(ctx, own.intent()); err != nil {
			return final(run.refuse(codeIntent, err.Error(), s.config.RetryAfter))
		}
	}
	if ctx.Err() != nil {
		return final(run.stopped(ctx))
	}
	end := own.start(ctx)
	s.metrics.attempts.WithLabelValues(classLabel(run.class), endLabel(end)).Inc()
	return end
}

// start sends the request and reads its stream to an end.
func (a *attempt) start(ctx context.Context) ending {
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
		if notRun(err) {
			return a.refused(ctx, err)
		}
		a.run.maybeRan = true
		return a.broken(ctx, cause(streamCtx, err))
	}
	a.run.maybeRan = true
	a.service.fleet.Sent(a.engine, a.run.prefix)
	return a.read(ctx, streamCtx, stream)
}

// read takes a stream's tokens and decides what its end means.
func (a *attempt) read(ctx, streamCtx context.Context, stream backend.TokenStream) ending {
	finish, err := a.take(stream)
	_ = stream.Close()
	if err != nil {
		return a.broken(ctx, cause(streamCtx, err))
	}
	return final(outcome.Outcome{
		Kind: outcome.Completed, FinishReason: finish.Reason,
		PromptTokens: finish.PromptTokens, OutputTokens: finish.OutputTokens, Tokens: a.run.tokens,
	})
}

// take reads tokens in offset order. A token seen before is dropped; a token
// of a later offset breaks the stream, which is then joined at the exact offset.
func (a *attempt) take(stream backend.TokenStream) (backend.Finish, error) {
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return a.finish(stream.Finish())
		}
		if err != nil {
			return backend.Finish{}, err
		}
		expected := len(a.run.tokens)
		if token.Offset < expected {
			continue
		}
		if token.Offset > expected {
			a.crossed(expected, token.Offset)
			return backend.Finish{}, errWrongOffset
		}
		a.watchdog.Reset(a.service.config.NextTokenTimeout)
		a.run.started()
		if a.engine != nil {
			a.service.fleet.Worked(a.engine)
		}
		a.run.tokens = append(a.run.tokens, token.Text)
		if err := a.run.sink(token); err != nil {
			return backend.Finish{}, errCallerGone
		}
	}
}

// finish checks that the engine's end fits what was received.
func (a *attempt) finish(finish backend.Finish) (backend.Finish, error) {
	if finish.Reason == "cancelled" {
		return finish, errStopped
	}
	if finish.OutputTokens != len(a.run.tokens) {
		a.crossed(len(a.run.tokens), finish.OutputTokens)
		return finish, errWrongEnd
	}
	return finish, nil
}

// broken decides what to do after a stream that ended early. The request may
// have run.
func (a *attempt) broken(ctx context.Context, err error) ending {
	switch {
	case errors.Is(err, errCallerGone):
		a.cancel(ctx)
		return final(outcome.Outcome{Kind: outcome.Cancelled, Code: codeCancelled, Reason: err.Error(), Tokens: a.run.tokens})
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errPreempted):
		a.cancel(ctx)
		return final(a.run.stopped(ctx))
	case errors.Is(context.Cause(ctx), errPreempted):
		a.cancelNow(ctx)
		return final(outcome.Outcome{Kind: outcome.Preempted, Code: codePreempted, Reason: errPreempted.Error(), Tokens: a.run.tokens})
	}
	a.failed(err)
	if errors.Is(err, errStalled) && a.run.request.Repeatable {
		a.hung()
		a.cancel(ctx)
		return ending{err: err}
	}
	if errors.Is(err, errStopped) && !a.run.request.Repeatable {
		return final(outcome.Outcome{Kind: outcome.Failed, Code: codeEngine, Reason: err.Error(), Tokens: a.run.tokens})
	}
	return a.resume(ctx, err)
}

// resume joins the attempt again on its own engine at the exact offset. The
// tries count from the last token. When they fail, a repeatable request goes on
// elsewhere from its kept tokens; any other is left to run on the engine, where
// its one attempt can still be joined by its id.
func (a *attempt) resume(ctx context.Context, cause error) ending {
	pause := a.service.config.ResumePause
	offset := len(a.run.tokens)
	for tries := 0; tries < a.service.config.ResumeAttempts; tries++ {
		if !wait.For(ctx, pause) {
			return a.broken(ctx, cause)
		}
		pause *= 2
		end, err := a.join(ctx)
		if received := len(a.run.tokens); received > offset {
			offset, tries, pause = received, -1, a.service.config.ResumePause
		}
		if err == nil {
			return end
		}
		cause = err
		if errors.Is(err, errCallerGone) || ctx.Err() != nil {
			return a.broken(ctx, err)
		}
		if code(err) == backend.CodeNotFound {
			break
		}
	}
	if a.engine != nil && !errors.Is(cause, errWrongOffset) && code(cause) != backend.CodeNotFound {
		a.hung()
	}
	if a.run.request.Repeatable {
		a.cancel(ctx)
		return ending{err: cause}
	}
	if code(cause) == backend.CodeNotFound && a.neverRan(ctx) {
		return final(outcome.Outcome{
			Kind: outcome.Refused, Code: codeNeverRan, RetryAfter: a.service.config.RetryAfter,
			Reason: "the engine never ran the attempt and never will: " + cause.Error(),
		})
	}
	events.RequestOutcomeLost.Log(a.service.logger, zap.String("request", string(a.run.request.ID)),
		zap.String("engine", a.engineName()), zap.Int("offset", len(a.run.tokens)))
	return final(a.run.lost(cause))
}

// join reads the attempt's stream from the present offset; an error says why
// it did not reach its end.
func (a *attempt) join(ctx context.Context) (ending, error) {
	streamCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a.watchdog = time.AfterFunc(a.service.config.FirstTokenTimeout, func() { cancel(errStalled) })
	defer a.watchdog.Stop()
	stream, err := a.client.Resume(streamCtx, a.id, len(a.run.tokens))
	if err != nil {
		return ending{}, cause(streamCtx, err)
	}
	finish, err := a.take(stream)
	_ = stream.Close()
	if err != nil {
		return ending{}, cause(streamCtx, err)
	}
	return final(outcome.Outcome{
		Kind: outcome.Completed, FinishReason: finish.Reason,
		PromptTokens: finish.PromptTokens, OutputTokens: finish.OutputTokens, Tokens: a.run.tokens,
	}), nil
}

// refused takes an engine's proof that it does not run the request.
func (a *attempt) refused(ctx context.Context, err error) ending {
	if ctx.Err() != nil {
		return final(a.run.stopped(ctx))
	}
	a.failed(err)
	switch code(err) {
	case backend.CodeInvalid:
		return final(a.run.refuse(codeInvalid, err.Error(), 0))
	case backend.CodeLeaving:
		a.service.fleet.Left(a.engine)
	case backend.CodeUnavailable:
		a.service.fleet.Unreachable(a.engine, err.Error())
	}
	return ending{err: err}
}

// cancel stops the engine's work in the background, on a context of its own,
// so that the caller's end is not held up.
func (a *attempt) cancel(ctx context.Context) {
	a.service.background.Go(func() { a.service.cancelUntilHeard(ctx, a.client, a.intent()) })
}

// cancelNow returns when the engine has heard of the cancel, or after one try;
// further tries are then made in the background.
func (a *attempt) cancelNow(ctx context.Context) {
	if _, heard := a.service.cancelOnce(ctx, a.client, a.intent()); !heard {
		a.cancel(ctx)
	}
}

func (a *attempt) intent() Intent {
	return Intent{Attempt: a.id, Engine: identity.EngineID(a.engineName()), Incarnation: a.incarnation}
}

// neverRan cancels the attempt and says whether its engine vouches, in the life
// that the attempt was meant for, that it never ran and never will.
func (a *attempt) neverRan(ctx context.Context) bool {
	report, heard := a.service.cancelOnce(ctx, a.client, a.intent())
	return heard && report.Never && a.incarnation != "" && report.Incarnation == a.incarnation && len(a.run.tokens) == 0
}

// cancelOnce tries once, and says whether the engine has taken the cancel or
// does not know the attempt.
func (s *Service) cancelOnce(ctx context.Context, client backend.Engine, intent Intent) (report backend.CancelReport, heard bool) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), s.config.CancelTimeout)
	defer stop()
	report, err := client.Cancel(ctx, intent.Attempt)
	return report, err == nil || code(err) == backend.CodeNotFound
}

// The pauses between tries to cancel an attempt: a cancel reaches an engine
// within two seconds of its answering again.
const (
	firstCancelPause   = 100 * time.Millisecond
	longestCancelPause = 500 * time.Millisecond
)

// cancelUntilHeard asks again while the engine does not answer: an engine that
// hung or was cut off has gone on with its work. It ends with the service.
func (s *Service) cancelUntilHeard(ctx context.Context, client backend.Engine, intent Intent) {
	deadline := time.Now().Add(s.config.CancelPatience)
	for pause := firstCancelPause; ; pause = min(2*pause, longestCancelPause) {
		if _, heard := s.cancelOnce(ctx, client, intent); heard {
			return
		}
		if time.Now().After(deadline) || !s.pause(pause) {
			events.CancelFailed.Log(s.logger, zap.String("attempt", string(intent.Attempt)), zap.String("engine", string(intent.Engine)),
				zap.Error(errCancelUnheard))
			return
		}
	}
}

// pause waits; false when the service stops first.
func (s *Service) pause(length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-s.stopping:
		return false
	case <-timer.C:
		return true
	}
}

func (a *attempt) hung() {
	if a.engine != nil {
		a.service.fleet.Hung(a.engine, "streams stand still")
	}
}

func (a *attempt) failed(err error) {
	events.AttemptFailed.Log(a.service.logger, zap.String("request", string(a.run.request.ID)), zap.String("attempt", string(a.id)),
		zap.String("engine", a.engineName()), zap.Int("offset", len(a.run.tokens)), zap.Error(err))
}

func (a *attempt) crossed(want, got int) {
	events.AttemptCrossed.Log(a.service.logger, zap.String("request", string(a.run.request.ID)), zap.String("attempt", string(a.id)),
		zap.String("engine", a.engineName()), zap.Int("want", want), zap.Int("got", got))
}

func (a *attempt) engineName() string {
	if a.engine == nil {
		return ""
	}
	return string(a.engine.ID)
}

// cause replaces a stream's error by what its context was cancelled for.
func cause(ctx context.Context, err error) error {
	if reason := context.Cause(ctx); reason != nil && !errors.Is(err, errCallerGone) {
		return fmt.Errorf("%w (%w)", reason, err)
	}
	return err
}

func notRun(err error) bool {
	var failure *backend.Error
	return errors.As(err, &failure) && failure.Effect == backend.EffectNone
}

func code(err error) backend.ErrorCode {
	var failure *backend.Error
	if errors.As(err, &failure) {
		return failure.Code
	}
	return ""
}
