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

// Pauses between tries of a store call.
const (
	callTime = 1500 * time.Millisecond
	// objectTime is longer: objects take the store several times as long, and a
	// slow store sixty times that.
	objectTime = 4 * time.Second
	retryMin   = 20 * time.Millisecond
	retryMax   = 400 * time.Millisecond
	// answerLeast is the time that a try is given at least: a store that refuses at once still takes
	// a round trip, and this node some turns of its processors.
	answerLeast = 50 * time.Millisecond
	// answerTimes is how many times the longest answer of this write another one may take.
	answerTimes = 1.5
)

func retryPause(attempt int) time.Duration {
	longest := min(retryMin<<min(attempt, 8), retryMax)
	return longest/2 + rand.N(longest/2+1)
}

// written is the outcome of writing a record.
type written struct {
	applied bool
	version int64             // of the row, when applied
	current []passthrough.Row // of the expectations, when not applied
}

// writeRecord writes a job's record, with whatever the transaction holds
// beside it, and asks until the outcome is known: the record carries the
// transaction's id, so a lost answer is settled by the compare that then fails
// and shows the record. When ctx ends first the error says what is known.
func (s *Service) writeRecord(ctx context.Context, transaction passthrough.Transaction, record passjob.Record, expected int64) (written, error) {
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
			s.learnOwn(record, expected)
			return written{applied: true, version: result.Version}, nil
		case err == nil:
			return s.settle(result, record), nil
		case errors.Is(err, passthrough.ErrOutcomeUnknown):
			known = passthrough.ErrOutcomeUnknown
		}
		if !wait.For(ctx, retryPause(attempt)) || (errors.Is(known, passthrough.ErrNothingDone) && !answerableBy(ctx, longest)) {
			return written{}, errors.Join(known, err)
		}
	}
}

// answerableBy says whether a try that begins now is answered before ctx ends, by the longest answer
// so far. One that is not leaves open whether the store has taken what it had refused until
// then: of 1,000 jobs handed in to a store that refuses after 200 ms, 581 were told so.
func answerableBy(ctx context.Context, longest time.Duration) bool {
	deadline, limited := ctx.Deadline()
	needed := max(answerLeast, time.Duration(answerTimes*float64(longest)))
	return !limited || time.Until(deadline) >= needed
}

// learnOwn has this node's readers see its own write at once. The row's true
// version is at least one above the one replaced, and any later write's is
// above that, so the feed's word still comes after it.
func (s *Service) learnOwn(record passjob.Record, expected int64) {
	s.view.Learn(passthrough.Row{Table: tableJobs, Part: s.config.shard(record.ID), Key: record.ID, Value: record.Encode(), Version: expected + 1})
}

// settle tells a compare that failed because this very transaction had landed
// from one that another writer won.
func (s *Service) settle(result passthrough.CommitResult, record passjob.Record) written {
	for _, row := range result.Current {
		if row.Key != record.ID || row.Version == 0 {
			continue
		}
		current, err := decodeRecord(row)
		if err == nil && current.Commit == record.Commit {
			return written{applied: true, version: row.Version}
		}
	}
	return written{current: result.Current}
}

func (s *Service) commit(ctx context.Context, transaction passthrough.Transaction) (passthrough.CommitResult, error) {
	call, cancel := context.WithTimeout(ctx, s.pace.callTime())
	defer cancel()
	started := time.Now()
	result, err := s.store.Commit(call, transaction)
	if err == nil {
		s.pace.observe(time.Since(started))
		s.expect(transaction, result)
	}
	s.metrics.store.WithLabelValues("commit", outcomeOf(err)).Observe(time.Since(started).Seconds())
	if errors.Is(err, passthrough.ErrMalformed) {
		size := transaction.Size()
		events.TransactionRefused.Log(s.Logger, zap.Int("entries", size.Entries), zap.Int("value_bytes", size.ValueBytes),
			zap.Int("longest_key", size.LongestKey), zap.Int("longest_value", size.LongestValue), zap.Error(err))
	}
	return result, err
}

// expect has the feed tell what a transaction has written, or has shown where it did not apply.
func (s *Service) expect(transaction passthrough.Transaction, result passthrough.CommitResult) {
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

// currentRecord finds a job's row among those that a failed compare showed.
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

// unreadableRecord gives why a job's row that is there cannot be read; nil: there is none,
// or it can. Such a job exists, though this node cannot say what of it is done.
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

// readRecord reads a job's row from the store; found is false when there is
// none for sure.
func (s *Service) readRecord(ctx context.Context, id string) (record passjob.Record, version int64, found bool, err error) {
	call, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	sent, suspensions := time.Now(), s.watch.Count()
	snapshot, err := s.store.List(call, tableJobs, s.config.shard(id), id, id+"\x00", 1)
	if err != nil {
		return passjob.Record{}, 0, false, err
	}
	if s.StoreTime != nil && s.watch.Count() == suspensions {
		s.StoreTime.MadeAt(sent, snapshot.StoreAt)
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

// askRecord reads a job's row for readers, once more when the store does not answer.
func (s *Service) askRecord(ctx context.Context, id string) recordAnswer {
	for attempt := 0; ; attempt++ {
		record, version, found, err := s.readRecord(ctx, id)
		if err == nil {
			return recordAnswer{entry: entry{record: record, version: version}, found: found}
		}
		if !wait.For(ctx, retryPause(attempt)) {
			return recordAnswer{err: err}
		}
	}
}

// learn takes rows that calls beside the feed have shown in the store; the feed has to tell them too.
func (s *Service) learn(rows ...passthrough.Row) {
	s.view.Learn(rows...)
	for _, row := range rows {
		s.follower.Expect(row.Part, row.Key, row.Version)
	}
}
