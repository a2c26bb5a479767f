// Package store commits transactions to the platform's table service so that
// every write can be asked again: failed calls are retried within a budget,
// and a lost answer is settled by the transaction's id.
package store

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"ringstream.example/ringstream/internal/backend"
)

// Status is what is known of a transaction.
type Status uint8

// The ends of a commit.
const (
	// Applied: it took effect, exactly once.
	Applied Status = iota + 1
	// Conflict: a compare failed; nothing was written.
	Conflict
	// NotApplied: the store could not be reached; nothing was written and
	// nothing of it is on its way.
	NotApplied
	// Uncertain: an answer was lost and the deadline came before it was settled.
	Uncertain
)

// Result is the end of a commit.
type Result struct {
	Status Status
	// Conflicts holds the current records whose compares failed.
	Conflicts []backend.Record
	// Versions of the writes, in order; empty when Applied was settled by reading.
	Versions []uint64
	// Cause is the last error, when NotApplied or Uncertain.
	Cause error
}

// Retry bounds the repeats of one call.
type Retry struct {
	Attempts int           // calls in all
	First    time.Duration // the pause before the second call; doubles, with full jitter
	Longest  time.Duration // the longest pause
}

// DefaultRetry suits a caller that waits: about two seconds in all.
var DefaultRetry = Retry{Attempts: 6, First: 50 * time.Millisecond, Longest: time.Second}

// Client commits and reads. It is safe for concurrent use.
type Client struct {
	Table backend.Table
	Retry Retry
}

// New makes a client with the default retry.
func New(table backend.Table) *Client {
	return &Client{Table: table, Retry: DefaultRetry}
}

// Patient gives a client of the same table for work that comes round again by
// itself: it asks at most twice, so that an outage is not met by many calls.
func (c *Client) Patient() *Client {
	patient := *c
	patient.Retry.Attempts = min(2, c.Retry.Attempts)
	return &patient
}

// Commit applies a transaction and settles lost answers. At least one compare
// must be on a key that the transaction also writes: repeats are then safe,
// since the second application fails that compare. When others may overwrite
// that key soon, the transaction also writes a marker key of its own.
func (c *Client) Commit(ctx context.Context, transaction backend.Transaction) Result {
	lost := false
	var cause error
	for attempt := 1; attempt <= c.Retry.Attempts; attempt++ {
		result, err := c.Table.Commit(ctx, transaction)
		if err == nil {
			return settle(transaction, result, lost)
		}
		cause = err
		if effectUnknown(err) {
			lost = true
		}
		if !Retryable(err) || !c.pause(ctx, attempt, err) {
			break
		}
	}
	if lost {
		return Result{Status: Uncertain, Cause: cause}
	}
	return Result{Status: NotApplied, Cause: cause}
}

// settle reads a definite answer; after a lost one, a conflict with a record
// that this transaction wrote itself means that it had taken effect.
func settle(transaction backend.Transaction, answer backend.CommitResult, lost bool) Result {
	if answer.Applied {
		return Result{Status: Applied, Versions: answer.Versions}
	}
	if lost {
		for _, record := range answer.Conflicts {
			if record.TransactionID == transaction.ID {
				return Result{Status: Applied}
			}
		}
	}
	return Result{Status: Conflict, Conflicts: answer.Conflicts}
}

// Get reads a record, with retries.
func (c *Client) Get(ctx context.Context, key string) (backend.Record, error) {
	return retry(ctx, c, func() (backend.Record, error) { return c.Table.Get(ctx, key) })
}

// List reads all records with a prefix, page by page, with retries.
func (c *Client) List(ctx context.Context, prefix, after string) ([]backend.Record, error) {
	const page = 500
	var all []backend.Record
	for {
		records, err := retry(ctx, c, func() ([]backend.Record, error) { return c.Table.List(ctx, prefix, after, page) })
		if err != nil {
			return nil, err
		}
		all = append(all, records...)
		if len(records) < page {
			return all, nil
		}
		after = records[len(records)-1].Key
	}
}

// Page reads up to limit records with a prefix after the key given, with retries.
func (c *Client) Page(ctx context.Context, prefix, after string, limit int) ([]backend.Record, error) {
	return retry(ctx, c, func() ([]backend.Record, error) { return c.Table.List(ctx, prefix, after, limit) })
}

func retry[T any](ctx context.Context, c *Client, call func() (T, error)) (T, error) {
	for attempt := 1; ; attempt++ {
		value, err := call()
		if err == nil || attempt >= c.Retry.Attempts || !Retryable(err) || !c.pause(ctx, attempt, err) {
			return value, err
		}
	}
}

// pause waits before the next call; false when the context ends first.
func (c *Client) pause(ctx context.Context, attempt int, err error) bool {
	longest := min(c.Retry.First<<(attempt-1), c.Retry.Longest)
	wait := rand.N(longest + 1) //nolint:gosec // jitter, not a secret
	var failure *backend.Error
	if errors.As(err, &failure) {
		wait += failure.RetryAfter
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Retryable says whether asking again can help.
func Retryable(err error) bool {
	var failure *backend.Error
	if !errors.As(err, &failure) {
		return false
	}
	return failure.Code == backend.CodeUnavailable || failure.Code == backend.CodeRateLimited
}

func effectUnknown(err error) bool {
	var failure *backend.Error
	return !errors.As(err, &failure) || failure.Effect == backend.EffectUnknown
}
