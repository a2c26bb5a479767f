package rows

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/wait"
)

// fakeTable is an in-memory table service with failures on demand.
type fakeTable struct {
	mu       sync.Mutex
	records  map[string]backend.Record
	version  uint64
	delay    time.Duration
	down     bool
	loseNext int // number of next commits whose answers are lost after they took effect
	// downAfterLoss makes the service unavailable after the next lost answer.
	downAfterLoss bool
	commits       int
	reads         int
}

func newFakeTable() *fakeTable {
	return &fakeTable{records: map[string]backend.Record{}, delay: 5 * time.Millisecond}
}

func (f *fakeTable) set(change func(*fakeTable)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakeTable) readCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads
}

// enter waits for the delay, then takes the lock. It returns an error, without the
// lock, if the service is down or the context ends.
func (f *fakeTable) enter(ctx context.Context) error {
	if !wait.For(ctx, f.delay) {
		return &backend.Error{Code: backend.CodeUnavailable, Effect: backend.EffectNone, Cause: ctx.Err()}
	}
	f.mu.Lock()
	if f.down {
		f.mu.Unlock()
		return &backend.Error{Code: backend.CodeUnavailable, Effect: backend.EffectNone}
	}
	return nil
}

func (f *fakeTable) Get(ctx context.Context, key string) (backend.Record, error) {
	if err := f.enter(ctx); err != nil {
		return backend.Record{}, err
	}
	defer f.mu.Unlock()
	f.reads++
	record := f.records[key]
	record.Key = key
	return record, nil
}

func (f *fakeTable) List(ctx context.Context, prefix, after string, limit int) ([]backend.Record, error) {
	if err := f.enter(ctx); err != nil {
		return nil, err
	}
	defer f.mu.Unlock()
	f.reads++
	var found []backend.Record
	for key, record := range f.records {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, record)
		}
	}
	slices.SortFunc(found, func(a, b backend.Record) int { return strings.Compare(a.Key, b.Key) })
	return found[:min(limit, len(found))], nil
}

func (f *fakeTable) Commit(ctx context.Context, transaction backend.Transaction) (backend.CommitResult, error) {
	if err := f.enter(ctx); err != nil {
		return backend.CommitResult{}, err
	}
	defer f.mu.Unlock()
	f.commits++
	var result backend.CommitResult
	for _, compare := range transaction.Compares {
		record := f.records[compare.Key]
		if record.Version != compare.Version {
			record.Key = compare.Key
			result.Conflicts = append(result.Conflicts, record)
		}
	}
	if len(result.Conflicts) > 0 {
		return result, nil
	}
	for _, write := range transaction.Writes {
		f.version++
		if write.Delete {
			delete(f.records, write.Key)
		} else {
			f.records[write.Key] = backend.Record{Key: write.Key, Version: f.version, TransactionID: transaction.ID, Value: write.Value}
		}
		result.Versions = append(result.Versions, f.version)
	}
	result.Applied = true
	if f.loseNext > 0 {
		f.loseNext--
		f.down, f.downAfterLoss = f.downAfterLoss, false
		return backend.CommitResult{}, &backend.Error{Code: backend.CodeUnavailable, Effect: backend.EffectUnknown}
	}
	return result, nil
}

// record returns a record as an edit would have written it.
func record(key string, version uint64, value any) backend.Record {
	return backend.Record{Key: key, Version: version, TransactionID: "preload", Value: encode(value)}
}
