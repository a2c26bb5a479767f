package backend

import (
	"context"
	"io"
)

// Record is one record of the table service.
type Record struct {
	Key string
	// Version rises by at least one with each write of the record and is never
	// reused, also not after a delete. Zero: absent.
	Version uint64
	// TransactionID is the id of the transaction that last wrote the record.
	TransactionID string
	Value         []byte
}

// Compare holds when the record has exactly this version (zero: absent).
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

// Transaction applies all its writes when all its compares hold, else nothing.
type Transaction struct {
	// ID is stored with each record written, so that a writer whose answer was
	// lost can read the record and learn whether the transaction took effect.
	// The service does not deduplicate by it.
	ID       string
	Compares []Compare
	Writes   []Write
}

// CommitResult is the table service's answer to a transaction.
type CommitResult struct {
	Applied bool
	// Conflicts holds the current records whose compares failed.
	Conflicts []Record
	// Versions gives the new version of each write, in order, when Applied.
	Versions []uint64
}

// Table is the transactional table service: rate-limited, sometimes slow or
// down, and its answers can be lost after the effect (EffectUnknown).
type Table interface {
	// Get gives a record; Version 0 when absent, without an error.
	Get(ctx context.Context, key string) (Record, error)
	// List gives up to limit records with the prefix, by key, after the key given.
	List(ctx context.Context, prefix, after string, limit int) ([]Record, error)
	// Commit applies a transaction.
	Commit(ctx context.Context, transaction Transaction) (CommitResult, error)
}

// Objects is the object store. Names are written once: a second Put of a name
// replaces it, and writers choose names so that this is harmless.
type Objects interface {
	Put(ctx context.Context, name string, body []byte) error
	// Get gives the whole object; CodeNotFound when absent.
	Get(ctx context.Context, name string) ([]byte, error)
	// List gives up to limit names with the prefix, in order, after the name given.
	List(ctx context.Context, prefix, after string, limit int) ([]string, error)
	Delete(ctx context.Context, name string) error
}

// Artifact is a model version or an adapter in the weight store.
type Artifact struct {
	Model, Version, Adapter string
	Bytes                   int64
}

// Weights is the weight store, from which engines load; its rate is limited.
type Weights interface {
	// Artifacts lists what can be loaded.
	Artifacts(ctx context.Context) ([]Artifact, error)
	// Budget gives the bytes per second that all loads together may take.
	Budget(ctx context.Context) (int64, error)
}

// MachineSnapshot is one reading of the machine list.
type MachineSnapshot struct {
	// Version rises with each change of the list.
	Version  uint64
	Machines []Machine
}

// MachineList is the platform's list of live and leaving machines. It lags.
type MachineList interface {
	// Machines gives the whole list, or no machines and the same version when
	// nothing changed since the version given.
	Machines(ctx context.Context, since uint64) (MachineSnapshot, error)
}

// SiteRequest is a caller's request handed to the other site.
type SiteRequest struct {
	Path           string // "/v1/completions" or "/v1/chat/completions"
	Body           []byte
	Authorization  string
	RequestID      string
	IdempotencyKey string
}

// SiteResponse is the other site's answer, passed through unchanged.
type SiteResponse struct {
	Status      int
	ContentType string
	RetryAfter  string
	Body        io.ReadCloser
}

// Site is the other site. Requests sent to it carry a hop mark, and neither
// site forwards a request that has one.
type Site interface {
	// Forward sends a request. An *Error with EffectNone proves it did not run.
	Forward(ctx context.Context, request SiteRequest) (SiteResponse, error)
}
