// Package wire declares the JSON of the HTTP APIs of the emulated platform: engines,
// table service, object store, weight store and machine list. Only the adapters in
// httpclient and the emulators use it.
package wire

import (
	"time"

	"ringstream.example/ringstream/internal/core/identity"
)

// Paths of the engine.
const (
	PathGenerate    = "/v1/generate"     // POST, answered by a token stream
	PathAttempts    = "/v1/attempts/"    // + id + one of the suffixes below
	SuffixStream    = "/stream"          // GET ?offset=, a token stream
	SuffixCancel    = "/cancel"          // POST
	SuffixKV        = "/kv"              // GET, an opaque block
	PathImportKV    = "/v1/kv"           // POST, an opaque block
	PathLoad        = "/v1/load"         // GET
	PathCacheEvents = "/v1/cache_events" // GET ?since=
	PathOrders      = "/v1/orders"       // POST
)

// Paths of the table service, the object store, the weight store and the
// machine list.
const (
	PathRecord      = "/v1/record"       // GET ?key=
	PathRecords     = "/v1/records"      // GET ?prefix=&after=&limit=
	PathCommit      = "/v1/commit"       // POST
	PathObject      = "/v1/object"       // GET, PUT, DELETE ?name=
	PathObjects     = "/v1/objects"      // GET ?prefix=&after=&limit=
	PathArtifacts   = "/v1/artifacts"    // GET
	PathBudget      = "/v1/budget"       // GET
	PathMachineList = "/v1/machine_list" // GET ?since=
)

// EffectNone in Error.Effect states that the call had no effect.
const EffectNone = "none"

// Error is the body of every error response. An error response without it leaves the
// effect of the call unknown.
type Error struct {
	Code             string `json:"code"`
	Effect           string `json:"effect"`
	Message          string `json:"message"`
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
}

// GenerateRequest is the body of PathGenerate.
type GenerateRequest struct {
	Attempt   string   `json:"attempt"`
	Model     string   `json:"model"`
	Version   string   `json:"version,omitempty"`
	Adapter   string   `json:"adapter,omitempty"`
	Prompt    string   `json:"prompt"`
	Kept      []string `json:"kept,omitempty"`
	MaxTokens int      `json:"max_tokens"`
	Sampling  Sampling `json:"sampling,omitzero"`
	Priority  uint8    `json:"priority"`
	// Incarnation must equal the engine's incarnation if it is set.
	Incarnation identity.Incarnation `json:"incarnation,omitempty"`
}

// Sampling holds the sampling parameters. The engine chooses the value of an absent
// parameter.
type Sampling struct {
	Temperature      *float64 `json:"temperature,omitempty"`
	TopP             *float64 `json:"top_p,omitempty"`
	PresencePenalty  *float64 `json:"presence_penalty,omitempty"`
	FrequencyPenalty *float64 `json:"frequency_penalty,omitempty"`
	Seed             *int64   `json:"seed,omitempty"`
}

// Finish ends a token stream.
type Finish struct {
	Reason       string `json:"reason"`
	PromptTokens int    `json:"prompt_tokens"`
	OutputTokens int    `json:"output_tokens"`
	CachedTokens int    `json:"cached_tokens"`
}

// CancelReport is the response to a cancel.
type CancelReport struct {
	Found        bool                 `json:"found"`
	Running      bool                 `json:"running"`
	OutputTokens int                  `json:"output_tokens"`
	Never        bool                 `json:"never,omitempty"`
	Incarnation  identity.Incarnation `json:"incarnation,omitempty"`
}

// Load is an engine's load report.
type Load struct {
	Engine        string               `json:"engine"`
	ReportedAt    time.Time            `json:"reported_at"`
	RunningOnline int                  `json:"running_online"`
	RunningBatch  int                  `json:"running_batch"`
	Waiting       int                  `json:"waiting"`
	MaxRunning    int                  `json:"max_running"`
	KVUsed        int                  `json:"kv_used"`
	KVCapacity    int                  `json:"kv_capacity"`
	StepMillis    float64              `json:"step_ms"`
	Models        []LoadedModel        `json:"models"`
	Role          string               `json:"role"`
	Leaving       bool                 `json:"leaving"`
	Incarnation   identity.Incarnation `json:"incarnation,omitempty"`
}

// LoadedModel is a model version on an engine.
type LoadedModel struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Stored   bool   `json:"stored"`
}

// CacheEvents is the response of PathCacheEvents.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// Order is the body of PathOrders.
type Order struct {
	ID      string `json:"id"`
	Epoch   uint64 `json:"epoch"`
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Record is one record of the table service. Value is encoded as base64.
type Record struct {
	Key           string `json:"key"`
	Version       uint64 `json:"version"`
	TransactionID string `json:"transaction_id"`
	Value         []byte `json:"value"`
}

// Records is the response of PathRecords.
type Records struct {
	Records []Record `json:"records"`
}

// Compare is one condition of a transaction.
type Compare struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write is one write of a transaction.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction is the body of PathCommit.
type Transaction struct {
	ID       string    `json:"id"`
	Compares []Compare `json:"compares"`
	Writes   []Write   `json:"writes"`
}

// CommitResult is the response of PathCommit.
type CommitResult struct {
	Applied   bool     `json:"applied"`
	Conflicts []Record `json:"conflicts,omitempty"`
	Versions  []uint64 `json:"versions,omitempty"`
}

// Names is the response of PathObjects.
type Names struct {
	Names []string `json:"names"`
}

// Artifact is one model version or adapter of the weight store.
type Artifact struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter,omitempty"`
	Bytes   int64  `json:"bytes"`
}

// Artifacts is the response of PathArtifacts.
type Artifacts struct {
	Artifacts []Artifact `json:"artifacts"`
}

// Budget is the response of PathBudget.
type Budget struct {
	BytesPerSecond int64 `json:"bytes_per_second"`
}

// Machine is one entry of the machine list.
type Machine struct {
	ID       string  `json:"id"`
	Kind     string  `json:"kind"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Region   string  `json:"region"`
	Pool     string  `json:"pool,omitempty"`
	Capacity float64 `json:"capacity,omitempty"`
	Leaving  bool    `json:"leaving,omitempty"`
}

// MachineList is the response of PathMachineList. It has no machines if nothing has
// changed.
type MachineList struct {
	Version  uint64    `json:"version"`
	Machines []Machine `json:"machines"`
}
