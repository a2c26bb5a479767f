// Package store commits transactions to the platform's table service so that
// every write can be retried. Failed calls are retried a bounded number of times,
// and the transaction's ID shows whether a write with a lost response took effect.
package store

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"ringstream.example/ringstream/internal/backend"
)

// Status is the known outcome of a transaction.
type Status uint8

// The outcomes of a commit.
const (
	// Applied means that the transaction took effect exactly once.
	Applied Status = iota + 1
	// Conflict means that a compare failed and nothing was written.
	Conflict
	// NotApplied means that the store could not be reached. Nothing was written,
	// and no call is still in flight.
	NotApplied
	// Uncertain means that a response was lost and the retries ended before the
	// outcome was known.
	Uncertain
)

// Result is the outcome of a commit.
type Result struct {
	Status Status
	// Conflicts holds the current records of the failed compares.
	Conflicts []backend.Record
	// Versions holds the new versions of the writes, in order. It is empty if
	// Applied was concluded from a conflict after a lost response.
	Versions []uint64
	// Cause is the last error if Status is NotApplied or Uncertain.
	Cause error
}

// Retry bounds the attempts of one call and the pauses between them.
type Retry struct {
	Attempts int           // number of attempts, including the first
	First    time.Duration // bound of the pause before the second attempt; doubles, with full jitter
	Longest  time.Duration // upper bound of each pause, without the service's RetryAfter
}

// DefaultRetry suits a caller that can wait for about two seconds in all.
var DefaultRetry = Retry{Attempts: 6, First: 50 * time.Millisecond, Longest: time.Second}

// Client commits transactions and reads records. It is safe for concurrent use.
type Client struct {
	Table backend.Table
	Retry Retry
}

// New creates a client with DefaultRetry.
func New(table backend.Table) *Client {
	return &Client{Table: table, Retry: DefaultRetry}
}

// ForPeriodicWork returns a client of the same table for periodic work. It makes at most two
// attempts per call, because the work is repeated anyway and an outage should not
// cause many calls.
func (c *Client) ForPeriodicWork() *Client {
	patient := *c
	patient.Retry.Attempts = min(2, c.Retry.Attempts)
	return &patient
}

// Commit applies a transaction and resolves lost responses. At least one compare
// must be on a key that the transaction also writes. Retries are then safe, because
// a second application fails that compare. If others may overwrite that key soon,
// the transaction must also write a marker key of its own.
func (c *Client) Commit(ctx context.Context, transaction backend.Transaction) Result {
	responseLost := false
	var cause error
	for attempt := 1; attempt <= c.Retry.Attempts; attempt++ {
		result, err := c.Table.Commit(ctx, transaction)
		if err == nil {
			return resolve(transaction, result, responseLost)
		}
		cause = err
		if effectUnknown(err) {
			responseLost = true
		}
		if !Retryable(err) || !c.pause(ctx, attempt, err) {
			break
		}
	}
	if responseLost {
		return Result{Status: Uncertain, Cause: cause}
	}
	return Result{Status: NotApplied, Cause: cause}
}

// resolve converts a response of the table service to a Result. After a lost
// response, a conflict with a record that this transaction wrote means that the
// transaction took effect.
func resolve(transaction backend.Transaction, answer backend.CommitResult, responseLost bool) Result {
	if answer.Applied {
		return Result{Status: Applied, Versions: answer.Versions}
	}
	if responseLost {
		for _, record := range answer.Conflicts {
			if record.TransactionID == transaction.ID {
				return Result{Status: Applied}
			}
		}
	}
	return Result{Status: Conflict, Conflicts: answer.Conflicts}
}

// Get reads a record with retries.
func (c *Client) Get(ctx context.Context, key string) (backend.Record, error) {
	return retry(ctx, c, func() (backend.Record, error) { return c.Table.Get(ctx, key) })
}

// List reads all records with a prefix after the given key, page by page, with retries.
func (c *Client) List(ctx context.Context, prefix, after string) ([]backend.Record, error) {
	const pageSize = 500
	var all []backend.Record
	for {
		records, err := retry(ctx, c, func() ([]backend.Record, error) { return c.Table.List(ctx, prefix, after, pageSize) })
		if err != nil {
			return nil, err
		}
		all = append(all, records...)
		if len(records) < pageSize {
			return all, nil
		}
		after = records[len(records)-1].Key
	}
}

// Page reads up to limit records with a prefix after the given key, with retries.
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

// pause waits before the next attempt. It returns false if ctx ends first.
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

// Retryable reports whether a retry can succeed.
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
