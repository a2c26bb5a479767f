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

// Sampling says how an engine chooses tokens; nil leaves a choice to the engine.
type Sampling struct {
	Temperature      *float64 `json:"temperature,omitempty"`       // 0 to 2
	TopP             *float64 `json:"top_p,omitempty"`             // 0 to 1
	PresencePenalty  *float64 `json:"presence_penalty,omitempty"`  // -2 to 2
	FrequencyPenalty *float64 `json:"frequency_penalty,omitempty"` // -2 to 2
	Seed             *int64   `json:"seed,omitempty"`
}

// GenerateRequest asks an engine for a token stream.
type GenerateRequest struct {
	Attempt identity.AttemptID
	Model   string
	Version string // empty: any
	Adapter string // empty: none
	Prompt  string
	// Kept holds output tokens already produced by an earlier attempt; the
	// stream goes on at offset len(Kept).
	Kept      []string
	MaxTokens int
	Sampling  Sampling
	Priority  Priority
	// Incarnation, when set, has the engine refuse with CodeFenced in any other
	// life than this, so that a late send cannot reach a restarted engine.
	Incarnation identity.Incarnation
}

// Token is one output token. Offsets start at 0 and rise by one.
type Token struct {
	Offset int
	Text   string
}

// Finish ends a stream.
type Finish struct {
	Reason       string // "stop", "length" or "cancelled"
	PromptTokens int
	OutputTokens int // of the whole answer, kept tokens included
	CachedTokens int // prompt tokens found in the prefix cache
}

// TokenStream is one attempt's output. It is used by one goroutine.
type TokenStream interface {
	// Next gives the next token; after the last, (Token{}, io.EOF). A stream
	// that breaks before its last token gives *Error with CodeBroken.
	Next() (Token, error)
	// Finish is valid after Next returned io.EOF.
	Finish() Finish
	// Close drops the connection. It does not cancel the engine's work.
	Close() error
}

// EngineLoad is an engine's own report, already old when it arrives.
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
	Incarnation   identity.Incarnation // of the engine's process; empty: not said
}

// LoadedModel is a model version, with its adapters, that an engine can run.
type LoadedModel struct {
	Model, Version string
	Adapters       []string
}

// CacheEvent says that a prompt prefix entered or left an engine's cache.
type CacheEvent struct {
	Sequence uint64 // gaps mean lost events
	Prefix   uint64 // one hash of AppendPrefixHashes
	Stored   bool   // false: evicted
}

// CancelReport says what a cancel found.
type CancelReport struct {
	Found        bool // the engine knew the attempt
	Running      bool // it was running or queued, and is now stopped
	OutputTokens int
	// Never is the engine's word that the attempt has not run in this
	// incarnation and will be refused for the rest of it.
	Never       bool
	Incarnation identity.Incarnation
}

// OrderKind is the kind of a fenced order.
type OrderKind string

// The orders an engine takes.
const (
	OrderLoadModel     OrderKind = "load_model"
	OrderUnloadModel   OrderKind = "unload_model"
	OrderLoadAdapter   OrderKind = "load_adapter"
	OrderUnloadAdapter OrderKind = "unload_adapter"
	OrderSetRole       OrderKind = "set_role"
)

// Order tells an engine to change what it holds. An engine refuses an order
// whose Epoch is below the highest it has seen, with CodeFenced.
type Order struct {
	ID                            string
	Epoch                         uint64
	Kind                          OrderKind
	Model, Version, Adapter, Role string
}

// Engine is one model engine. Implementations are safe for concurrent use.
type Engine interface {
	// Generate starts an attempt. An *Error with EffectNone proves that the
	// engine does not run it. A repeated Attempt gives the running stream.
	Generate(ctx context.Context, request GenerateRequest) (TokenStream, error)
	// Resume joins an attempt that the engine still holds, at offset.
	// CodeNotFound says that the engine does not know the attempt.
	Resume(ctx context.Context, attempt identity.AttemptID, offset int) (TokenStream, error)
	// Cancel stops an attempt; one that the engine has not seen is refused when
	// it comes later.
	Cancel(ctx context.Context, attempt identity.AttemptID) (CancelReport, error)
	// ExportKV gives an attempt's KV cache as an opaque block, for ImportKV.
	ExportKV(ctx context.Context, attempt identity.AttemptID) ([]byte, error)
	// ImportKV makes an exported block's prefix cached on this engine.
	ImportKV(ctx context.Context, block []byte) error
	// Load gives the engine's latest published load report.
	Load(ctx context.Context) (EngineLoad, error)
	// CacheEvents gives published events with a sequence above since.
	CacheEvents(ctx context.Context, since uint64) ([]CacheEvent, error)
	// Order carries out a fenced order; it returns when the order is accepted,
	// and Load shows when it is done.
	Order(ctx context.Context, order Order) error
}

// Engines opens engines by machine-list entry.
type Engines interface {
	Engine(machine Machine) Engine
}
