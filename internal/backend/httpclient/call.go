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

// caller sends requests to one external system.
type caller struct {
	client        *http.Client
	system, base  string
	callTimeout   time.Duration
	acceptTimeout time.Duration
}

// request describes one call.
type request struct {
	operation string
	method    string
	path      string // including the query
	body      []byte
	header    http.Header
}

// maxResponseBytes bounds a response that is read completely.
const maxResponseBytes = 64 << 20

// maxErrorBytes bounds the body of an error response.
const maxErrorBytes = 16 << 10

// call sends a request and decodes the JSON response into answer, unless it is nil.
func (c *caller) call(ctx context.Context, call request, answer any) error {
	body, err := c.callRaw(ctx, call)
	if err != nil || answer == nil {
		return err
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return c.callError(call, backend.CodeUnavailable, backend.EffectUnknown, err)
	}
	return nil
}

// callRaw sends a request and returns the whole response body.
func (c *caller) callRaw(ctx context.Context, call request) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	response, err := c.send(ctx, call)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, c.callError(call, backend.CodeUnavailable, backend.EffectUnknown, err)
	}
	return body, nil
}

// send sends a request and returns a successful response with its body unread.
func (c *caller) send(ctx context.Context, call request) (*http.Response, error) {
	response, err := c.exchange(ctx, call)
	if err != nil {
		return nil, err
	}
	if response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	return nil, c.responseError(call, response)
}

// exchange sends a request and returns the response, whatever its status. A call that
// got no connection provably had no effect. Once it had a connection, some of the
// request may have been written, and its effect is unknown unless the response says
// otherwise.
func (c *caller) exchange(ctx context.Context, call request) (*http.Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, c.callError(call, backend.CodeUnavailable, backend.EffectNone, err)
	}
	var connectionRequested, connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { connectionRequested.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	outgoing, err := http.NewRequestWithContext(ctx, call.method, c.base+call.path, bytes.NewReader(call.body))
	if err != nil {
		return nil, c.callError(call, backend.CodeInvalid, backend.EffectNone, err)
	}
	if call.header != nil {
		outgoing.Header = call.header
	}
	response, err := c.client.Do(outgoing)
	if err != nil {
		effect := backend.EffectUnknown
		if connectionRequested.Load() && !connected.Load() {
			effect = backend.EffectNone
		}
		return nil, c.callError(call, backend.CodeUnavailable, effect, err)
	}
	return response, nil
}

// responseError returns the error for an error response. Only a wire.Error of the
// system itself can state EffectNone, because a bare status may come from any
// intermediary.
func (c *caller) responseError(call request, response *http.Response) error {
	failure := &backend.Error{
		Code: codeFromStatus(response.StatusCode), Effect: backend.EffectUnknown,
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

func (c *caller) callError(call request, code backend.ErrorCode, effect backend.Effect, cause error) error {
	return &backend.Error{Code: code, Effect: effect, System: c.system, Operation: call.operation, Cause: cause}
}

// codeFromStatus returns the code for a response without a code of the system.
func codeFromStatus(status int) backend.ErrorCode {
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

// retryAfter parses a Retry-After header in whole seconds. It returns zero if the
// header is missing or invalid.
func retryAfter(header string) time.Duration {
	seconds, err := strconv.Atoi(header)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// encode returns the JSON of a wire value. Wire types always encode.
func encode(value any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		panic("wire type does not encode: " + err.Error())
	}
	return body
}
