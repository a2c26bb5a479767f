// Package identity declares the identifier types that all layers share.
// Identifiers are opaque strings: no package parses one that it did not create.
package identity

// NodeID identifies one ringstream node for the lifetime of one process.
type NodeID string

// EngineID identifies one model engine, as listed in the platform's machine list.
type EngineID string

// RequestID identifies one caller's request. It is in every log line and answer.
type RequestID string

// AttemptID identifies one dispatch of one request to one engine. An answer is
// accepted only by the attempt that requested it.
type AttemptID string

// Incarnation identifies one run of an engine's process; a restart creates a new
// one. It is empty if the engine does not report it.
type Incarnation string

// Intent describes an attempt before it is sent. It is recorded durably for
// requests that are not repeatable: a node that finds it later may join the attempt,
// or learn from the engine that it never ran, but must not send it.
type Intent struct {
	Attempt AttemptID `json:"attempt"`
	Engine  EngineID  `json:"engine"`
	// Incarnation is that of the engine just before the attempt was sent.
	Incarnation Incarnation `json:"incarnation,omitempty"`
}

// JobID identifies one accepted batch job.
type JobID string

// TenantID identifies the team on whose behalf a request runs.
type TenantID string

// RowID identifies one row of the class table.
type RowID string
