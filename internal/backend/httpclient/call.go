package httpclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/backend/wire"
)

// caller sends requests to one system.
type caller struct {
	client        *http.Client
	system, base  string
	callTimeout   time.Duration
	acceptTimeout time.Duration
}

// request is one call to be sent.
type request struct {
	operation string
	method    string
	path      string // with its query
	body      []byte
	header    http.Header
}

// maxAnswerBytes bounds an answer that is read whole.
const maxAnswerBytes = 64 << 20

// maxErrorBytes bounds the body of a failed call.
const maxErrorBytes = 16 << 10

// call sends a request and decodes the JSON answer into answer, unless nil.
func (c *caller) call(ctx context.Context, call request, answer any) error {
	body, err := c.raw(ctx, call)
	if err != nil || answer == nil {
		return err
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return c.fail(call, backend.CodeUnavailable, backend.EffectUnknown, err)
	}
	return nil
}

// raw sends a request and gives the whole answer.
func (c *caller) raw(ctx context.Context, call request) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	response, err := c.send(ctx, call)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, c.fail(call, backend.CodeUnavailable, backend.EffectUnknown, err)
	}
	return body, nil
}

// send sends a request and gives a successful response, its body unread.
func (c *caller) send(ctx context.Context, call request) (*http.Response, error) {
	response, err := c.exchange(ctx, call)
	if err != nil {
		return nil, err
	}
	if response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	return nil, c.refusal(call, response)
}

// exchange sends a request and gives whatever response comes. A call that got
// no connection provably did nothing; once it had one, some of the request may
// have been written, and its effect is unknown unless the answer says otherwise.
func (c *caller) exchange(ctx context.Context, call request) (*http.Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, c.fail(call, backend.CodeUnavailable, backend.EffectNone, err)
	}
	var asked, connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { asked.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	outgoing, err := http.NewRequestWithContext(ctx, call.method, c.base+call.path, bytes.NewReader(call.body))
	if err != nil {
		return nil, c.fail(call, backend.CodeInvalid, backend.EffectNone, err)
	}
	if call.header != nil {
		outgoing.Header = call.header
	}
	response, err := c.client.Do(outgoing)
	if err != nil {
		effect := backend.EffectUnknown
		if asked.Load() && !connected.Load() {
			effect = backend.EffectNone
		}
		return nil, c.fail(call, backend.CodeUnavailable, effect, err)
	}
	return response, nil
}

// refusal reads the system's own word on a failed call. Only its word makes
// the effect none: a bare status may come from anything on the way.
func (c *caller) refusal(call request, response *http.Response) error {
	failure := &backend.Error{
		Code: codeOfStatus(response.StatusCode), Effect: backend.EffectUnknown,
		System: c.system, Operation: call.operation,
		RetryAfter: retryAfter(response.Header.Get("Retry-After")),
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	var body wire.Error
	if err == nil {
		err = json.Unmarshal(raw, &body)
	}
	if err != nil || body.Code == "" {
		failure.Cause = errors.New(response.Status)
		return failure
	}
	failure.Code = backend.ErrorCode(body.Code)
	if body.Effect == wire.EffectNone {
		failure.Effect = backend.EffectNone
	}
	if body.RetryAfterMillis > 0 {
		failure.RetryAfter = time.Duration(body.RetryAfterMillis) * time.Millisecond
	}
	failure.Cause = errors.New(body.Message)
	return failure
}

func (c *caller) fail(call request, code backend.ErrorCode, effect backend.Effect, cause error) error {
	return &backend.Error{Code: code, Effect: effect, System: c.system, Operation: call.operation, Cause: cause}
}

// codeOfStatus is for answers without the system's own code.
func codeOfStatus(status int) backend.ErrorCode {
	switch {
	case status == http.StatusNotFound:
		return backend.CodeNotFound
	case status == http.StatusTooManyRequests:
		return backend.CodeRateLimited
	case status >= http.StatusInternalServerError:
		return backend.CodeUnavailable
	default:
		return backend.CodeInvalid
	}
}

// retryAfter reads a Retry-After in whole seconds; zero when there is none.
func retryAfter(header string) time.Duration {
	seconds, err := strconv.Atoi(header)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// encode gives the JSON of a wire value; those types always encode.
func encode(value any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		panic("wire type does not encode: " + err.Error())
	}
	return body
}
