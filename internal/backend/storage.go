package backend

import (
	"context"
	"io"
)

// Record is one record of the table service.
type Record struct {
	Key string
	// Version increases by at least one with each write of the record and is never
	// reused, not even after a delete. Zero means that the record does not exist.
	Version uint64
	// TransactionID is the ID of the transaction that last wrote the record.
	TransactionID string
	Value         []byte
}

// Compare is a condition that holds if the record has exactly this version. Version
// zero means that the record must not exist.
type Compare struct {
	Key     string
	Version uint64
}

// Write puts or deletes one record.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Transaction applies all its writes if all its compares hold, and none otherwise.
type Transaction struct {
	// ID is stored with each written record. After a lost response, the writer can
	// read the record to find out whether the transaction took effect. The service
	// does not deduplicate by ID.
	ID       string
	Compares []Compare
	Writes   []Write
}

// CommitResult is the table service's response to a transaction.
type CommitResult struct {
	Applied bool
	// Conflicts holds the current records of the failed compares.
	Conflicts []Record
	// Versions holds the new version of each write, in order, if Applied.
	Versions []uint64
}

// Table is the transactional table service. It is rate-limited and sometimes slow
// or unavailable, and its responses can be lost after a call took effect
// (EffectUnknown).
type Table interface {
	// Get returns a record. An absent record has Version 0 and is not an error.
	Get(ctx context.Context, key string) (Record, error)
	// List returns up to limit records with the prefix, in key order, after the
	// given key.
	List(ctx context.Context, prefix, after string, limit int) ([]Record, error)
	// Commit applies a transaction.
	Commit(ctx context.Context, transaction Transaction) (CommitResult, error)
}

// Objects is the object store. Names are meant to be written once. A second Put of a
// name replaces the object, and writers choose names so that this is harmless.
type Objects interface {
	Put(ctx context.Context, name string, body []byte) error
	// Get returns the whole object. An absent object is a CodeNotFound error.
	Get(ctx context.Context, name string) ([]byte, error)
	// List returns up to limit names with the prefix, in order, after the given name.
	List(ctx context.Context, prefix, after string, limit int) ([]string, error)
	Delete(ctx context.Context, name string) error
}

// Artifact is a model version or an adapter in the weight store.
type Artifact struct {
	Model, Version, Adapter string
	Bytes                   int64
}

// Weights is the weight store from which engines load models. Its rate is limited.
type Weights interface {
	// Artifacts lists the models and adapters that can be loaded.
	Artifacts(ctx context.Context) ([]Artifact, error)
	// Budget returns the limit for all loads together, in bytes per second.
	Budget(ctx context.Context) (int64, error)
}

// MachineSnapshot is a snapshot of the machine list.
type MachineSnapshot struct {
	// Version increases with each change of the list.
	Version  uint64
	Machines []Machine
}

// MachineList is the platform's list of live and leaving machines. It lags.
type MachineList interface {
	// Machines returns the whole list, or no machines and the same version if
	// nothing has changed since the given version.
	Machines(ctx context.Context, since uint64) (MachineSnapshot, error)
}

// SiteRequest is a caller's request that is forwarded to the other site.
type SiteRequest struct {
	Path           string // "/v1/completions" or "/v1/chat/completions"
	Body           []byte
	Authorization  string
	RequestID      string
	IdempotencyKey string
}

// SiteResponse is the other site's response. It is passed through unchanged.
type SiteResponse struct {
	Status      int
	ContentType string
	RetryAfter  string
	Body        io.ReadCloser
}

// Site is the other site. Requests sent to it carry HopHeader, and neither site
// forwards a request that carries it.
type Site interface {
	// Forward sends a request. An *Error with EffectNone proves that the request did
	// not run.
	Forward(ctx context.Context, request SiteRequest) (SiteResponse, error)
}
