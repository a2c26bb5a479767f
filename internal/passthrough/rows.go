package passthrough

import (
	"context"
	"errors"
	"time"
)

// Row is one record of the platform's store.
type Row struct {
	Table, Part, Key string
	Value            []byte
	Version          int64 // the version of the transaction that last wrote the row; 0 if absent
	Gone             bool  // in a feed: the row was removed
}

// Expectation holds if the row has exactly this version (0: absent).
type Expectation struct {
	Table, Part, Key string
	Version          int64
}

// Transaction applies all its puts and removals if all expectations hold, and nothing otherwise.
type Transaction struct {
	Expected []Expectation
	Put      []Row
	Remove   []Row
	Across   bool // the entries are in more than one part
}

// Size describes how large a transaction is, for logs.
type Size struct {
	Entries      int
	ValueBytes   int // of all values
	LongestKey   int // bytes; the longest name of a table, part or key
	LongestValue int // bytes
}

// Size returns the size of a transaction.
func (t Transaction) Size() Size {
	size := Size{Entries: len(t.Expected) + len(t.Put) + len(t.Remove)}
	measureNames := func(names ...string) {
		for _, name := range names {
			size.LongestKey = max(size.LongestKey, len(name))
		}
	}
	for _, expected := range t.Expected {
		measureNames(expected.Table, expected.Part, expected.Key)
	}
	for _, row := range append(append([]Row(nil), t.Put...), t.Remove...) {
		measureNames(row.Table, row.Part, row.Key)
		size.ValueBytes += len(row.Value)
		size.LongestValue = max(size.LongestValue, len(row.Value))
	}
	return size
}

// CommitResult is the store's answer to a transaction.
type CommitResult struct {
	Applied bool
	// Current holds the present rows of the expectations if the transaction was not applied.
	Current []Row
	Version int64 // the store's newest version
}

// Snapshot is a listing of rows as of one moment.
type Snapshot struct {
	Rows    []Row
	Version int64 // the newest version of the store at that moment
	More    bool
	StoreAt time.Duration // on the store's monotonic clock
}

// Errors of the store, found with errors.Is.
var (
	// ErrNothingDone means that the call certainly had no effect.
	ErrNothingDone = errors.New("store: nothing was done")
	// ErrOutcomeUnknown means that the call may have had its effect, or may still have it.
	ErrOutcomeUnknown = errors.New("store: outcome unknown")
	// ErrHistoryGone means that the feed cannot continue from the given version.
	ErrHistoryGone = errors.New("store: history is gone")
	// ErrNotFound means that there is no such object.
	ErrNotFound = errors.New("store: not found")
	// ErrMalformed means that the store refuses the call because of its content. A retry fails as
	// well.
	ErrMalformed = errors.New("store: malformed")
	// ErrFull means that the store accepts no more objects.
	ErrFull = errors.New("store: full")
)

// Rows is the transactional part of the platform's store. A failed call wraps
// ErrNothingDone or ErrOutcomeUnknown.
type Rows interface {
	Commit(ctx context.Context, transaction Transaction) (CommitResult, error)
	// List returns the rows of a part with keys in [from, to). An empty bound is open. With limit
	// 0 the store chooses the limit.
	List(ctx context.Context, table, part, from, to string, limit int) (Snapshot, error)
	// Parts returns the names of a table's parts after the given one.
	Parts(ctx context.Context, table, after string) (parts []string, more bool, err error)
	// Feed returns what has changed in a table after a version. It returns as soon as there is a
	// change, or without rows after wait.
	Feed(ctx context.Context, table string, since int64, wait time.Duration) (Snapshot, error)
}

// Objects stores larger values. Each name is written only once, and each value is written and read
// as a whole.
type Objects interface {
	PutObject(ctx context.Context, name string, body []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
	DeleteObject(ctx context.Context, name string) error
	ListObjects(ctx context.Context, prefix, after string) (names []string, more bool, err error)
}
