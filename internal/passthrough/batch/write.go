package batch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/oklog/ulid/v2"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/passjob"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/wait"
)

// Timeouts of store calls and pauses between attempts.
const (
	storeCallTimeout = 1500 * time.Millisecond
	// objectCallTimeout is longer because objects take the store several times as long as rows, and
	// a slow store sixty times that.
	objectCallTimeout = 4 * time.Second
	minRetryPause     = 20 * time.Millisecond
	maxRetryPause     = 400 * time.Millisecond
	// minAttemptTime is the minimum time for one attempt. Even a store that refuses at once takes a
	// round trip and some scheduling on this node.
	minAttemptTime = 50 * time.Millisecond
	// attemptTimeFactor times the longest answer so far is the time set aside for another attempt
	// of the same write.
	attemptTimeFactor = 1.5
)

func retryPause(attempt int) time.Duration {
	longest := min(minRetryPause<<min(attempt, 8), maxRetryPause)
	return longest/2 + rand.N(longest/2+1)
}

// writeResult is the outcome of writing a record.
type writeResult struct {
	applied bool
	version int64             // of the row, if applied
	current []passthrough.Row // the expected rows as they are in the store, if not applied
}

// writeRecord writes a job's record together with the rows that the transaction holds already, and
// retries until the outcome is known. The record carries the transaction's id: if the answer to an
// applied write is lost, the next compare fails and returns the record with that id. If ctx ends
// first, the error wraps ErrOutcomeUnknown or ErrNothingDone.
func (s *Service) writeRecord(ctx context.Context, transaction passthrough.Transaction, record passjob.Record, expected int64) (writeResult, error) {
	record.Commit = ulid.Make().String()
	shard := s.config.shard(record.ID)
	transaction.Expected = append(transaction.Expected, passthrough.Expectation{Table: tableJobs, Part: shard, Key: record.ID, Version: expected})
	transaction.Put = append(transaction.Put, passthrough.Row{Table: tableJobs, Part: shard, Key: record.ID, Value: record.Encode()})
	known, longest := passthrough.ErrNothingDone, time.Duration(0)
	for attempt := 0; ; attempt++ {
		started := time.Now()
		result, err := s.commit(ctx, transaction)
		longest = max(longest, time.Since(started))
		switch {
		case err == nil && result.Applied:
			s.learnOwnWrite(record, expected)
			return writeResult{applied: true, version: result.Version}, nil
		case err == nil:
			return s.resolveFailedCompare(result, record), nil
		case errors.Is(err, passthrough.ErrOutcomeUnknown):
			known = passthrough.ErrOutcomeUnknown
		}
		if !wait.For(ctx, retryPause(attempt)) || (errors.Is(known, passthrough.ErrNothingDone) && !enoughTimeLeft(ctx, longest)) {
			return writeResult{}, errors.Join(known, err)
		}
	}
}

// enoughTimeLeft reports whether an attempt that starts now will be answered before ctx ends,
// judging by the longest answer so far. An attempt that is not answered makes the outcome unknown,
// although the store has refused the write until then: of 1,000 jobs submitted to a store that
// refuses after 200 ms, 581 were answered with an unknown outcome.
func enoughTimeLeft(ctx context.Context, longest time.Duration) bool {
	deadline, limited := ctx.Deadline()
	needed := max(minAttemptTime, time.Duration(attemptTimeFactor*float64(longest)))
	return !limited || time.Until(deadline) >= needed
}

// learnOwnWrite makes this node's own write visible to its readers at once. The row's version in
// the store is at least one above the replaced one, and the version of any later write is above
// that, so rows from the feed still replace this one.
func (s *Service) learnOwnWrite(record passjob.Record, expected int64) {
	s.view.Learn(passthrough.Row{Table: tableJobs, Part: s.config.shard(record.ID), Key: record.ID, Value: record.Encode(), Version: expected + 1})
}

// resolveFailedCompare determines whether a compare failed because this transaction had been
// applied already, or because another writer won.
func (s *Service) resolveFailedCompare(result passthrough.CommitResult, record passjob.Record) writeResult {
	for _, row := range result.Current {
		if row.Key != record.ID || row.Version == 0 {
			continue
		}
		current, err := decodeRecord(row)
		if err == nil && current.Commit == record.Commit {
			return writeResult{applied: true, version: row.Version}
		}
	}
	return writeResult{current: result.Current}
}

func (s *Service) commit(ctx context.Context, transaction passthrough.Transaction) (passthrough.CommitResult, error) {
	call, cancel := context.WithTimeout(ctx, s.writeLatency.callTimeout())
	defer cancel()
	started := time.Now()
	result, err := s.store.Commit(call, transaction)
	if err == nil {
		s.writeLatency.observe(time.Since(started))
		s.expectInFeed(transaction, result)
	}
	s.metrics.store.WithLabelValues("commit", outcomeOf(err)).Observe(time.Since(started).Seconds())
	if errors.Is(err, passthrough.ErrMalformed) {
		size := transaction.Size()
		events.TransactionRefused.Log(s.Logger, zap.Int("entries", size.Entries), zap.Int("value_bytes", size.ValueBytes),
			zap.Int("longest_key", size.LongestKey), zap.Int("longest_value", size.LongestValue), zap.Error(err))
	}
	return result, err
}

// expectInFeed registers the rows that a transaction has written, or that its failed compare
// returned, with the follower, so that it notices if the feed skips them.
func (s *Service) expectInFeed(transaction passthrough.Transaction, result passthrough.CommitResult) {
	rows := result.Current
	if result.Applied {
		rows = transaction.Put
	}
	for _, row := range rows {
		if result.Applied {
			row.Version = result.Version
		}
		if row.Table == tableJobs && row.Version > 0 {
			s.follower.Expect(row.Part, row.Key, row.Version)
		}
	}
}

func outcomeOf(err error) string {
	switch {
	case err == nil:
		return "done"
	case errors.Is(err, passthrough.ErrOutcomeUnknown):
		return "unknown"
	default:
		return "refused"
	}
}

// currentRecord finds a job's row among those that a failed compare returned.
func currentRecord(rows []passthrough.Row, id string) (passjob.Record, passthrough.Row, bool) {
	for _, row := range rows {
		if row.Table != tableJobs || row.Key != id || row.Version == 0 || row.Gone {
			continue
		}
		if record, err := decodeRecord(row); err == nil {
			return record, row, true
		}
	}
	return passjob.Record{}, passthrough.Row{}, false
}

// unreadableRecord returns why an existing row of a job cannot be decoded. It returns nil if there
// is no row or the row can be decoded. A job with such a row exists, though this node cannot read
// its state.
func unreadableRecord(rows []passthrough.Row, id string) error {
	for _, row := range rows {
		if row.Table != tableJobs || row.Key != id || row.Version == 0 || row.Gone {
			continue
		}
		if _, err := decodeRecord(row); err != nil {
			return err
		}
	}
	return nil
}

// readRecord reads a job's row from the store. It returns found as false without an error only if
// the store has no such row.
func (s *Service) readRecord(ctx context.Context, id string) (record passjob.Record, version int64, found bool, err error) {
	call, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	sent, suspensions := time.Now(), s.suspensionWatch.Count()
	snapshot, err := s.store.List(call, tableJobs, s.config.shard(id), id, id+"\x00", 1)
	if err != nil {
		return passjob.Record{}, 0, false, err
	}
	if s.StoreTime != nil && s.suspensionWatch.Count() == suspensions {
		s.StoreTime.EarliestAnswerTime(sent, snapshot.StoreAt)
	}
	for i := range snapshot.Rows {
		snapshot.Rows[i].Table, snapshot.Rows[i].Part = tableJobs, s.config.shard(id)
	}
	s.learn(snapshot.Rows...)
	if err := unreadableRecord(snapshot.Rows, id); err != nil {
		return passjob.Record{}, 0, false, err
	}
	record, row, found := currentRecord(snapshot.Rows, id)
	return record, row.Version, found, nil
}

// readRecordWithRetry reads a job's row for readers, and retries until ctx ends if the store does
// not answer.
func (s *Service) readRecordWithRetry(ctx context.Context, id string) recordAnswer {
	for attempt := 0; ; attempt++ {
		record, version, found, err := s.readRecord(ctx, id)
		if err == nil {
			return recordAnswer{entry: jobEntry{record: record, version: version}, found: found}
		}
		if !wait.For(ctx, retryPause(attempt)) {
			return recordAnswer{err: err}
		}
	}
}

// learn applies rows that were read from the store outside the feed. The follower is told to expect
// them in the feed too.
func (s *Service) learn(rows ...passthrough.Row) {
	s.view.Learn(rows...)
	for _, row := range rows {
		s.follower.Expect(row.Part, row.Key, row.Version)
	}
}
