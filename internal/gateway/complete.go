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

// The request headers that callers may set.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerTimeout        = "X-Request-Timeout"
)

// onlineRequest is one online request in the gateway.
type onlineRequest struct {
	id       string
	tenant   identity.TenantID
	row      policy.Row
	parsed   generation
	arrived  time.Time
	deadline time.Time
	// path, body and authorization are the request as received. They are used for
	// the key's digest and for forwarding to the other site.
	path          string
	body          []byte
	authorization string
	key           idempotency.Key // Key.Key is empty when the request has none
	fromOtherSite bool            // forwarded by the other site
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
	request, err := s.readRequest(c, tenant, body, chat, arrived)
	if err != nil {
		return err
	}
	if request.key.Key != "" {
		return s.runKeyed(c, request)
	}
	if s.chooseSite(request) == site.Other {
		done, err := s.forwardUnkeyed(c, request)
		if done || err != nil {
			return err
		}
	}
	return s.runUnkeyed(c, request)
}

// bodyError maps the error of reading a body. A body that is too large or too slow
// keeps its error; any other failure becomes an invalid request.
func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) || errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return apierror.Invalid("the body could not be read whole: %v", err)
}

// readRequest parses and validates the request and finds the row that governs it.
func (s *Server) readRequest(c echo.Context, tenant identity.TenantID, body []byte, chat bool, arrived time.Time) (*onlineRequest, error) {
	parsed, err := parseGeneration(body, chat)
	if err != nil {
		return nil, err
	}
	timeout, err := s.readTimeout(c.Request().Header)
	if err != nil {
		return nil, err
	}
	if parsed.maxTokens == 0 {
		parsed.maxTokens = s.config.DefaultMaxTokens
	}
	if parsed.maxTokens > s.config.MaxTokens {
		return nil, apierror.Invalid(`field "max_tokens": at most %d`, s.config.MaxTokens)
	}
	row, err := s.findRow(tenant, parsed.model)
	if err != nil {
		return nil, err
	}
	key := c.Request().Header.Get(headerIdempotencyKey)
	if err := validateKey(key); err != nil {
		return nil, err
	}
	return &onlineRequest{
		id: string(httpserver.RequestID(c)), tenant: tenant, row: row, parsed: parsed, arrived: arrived, deadline: arrived.Add(timeout),
		path: c.Path(), body: body, authorization: c.Request().Header.Get(echo.HeaderAuthorization),
		key: idempotency.Key{Tenant: tenant, Key: key}, fromOtherSite: c.Request().Header.Get(backend.HopHeader) != "",
	}, nil
}

// findRow finds the row that governs a tenant's online requests for a model. While
// the table is not loaded yet, a missing row is not reported as not found, since the
// loaded table may hold it.
func (s *Server) findRow(tenant identity.TenantID, model string) (policy.Row, error) {
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

// readTimeout returns how long the caller waits at most, bounded by RequestTimeout.
func (s *Server) readTimeout(header http.Header) (time.Duration, error) {
	text := header.Get(headerTimeout)
	if text == "" {
		return s.config.RequestTimeout, nil
	}
	requested, err := time.ParseDuration(text)
	if err != nil || requested <= 0 {
		return 0, apierror.Invalid("header %s: must be a duration such as 30s", headerTimeout)
	}
	return min(s.config.RequestTimeout, requested), nil
}

// runUnkeyed runs a request without an idempotency key for its only client. The run
// is cancelled when the client disconnects.
func (s *Server) runUnkeyed(c echo.Context, request *onlineRequest) error {
	release, err := s.admit(request)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(c.Request().Context(), request.deadline)
	defer cancel()
	run := newAnswer(headOf(request))
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		result, used := s.generate(ctx, request, run, nil)
		run.end(result)
		release(used)
	}()
	form := formOf(request, request.deadline.Add(endGrace))
	form.mayRunOnce = !request.parsed.repeatable
	err = writeAnswer(c, run, form)
	cancel()
	<-finished
	return err
}

// endGrace is how long after its deadline a run may take to report its end.
const endGrace = time.Second

// admit checks the request against the limits of its row and tenant. If it returns
// no error, release must be called once at the end with the tokens used.
func (s *Server) admit(request *onlineRequest) (release func(used int), err error) {
	estimate := backend.PromptTokens(request.parsed.prompt) + request.parsed.maxTokens
	release, decision := s.deps.Limits.Admit(request.row, request.tenant, estimate)
	if decision.Allowed {
		return release, nil
	}
	return nil, &apierror.Error{
		Status: http.StatusTooManyRequests, Code: apierror.CodeLimited, Run: outcome.Refused, RetryAfter: decision.RetryAfter,
		Message: "not run: the limit " + decision.Limit + " is reached",
	}
}

func headOf(request *onlineRequest) answerHead {
	prefix := "cmpl-"
	if request.parsed.chat {
		prefix = "chatcmpl-"
	}
	return answerHead{id: prefix + request.id, model: request.parsed.model, created: request.arrived.Unix(), chat: request.parsed.chat}
}

func formOf(request *onlineRequest, deadline time.Time) answerForm {
	return answerForm{stream: request.parsed.stream, includeUsage: request.parsed.includeUsage, deadline: deadline}
}

// errStopSequence ends a run at a stop sequence, and errTokenOutOfOrder ends it at a
// token with an unexpected offset. errTokenAfterEnd refuses a token that arrives
// after the run's end.
var (
	errTokenAfterEnd   = errors.New("token after the end of the run")
	errStopSequence    = errors.New("stop sequence found")
	errTokenOutOfOrder = errors.New("token out of order")
)

// generate runs the request and adds its texts to the answer. It returns the result,
// which the caller sets as the answer's end, and the number of tokens used.
func (s *Server) generate(ctx context.Context, request *onlineRequest, run *answer, beforeSend func(context.Context, dispatch.Intent) error) (result answerResult, used int) {
	return s.collect(request, run, func(sink dispatch.Sink) outcome.Outcome {
		return s.deps.Online.Run(ctx, dispatch.Request{
			ID: identity.RequestID(request.id), Tenant: request.tenant, Row: request.row, Kind: policy.KindOnline,
			Model: request.parsed.model, Adapter: request.parsed.adapter, Prompt: request.parsed.prompt,
			MaxTokens: request.parsed.maxTokens, Sampling: request.parsed.sampling, Repeatable: request.parsed.repeatable, Deadline: request.deadline,
			BeforeSend: beforeSend,
		}, sink)
	})
}

// collect adds the tokens of one run to its answer and records the run's metrics.
func (s *Server) collect(request *onlineRequest, run *answer, source func(dispatch.Sink) outcome.Outcome) (result answerResult, used int) {
	s.metrics.running.Inc()
	defer s.metrics.running.Dec()
	tokens := collector{server: s, request: request, run: run, stop: stopFilter{sequences: request.parsed.stop}}
	ended := source(tokens.token)
	result, count := tokens.finish(ended)
	label := outcome.Completed.String()
	if result.failure != nil {
		label = result.failure.Run.String()
	}
	s.metrics.recordEnd(request.parsed.chat, label, count)
	events.RequestEnded.Log(s.logger, zap.String("request", request.id), zap.String("tenant", string(request.tenant)),
		zap.String("model", request.parsed.model), zap.String("outcome", label), zap.Int("tokens", count),
		zap.Duration("elapsed", time.Since(request.arrived)))
	return result, ended.PromptTokens + count
}

// collector adds the tokens of one run to its answer. Its mutex is acquired before
// the answer's mutex.
type collector struct {
	server  *Server
	request *onlineRequest
	run     *answer

	mutex       sync.Mutex // a token may arrive after the run's end, from another goroutine
	stop        stopFilter
	count       int
	lastTokenAt time.Time // time of the previous token
	refusal     error     // why tokens are refused: errStopSequence, errTokenOutOfOrder or errTokenAfterEnd
}

// token is the run's dispatch.Sink.
func (t *collector) token(token backend.Token) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.refusal != nil {
		return t.refusal
	}
	if token.Offset != t.count {
		t.refusal = errTokenOutOfOrder
		events.AnswerOutOfOrder.Log(t.server.logger, zap.String("request", t.request.id),
			zap.Int("expected", t.count), zap.Int("offset", token.Offset))
		return t.refusal
	}
	now := time.Now()
	if t.count == 0 {
		t.server.metrics.observeFirstToken(now.Sub(t.request.arrived))
	} else {
		t.server.metrics.observeNextToken(now.Sub(t.lastTokenAt))
	}
	t.lastTokenAt = now
	t.count++
	text, found := t.stop.filter(token.Text)
	if text != "" {
		t.run.add(text)
	}
	if found {
		t.refusal = errStopSequence
		return t.refusal
	}
	return nil
}

// finish closes the collector and returns the run's result and its token count.
func (t *collector) finish(ended outcome.Outcome) (result answerResult, count int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	result = t.result(ended)
	t.refusal = errTokenAfterEnd
	return result, t.count
}

// result combines the engine's outcome with the collector's reason to stop, if any.
func (t *collector) result(ended outcome.Outcome) answerResult {
	switch {
	case errors.Is(t.refusal, errStopSequence):
		prompt := ended.PromptTokens
		if prompt == 0 { // the engine was stopped before it could report the count
			prompt = backend.PromptTokens(t.request.parsed.prompt)
		}
		return answerResult{reason: finishStop, used: usage{prompt: prompt, output: t.count}}
	case errors.Is(t.refusal, errTokenOutOfOrder):
		return answerResult{failure: failureOf(outcome.Outcome{Kind: outcome.Failed, Reason: "the engine's answer came out of order"})}
	case ended.Kind == outcome.Completed && ended.OutputTokens != t.count:
		return answerResult{failure: failureOf(outcome.Outcome{Kind: outcome.Failed, Reason: "the engine's answer was not whole"})}
	}
	if rest := t.stop.flush(); rest != "" && ended.Kind == outcome.Completed {
		t.run.add(rest)
	}
	return resultOf(ended)
}
