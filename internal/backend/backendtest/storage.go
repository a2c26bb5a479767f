// Package backendtest provides an in-memory table service and object store for tests,
// with outages, lost responses and hanging calls on demand. Each store has one lock and
// starts no goroutine, so it works in testing/synctest bubbles.
package backendtest

import (
	"context"
	"slices"
	"strings"
	"sync"

	"ringstream.example/ringstream/internal/backend"
)

// Faults configures the failures of a store's calls.
type Faults struct {
	Down bool // calls fail without effect
	// LoseResponses is the number of further commits or puts that are executed but
	// whose responses are lost.
	LoseResponses int
	// ResponsesBeforeLoss is the number of commits that still get a response before the first
	// response is lost.
	ResponsesBeforeLoss int
	Hang                bool // calls block without effect until their context is done
}

// Table is an in-memory backend.Table.
type Table struct {
	mu      sync.Mutex
	faults  Faults
	records map[string]backend.Record
	version uint64
	commits int
}

// NewTable creates an empty table.
func NewTable() *Table { return &Table{records: map[string]backend.Record{}} }

// SetFaults replaces the faults.
func (t *Table) SetFaults(faults Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = faults
}

// Commits counts the transactions that took effect.
func (t *Table) Commits() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.commits
}

func failure(system, operation string, effect backend.Effect) error {
	return &backend.Error{Code: backend.CodeUnavailable, Effect: effect, System: system, Operation: operation}
}

// hang blocks until ctx is done if Faults.Hang is set, and returns an error then.
func (t *Table) hang(ctx context.Context) error {
	t.mu.Lock()
	hangs := t.faults.Hang
	t.mu.Unlock()
	if !hangs {
		return nil
	}
	<-ctx.Done()
	return failure("table", "call", backend.EffectUnknown)
}

// Get implements backend.Table.
func (t *Table) Get(ctx context.Context, key string) (backend.Record, error) {
	if err := t.hang(ctx); err != nil {
		return backend.Record{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.Down {
		return backend.Record{}, failure("table", "get", backend.EffectNone)
	}
	record := t.records[key]
	record.Key = key
	return record, nil
}

// List implements backend.Table.
func (t *Table) List(_ context.Context, prefix, after string, limit int) ([]backend.Record, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.Down {
		return nil, failure("table", "list", backend.EffectNone)
	}
	var page []backend.Record
	for _, key := range firstPage(t.records, prefix, after, limit) {
		page = append(page, t.records[key])
	}
	return page, nil
}

// firstPage returns the first limit keys with a prefix after a key, in order.
func firstPage[V any](all map[string]V, prefix, after string, limit int) []string {
	var keys []string
	for key := range all {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys[:min(limit, len(keys))]
}

// Commit implements backend.Table.
func (t *Table) Commit(ctx context.Context, transaction backend.Transaction) (backend.CommitResult, error) {
	if err := t.hang(ctx); err != nil {
		return backend.CommitResult{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.Down {
		return backend.CommitResult{}, failure("table", "commit", backend.EffectNone)
	}
	var result backend.CommitResult
	for _, compare := range transaction.Compares {
		if record := t.records[compare.Key]; record.Version != compare.Version {
			record.Key = compare.Key
			result.Conflicts = append(result.Conflicts, record)
		}
	}
	if result.Applied = len(result.Conflicts) == 0; result.Applied {
		t.commits++
		for _, write := range transaction.Writes {
			result.Versions = append(result.Versions, t.write(transaction.ID, write))
		}
	}
	switch {
	case t.faults.ResponsesBeforeLoss > 0:
		t.faults.ResponsesBeforeLoss--
	case t.faults.LoseResponses > 0:
		t.faults.LoseResponses--
		return backend.CommitResult{}, failure("table", "commit", backend.EffectUnknown)
	}
	return result, nil
}

func (t *Table) write(id string, write backend.Write) uint64 {
	t.version++
	if write.Delete {
		delete(t.records, write.Key)
		return t.version
	}
	t.records[write.Key] = backend.Record{Key: write.Key, Version: t.version, TransactionID: id, Value: slices.Clone(write.Value)}
	return t.version
}

// Objects is an in-memory backend.Objects.
type Objects struct {
	mu     sync.Mutex
	faults Faults
	bodies map[string][]byte
}

// NewObjects creates an empty store.
func NewObjects() *Objects { return &Objects{bodies: map[string][]byte{}} }

// SetFaults replaces the faults.
func (o *Objects) SetFaults(faults Faults) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = faults
}

// Put implements backend.Objects.
func (o *Objects) Put(_ context.Context, name string, body []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.faults.Down {
		return failure("objects", "put", backend.EffectNone)
	}
	o.bodies[name] = slices.Clone(body)
	if o.faults.LoseResponses > 0 {
		o.faults.LoseResponses--
		return failure("objects", "put", backend.EffectUnknown)
	}
	return nil
}

// Get implements backend.Objects.
func (o *Objects) Get(_ context.Context, name string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.faults.Down {
		return nil, failure("objects", "get", backend.EffectNone)
	}
	body, found := o.bodies[name]
	if !found {
		return nil, &backend.Error{Code: backend.CodeNotFound, Effect: backend.EffectNone, System: "objects", Operation: "get"}
	}
	return body, nil
}

// List implements backend.Objects.
func (o *Objects) List(_ context.Context, prefix, after string, limit int) ([]string, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.faults.Down {
		return nil, failure("objects", "list", backend.EffectNone)
	}
	return firstPage(o.bodies, prefix, after, limit), nil
}

// Delete implements backend.Objects.
func (o *Objects) Delete(_ context.Context, name string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.faults.Down {
		return failure("objects", "delete", backend.EffectNone)
	}
	delete(o.bodies, name)
	return nil
}
