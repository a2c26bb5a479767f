package httpclient

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/backend/wire"
	"ringstream.example/ringstream/internal/core/identity"
)

// engines creates engine adapters by address.
type engines struct {
	caller func(system, base string) *caller
}

// Engine implements backend.Engines.
func (e *engines) Engine(machine backend.Machine) backend.Engine {
	return &engine{e.caller("engine "+machine.ID, "http://"+machine.Address)}
}

// engine is the adapter of one engine.
type engine struct{ *caller }

// errAcceptTimeout is the cause of a call that the engine did not accept in time.
var errAcceptTimeout = errors.New("not taken within the accept timeout")

// Generate implements backend.Engine. The stream ends when ctx is done.
func (e *engine) Generate(ctx context.Context, generate backend.GenerateRequest) (backend.TokenStream, error) {
	body := encode(wire.GenerateRequest{
		Attempt: string(generate.Attempt), Model: generate.Model, Version: generate.Version, Adapter: generate.Adapter,
		Prompt: generate.Prompt, Kept: generate.Kept, MaxTokens: generate.MaxTokens, Priority: uint8(generate.Priority),
		Sampling: wire.Sampling(generate.Sampling), Incarnation: generate.Incarnation,
	})
	call := request{operation: "generate", method: http.MethodPost, path: wire.PathGenerate, body: body}
	return e.stream(ctx, call, generate.Attempt, len(generate.Kept))
}

// Resume implements backend.Engine. The stream ends when ctx is done.
func (e *engine) Resume(ctx context.Context, attempt identity.AttemptID, offset int) (backend.TokenStream, error) {
	path := attemptPath(attempt, wire.SuffixStream) + "?offset=" + strconv.Itoa(offset)
	return e.stream(ctx, request{operation: "resume", method: http.MethodGet, path: path}, attempt, offset)
}

// stream opens a token stream. The engine sends the response headers as soon as it
// has accepted the attempt. The accept timeout therefore bounds the wait for the
// headers and not the stream.
func (e *engine) stream(ctx context.Context, call request, attempt identity.AttemptID, offset int) (backend.TokenStream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(e.acceptTimeout, func() { cancel(errAcceptTimeout) })
	response, err := e.send(ctx, call)
	if err == nil && !timer.Stop() {
		_ = response.Body.Close()
		err = e.callError(call, backend.CodeUnavailable, backend.EffectUnknown, errAcceptTimeout)
	}
	if err != nil {
		timer.Stop()
		cancel(nil)
		return nil, err
	}
	return newTokenStream(response.Body, cancel, e.system, string(attempt), offset), nil
}

// Cancel implements backend.Engine.
func (e *engine) Cancel(ctx context.Context, attempt identity.AttemptID) (backend.CancelReport, error) {
	var report wire.CancelReport
	call := request{operation: "cancel", method: http.MethodPost, path: attemptPath(attempt, wire.SuffixCancel)}
	err := e.call(ctx, call, &report)
	return backend.CancelReport(report), err
}

// ExportKV implements backend.Engine.
func (e *engine) ExportKV(ctx context.Context, attempt identity.AttemptID) ([]byte, error) {
	return e.callRaw(ctx, request{operation: "export_kv", method: http.MethodGet, path: attemptPath(attempt, wire.SuffixKV)})
}

// ImportKV implements backend.Engine.
func (e *engine) ImportKV(ctx context.Context, block []byte) error {
	return e.call(ctx, request{operation: "import_kv", method: http.MethodPost, path: wire.PathImportKV, body: block}, nil)
}

// Load implements backend.Engine.
func (e *engine) Load(ctx context.Context) (backend.EngineLoad, error) {
	var load wire.Load
	if err := e.call(ctx, request{operation: "load", method: http.MethodGet, path: wire.PathLoad}, &load); err != nil {
		return backend.EngineLoad{}, err
	}
	models := make([]backend.LoadedModel, 0, len(load.Models))
	for _, model := range load.Models {
		models = append(models, backend.LoadedModel(model))
	}
	return backend.EngineLoad{
		Engine: identity.EngineID(load.Engine), ReportedAt: load.ReportedAt,
		RunningOnline: load.RunningOnline, RunningBatch: load.RunningBatch, Waiting: load.Waiting,
		MaxRunning: load.MaxRunning, KVUsed: load.KVUsed, KVCapacity: load.KVCapacity,
		StepMillis: load.StepMillis, Models: models, Role: load.Role, Leaving: load.Leaving,
		Incarnation: load.Incarnation,
	}, nil
}

// CacheEvents implements backend.Engine.
func (e *engine) CacheEvents(ctx context.Context, since uint64) ([]backend.CacheEvent, error) {
	var answer wire.CacheEvents
	path := wire.PathCacheEvents + "?since=" + strconv.FormatUint(since, 10)
	if err := e.call(ctx, request{operation: "cache_events", method: http.MethodGet, path: path}, &answer); err != nil {
		return nil, err
	}
	events := make([]backend.CacheEvent, 0, len(answer.Events))
	for _, event := range answer.Events {
		events = append(events, backend.CacheEvent(event))
	}
	return events, nil
}

// Order implements backend.Engine.
func (e *engine) Order(ctx context.Context, order backend.Order) error {
	body := encode(wire.Order{
		ID: order.ID, Epoch: order.Epoch, Kind: string(order.Kind),
		Model: order.Model, Version: order.Version, Adapter: order.Adapter, Role: order.Role,
	})
	return e.call(ctx, request{operation: "order", method: http.MethodPost, path: wire.PathOrders, body: body}, nil)
}

func attemptPath(attempt identity.AttemptID, suffix string) string {
	return wire.PathAttempts + url.PathEscape(string(attempt)) + suffix
}
