package backend

import (
	"context"
	"time"

	"ringstream.example/ringstream/internal/core/identity"
)

// Priority is the engine's scheduling class for a request.
type Priority uint8

// The priorities; an engine runs PriorityOnline first.
const (
	PriorityBatch  Priority = 0
	PriorityOnline Priority = 1
)

// Sampling holds the sampling parameters of a request. The engine chooses the value
// of a nil parameter.
type Sampling struct {
	Temperature      *float64 `json:"temperature,omitempty"`       // 0 to 2
	TopP             *float64 `json:"top_p,omitempty"`             // 0 to 1
	PresencePenalty  *float64 `json:"presence_penalty,omitempty"`  // -2 to 2
	FrequencyPenalty *float64 `json:"frequency_penalty,omitempty"` // -2 to 2
	Seed             *int64   `json:"seed,omitempty"`
}

// GenerateRequest requests a token stream from an engine.
type GenerateRequest struct {
	Attempt identity.AttemptID
	Model   string
	Version string // empty: any
	Adapter string // empty: none
	Prompt  string
	// Kept holds the output tokens that an earlier attempt produced. The stream
	// continues at offset len(Kept).
	Kept      []string
	MaxTokens int
	Sampling  Sampling
	Priority  Priority
	// Incarnation is the engine process that may run the request, if set. Any other
	// incarnation rejects it with CodeFenced, so that a delayed request cannot run
	// on a restarted engine.
	Incarnation identity.Incarnation
}

// Token is one output token. Offsets start at 0 and increase by one.
type Token struct {
	Offset int
	Text   string
}

// Finish ends a stream.
type Finish struct {
	Reason       string // "stop", "length" or "cancelled"
	PromptTokens int
	OutputTokens int // of the whole output, including kept tokens
	CachedTokens int // prompt tokens found in the prefix cache
}

// TokenStream is one attempt's output. It is not safe for concurrent use.
type TokenStream interface {
	// Next returns the next token, or (Token{}, io.EOF) after the last one. If the
	// stream breaks before its last token, it returns *Error with CodeBroken.
	Next() (Token, error)
	// Finish is valid after Next returned io.EOF.
	Finish() Finish
	// Close releases the connection. It does not cancel the engine's work.
	Close() error
}

// EngineLoad is an engine's load report. It is already stale when it arrives.
type EngineLoad struct {
	Engine        identity.EngineID
	ReportedAt    time.Time // when the engine measured it
	RunningOnline int       // sequences in the running batch
	RunningBatch  int
	Waiting       int // sequences queued on the engine
	MaxRunning    int // sequences that fit at once
	KVUsed        int // tokens held in KV memory
	KVCapacity    int // tokens
	StepMillis    float64
	Models        []LoadedModel
	Role          string // "mixed", "prefill" or "decode"
	Leaving       bool
	Incarnation   identity.Incarnation // of the engine's process; empty if not reported
}

// LoadedModel is a model version, with its adapters, that an engine can run.
type LoadedModel struct {
	Model, Version string
	Adapters       []string
}

// CacheEvent reports that a prompt prefix was added to or evicted from an engine's
// cache.
type CacheEvent struct {
	Sequence uint64 // gaps mean lost events
	Prefix   uint64 // one hash of AppendPrefixHashes
	Stored   bool   // false: evicted
}

// CancelReport is the result of a cancel.
type CancelReport struct {
	Found        bool // the engine knew the attempt
	Running      bool // it was running or queued, and is now stopped
	OutputTokens int
	// Never means that the attempt has not run in this incarnation of the engine
	// and that this incarnation will reject it.
	Never       bool
	Incarnation identity.Incarnation
}

// OrderKind is the kind of a fenced order.
type OrderKind string

// The kinds of orders that an engine accepts.
const (
	OrderLoadModel     OrderKind = "load_model"
	OrderUnloadModel   OrderKind = "unload_model"
	OrderLoadAdapter   OrderKind = "load_adapter"
	OrderUnloadAdapter OrderKind = "unload_adapter"
	OrderSetRole       OrderKind = "set_role"
)

// Order instructs an engine to change its models, adapters or role. An engine
// rejects an order whose Epoch is below the highest it has seen, with CodeFenced.
type Order struct {
	ID                            string
	Epoch                         uint64
	Kind                          OrderKind
	Model, Version, Adapter, Role string
}

// Engine is one model engine. Implementations are safe for concurrent use.
type Engine interface {
	// Generate starts an attempt. An *Error with EffectNone proves that the engine
	// does not run it. A repeated Attempt returns the stream of the running attempt.
	Generate(ctx context.Context, request GenerateRequest) (TokenStream, error)
	// Resume returns the stream of an attempt that the engine still holds, from
	// offset. CodeNotFound means that the engine does not know the attempt.
	Resume(ctx context.Context, attempt identity.AttemptID, offset int) (TokenStream, error)
	// Cancel stops an attempt. An attempt that the engine has not seen is rejected
	// when it arrives later.
	Cancel(ctx context.Context, attempt identity.AttemptID) (CancelReport, error)
	// ExportKV returns an attempt's KV cache as an opaque block for ImportKV.
	ExportKV(ctx context.Context, attempt identity.AttemptID) ([]byte, error)
	// ImportKV adds the prefix of an exported block to this engine's cache.
	ImportKV(ctx context.Context, block []byte) error
	// Load returns the engine's latest published load report.
	Load(ctx context.Context) (EngineLoad, error)
	// CacheEvents returns published events with a sequence number above since.
	CacheEvents(ctx context.Context, since uint64) ([]CacheEvent, error)
	// Order submits a fenced order. It returns when the order is accepted; Load
	// shows when it is complete.
	Order(ctx context.Context, order Order) error
}

// Engines creates engine clients from machine list entries.
type Engines interface {
	Engine(machine Machine) Engine
}
