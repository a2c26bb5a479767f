package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/apierror"
	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/outcome"
	"ringstream.example/ringstream/internal/core/policy"
	"ringstream.example/ringstream/internal/core/site"
	"ringstream.example/ringstream/internal/dispatch"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/httpserver"
	"ringstream.example/ringstream/internal/idempotency"
)

// The headers that callers may set beside the body.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerTimeout        = "X-Request-Timeout"
)

// call is one online request on its way through the gateway.
type call struct {
	id       string
	tenant   identity.TenantID
	row      policy.Row
	request  generation
	arrived  time.Time
	deadline time.Time
	// The request as it came, for a key's digest and for the other site.
	path          string
	body          []byte
	authorization string
	key           idempotency.Key // Key.Key is empty when the request has none
	hopped        bool            // it came from the other site
}

// complete serves one completion request of either form.
func (s *Server) complete(c echo.Context, chat bool) error {
	arrived := time.Now()
	tenant, err := s.deps.Auth.Tenant(c.Request())
	if err != nil {
		return err
	}
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return bodyError(err)
	}
	taken, err := s.take(c, tenant, body, chat, arrived)
	if err != nil {
		return err
	}
	if taken.key.Key != "" {
		return s.runKeyed(c, taken)
	}
	if s.siteOf(taken) == site.Other {
		done, err := s.forwardUnkeyed(c, taken)
		if done || err != nil {
			return err
		}
	}
	return s.runUnkeyed(c, taken)
}

// bodyError tells a body that is too large from a client that went away.
func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) || errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return apierror.Invalid("the body could not be read whole: %v", err)
}

// take reads the request and finds the row that governs it.
func (s *Server) take(c echo.Context, tenant identity.TenantID, body []byte, chat bool, arrived time.Time) (*call, error) {
	request, err := parseGeneration(body, chat)
	if err != nil {
		return nil, err
	}
	timeout, err := s.readTimeout(c.Request().Header)
	if err != nil {
		return nil, err
	}
	if request.maxTokens == 0 {
		request.maxTokens = s.config.DefaultMaxTokens
	}
	if request.maxTokens > s.config.MaxTokens {
		return nil, apierror.Invalid(`field "max_tokens": at most %d`, s.config.MaxTokens)
	}
	row, err := s.rowOf(tenant, request.model)
	if err != nil {
		return nil, err
	}
	key := c.Request().Header.Get(headerIdempotencyKey)
	if err := checkKey(key); err != nil {
		return nil, err
	}
	return &call{
		id: string(httpserver.RequestID(c)), tenant: tenant, row: row, request: request, arrived: arrived, deadline: arrived.Add(timeout),
		path: c.Path(), body: body, authorization: c.Request().Header.Get(echo.HeaderAuthorization),
		key: idempotency.Key{Tenant: tenant, Key: key}, hopped: c.Request().Header.Get(backend.HopHeader) != "",
	}, nil
}

// rowOf finds the row that governs a tenant's online requests for a model. A
// table that is not loaded yet says nothing about what it will hold.
func (s *Server) rowOf(tenant identity.TenantID, model string) (policy.Row, error) {
	row, found := s.deps.Rows.Table().Lookup(string(tenant), model, policy.KindOnline)
	switch {
	case found:
		return row, nil
	case !s.tableReady():
		return row, &apierror.Error{
			Status: http.StatusServiceUnavailable, Code: apierror.CodeNoCapacity, Run: outcome.Refused, RetryAfter: defaultRetryAfter,
			Message: "not run: this node has not read the class table yet",
		}
	default:
		return row, apierror.New(http.StatusNotFound, apierror.CodeNotFound, "no row of the table serves model %q for this tenant", model)
	}
}

// readTimeout gives how long the caller waits at most.
func (s *Server) readTimeout(header http.Header) (time.Duration, error) {
	text := header.Get(headerTimeout)
	if text == "" {
		return s.config.RequestTimeout, nil
	}
	asked, err := time.ParseDuration(text)
	if err != nil || asked <= 0 {
		return 0, apierror.Invalid("header %s: must be a duration such as 30s", headerTimeout)
	}
	return min(s.config.RequestTimeout, asked), nil
}

// runUnkeyed runs a request for the one client that asked; when it goes away
// the run is cancelled.
func (s *Server) runUnkeyed(c echo.Context, taken *call) error {
	release, err := s.admit(taken)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(c.Request().Context(), taken.deadline)
	defer cancel()
	run := newAnswer(headOf(taken))
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		with, used := s.generate(ctx, taken, run, nil)
		run.end(with)
		release(used)
	}()
	form := formOf(taken, taken.deadline.Add(endGrace))
	form.once = !taken.request.repeatable
	err = writeAnswer(c, run, form)
	cancel()
	<-finished
	return err
}

// endGrace is how long after its deadline a run may take to say how it ended.
const endGrace = time.Second

// admit takes the request against the limits of its row and tenant.
func (s *Server) admit(taken *call) (release func(used int), err error) {
	estimate := backend.PromptTokens(taken.request.prompt) + taken.request.maxTokens
	release, decision := s.deps.Limits.Admit(taken.row, taken.tenant, estimate)
	if decision.Allowed {
		return release, nil
	}
	return nil, &apierror.Error{
		Status: http.StatusTooManyRequests, Code: apierror.CodeLimited, Run: outcome.Refused, RetryAfter: decision.RetryAfter,
		Message: "not run: the limit " + decision.Limit + " is reached",
	}
}

func headOf(taken *call) answerHead {
	prefix := "cmpl-"
	if taken.request.chat {
		prefix = "chatcmpl-"
	}
	return answerHead{id: prefix + taken.id, model: taken.request.model, created: taken.arrived.Unix(), chat: taken.request.chat}
}

func formOf(taken *call, deadline time.Time) answerForm {
	return answerForm{stream: taken.request.stream, includeUsage: taken.request.includeUsage, deadline: deadline}
}

// errStopped ends a run at a stop sequence; errDisorder at a token that is not
// the next one; errLate refuses a token that comes after the run's end.
var (
	errLate     = errors.New("token after the end of the run")
	errStopped  = errors.New("stop sequence found")
	errDisorder = errors.New("token out of order")
)

// generate runs the request and fills the answer, up to its end; it gives the
// end and the number of tokens used.
func (s *Server) generate(ctx context.Context, taken *call, run *answer, beforeSend func(context.Context, dispatch.Intent) error) (with ending, used int) {
	return s.collect(taken, run, func(sink dispatch.Sink) outcome.Outcome {
		return s.deps.Online.Run(ctx, dispatch.Request{
			ID: identity.RequestID(taken.id), Tenant: taken.tenant, Row: taken.row, Kind: policy.KindOnline,
			Model: taken.request.model, Adapter: taken.request.adapter, Prompt: taken.request.prompt,
			MaxTokens: taken.request.maxTokens, Sampling: taken.request.sampling, Repeatable: taken.request.repeatable, Deadline: taken.deadline,
			BeforeSend: beforeSend,
		}, sink)
	})
}

// collect takes the tokens of one run into its answer.
func (s *Server) collect(taken *call, run *answer, source func(dispatch.Sink) outcome.Outcome) (with ending, used int) {
	s.metrics.running.Inc()
	defer s.metrics.running.Dec()
	taker := collector{server: s, taken: taken, run: run, stop: stopFilter{sequences: taken.request.stop}}
	ended := source(taker.token)
	with, count := taker.finish(ended)
	label := outcome.Completed.String()
	if with.failure != nil {
		label = with.failure.Run.String()
	}
	s.metrics.ended(taken.request.chat, label, count)
	events.RequestEnded.Log(s.logger, zap.String("request", taken.id), zap.String("tenant", string(taken.tenant)),
		zap.String("model", taken.request.model), zap.String("outcome", label), zap.Int("tokens", count),
		zap.Duration("elapsed", time.Since(taken.arrived)))
	return with, ended.PromptTokens + count
}

// collector takes the tokens of one run into its answer. Its lock comes before
// the answer's.
type collector struct {
	server *Server
	taken  *call
	run    *answer

	mutex sync.Mutex // a token may come after the run's end, from another goroutine
	stop  stopFilter
	count int
	last  time.Time // of the token before
	cause error     // why no further token is taken: errStopped, errDisorder or errLate
}

// token is the run's dispatch.Sink.
func (t *collector) token(token backend.Token) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.cause != nil {
		return t.cause
	}
	if token.Offset != t.count {
		t.cause = errDisorder
		events.AnswerOutOfOrder.Log(t.server.logger, zap.String("request", t.taken.id),
			zap.Int("expected", t.count), zap.Int("offset", token.Offset))
		return t.cause
	}
	now := time.Now()
	if t.count == 0 {
		t.server.metrics.firstTokenAfter(now.Sub(t.taken.arrived))
	} else {
		t.server.metrics.nextTokenAfter(now.Sub(t.last))
	}
	t.last = now
	t.count++
	text, found := t.stop.take(token.Text)
	if text != "" {
		t.run.add(text)
	}
	if found {
		t.cause = errStopped
		return t.cause
	}
	return nil
}

// finish closes the collector, and gives the run's end and its tokens.
func (t *collector) finish(ended outcome.Outcome) (with ending, count int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	with = t.ending(ended)
	t.cause = errLate
	return with, t.count
}

// ending joins what the engine said with what the collector cut off.
func (t *collector) ending(ended outcome.Outcome) ending {
	switch {
	case errors.Is(t.cause, errStopped):
		prompt := ended.PromptTokens
		if prompt == 0 { // the engine was stopped before it could say
			prompt = backend.PromptTokens(t.taken.request.prompt)
		}
		return ending{reason: finishStop, used: usage{prompt: prompt, output: t.count}}
	case errors.Is(t.cause, errDisorder):
		return ending{failure: failureOf(outcome.Outcome{Kind: outcome.Failed, Reason: "the engine's answer came out of order"})}
	case ended.Kind == outcome.Completed && ended.OutputTokens != t.count:
		return ending{failure: failureOf(outcome.Outcome{Kind: outcome.Failed, Reason: "the engine's answer was not whole"})}
	}
	if rest := t.stop.rest(); rest != "" && ended.Kind == outcome.Completed {
		t.run.add(rest)
	}
	return endingOf(ended)
}
