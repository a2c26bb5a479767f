// Package retention removes ended jobs past their retention and orphaned objects,
// which were uploaded for a job that was never accepted. The holder of a shard
// removes its expired jobs, and the holder of shard 0 removes orphans. Open jobs
// are never changed.
package retention

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oklog/ulid/v2"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/jobs/blob"
	"ringstream.example/ringstream/internal/jobs/record"
	"ringstream.example/ringstream/internal/store"
)

// Collector removes expired jobs and orphaned objects. Two collectors that run
// concurrently during a hand-over may do the same work twice, which is harmless.
type Collector struct {
	Store      *store.Client
	Blobs      blob.Store
	HeldShards func() []int // the shards that this node holds
	Logger     *zap.Logger
	// Interval is the average time between rounds.
	Interval time.Duration
	// OrphanGrace is the age from which objects without a job are removed. It must
	// exceed the longest time from an upload to the acceptance of its job.
	OrphanGrace time.Duration
}

// Run runs rounds of Collect until the context ends.
func (c *Collector) Run(ctx context.Context) error {
	for {
		pause := time.NewTimer(c.Interval/2 + rand.N(c.Interval)) //nolint:gosec // jitter
		select {
		case <-ctx.Done():
			pause.Stop()
			return nil
		case <-pause.C:
			c.Collect(ctx, time.Now())
		}
	}
}

// Collect runs one round.
func (c *Collector) Collect(ctx context.Context, now time.Time) {
	for _, number := range c.HeldShards() {
		c.collectExpired(ctx, number, now)
		if number == 0 {
			c.collectOrphans(ctx, now)
		}
	}
}

// expiredPageSize bounds the jobs of a shard that are removed in one round.
const expiredPageSize = 50

func (c *Collector) collectExpired(ctx context.Context, number int, now time.Time) {
	entries, err := c.Store.Page(ctx, record.ExpiryPrefix(number), "", expiredPageSize)
	if err != nil {
		return // retried in the next round
	}
	for _, entry := range entries {
		expires, id, err := record.ParseExpiryKey(entry.Key)
		if err != nil || expires.After(now) {
			return
		}
		if err := c.removeJob(ctx, entry, id); err != nil {
			events.CollectFailed.Log(c.Logger, zap.String("job", string(id)), zap.Error(err))
		}
	}
}

// removeJob removes a job's objects first and its records afterwards. The entry in
// the list of ended jobs is removed in the last transaction, so that an
// interrupted removal is repeated in a later round.
func (c *Collector) removeJob(ctx context.Context, entry backend.Record, id identity.JobID) error {
	found, err := c.Store.Get(ctx, record.JobKey(id))
	if err != nil {
		return err
	}
	for _, prefix := range []string{record.InputObjectsPrefix(id), record.ResultObjectsPrefix(id)} {
		if err := c.Blobs.DeletePrefix(ctx, prefix); err != nil {
			return err
		}
	}
	transaction := backend.Transaction{
		ID:       "expire-" + ulid.Make().String(),
		Compares: []backend.Compare{{Key: entry.Key, Version: entry.Version}},
		Writes:   []backend.Write{{Key: entry.Key, Delete: true}, {Key: record.JobKey(id), Delete: true}},
	}
	if found.Version != 0 {
		header, err := record.Decode[record.Job](found.Value)
		if err != nil {
			return err
		}
		transaction.Writes = append(transaction.Writes,
			backend.Write{Key: record.IdempotencyKey(header.Tenant, header.Key), Delete: true},
			backend.Write{Key: record.TenantKey(header.Tenant, id), Delete: true})
		if err := c.removeSegments(ctx, &header); err != nil {
			return err
		}
	}
	return c.Store.Commit(ctx, transaction).Cause
}

// removeSegments deletes a job's segment records in groups. The deletes may be
// repeated, so they need no compare.
func (c *Collector) removeSegments(ctx context.Context, header *record.Job) error {
	const maxDeletesPerCommit = 96 // in one transaction
	keys := make([]backend.Write, len(header.Segments))
	for number := range keys {
		keys[number] = backend.Write{Key: record.SegmentKey(header.ID, number), Delete: true}
	}
	for group := range slices.Chunk(keys, maxDeletesPerCommit) {
		result := c.Store.Commit(ctx, backend.Transaction{ID: "expire-" + ulid.Make().String(), Writes: group})
		if result.Status != store.Applied {
			return result.Cause
		}
	}
	return nil
}

// orphanPageSize is the number of object names in one listing.
const orphanPageSize = 200

// collectOrphans scans the input objects that are older than OrphanGrace, each
// once. Job ids increase with time, and a record stores the position up to which
// all objects have been scanned.
func (c *Collector) collectOrphans(ctx context.Context, now time.Time) {
	cursor, err := c.Store.Get(ctx, record.OrphanCursorKey)
	if err != nil {
		return
	}
	after := string(cursor.Value)
	for ctx.Err() == nil {
		names, err := c.Blobs.Page(ctx, record.InputPrefix, after, orphanPageSize)
		if err != nil {
			break
		}
		next, more := c.scanOrphans(ctx, names, after, now)
		after = next
		if !more {
			break
		}
	}
	if after == string(cursor.Value) {
		return
	}
	c.Store.Commit(ctx, backend.Transaction{
		ID:       "orphans-" + ulid.Make().String(),
		Compares: []backend.Compare{{Key: record.OrphanCursorKey, Version: cursor.Version}},
		Writes:   []backend.Write{{Key: record.OrphanCursorKey, Value: []byte(after)}},
	})
}

// scanOrphans checks the jobs of one page of names. It returns the position to
// continue from, and whether there may be more names to scan in this round.
func (c *Collector) scanOrphans(ctx context.Context, names []string, after string, now time.Time) (next string, more bool) {
	oldest := now.Add(-c.OrphanGrace)
	for _, name := range names {
		if name <= after {
			continue // another object of a job that was checked
		}
		id := record.JobOfObject(name)
		created, err := ulid.ParseStrict(string(id))
		if err == nil && ulid.Time(created.Time()).After(oldest) {
			return after, false
		}
		if err == nil && !c.collectOrphan(ctx, id, now) {
			return after, false
		}
		after = record.InputObjectsPrefix(id) + "~" // sorts after all objects of this job
	}
	return after, len(names) == orphanPageSize
}

// voidRetention is how long the id of a job that was never accepted stays void.
const voidRetention = 24 * time.Hour

// collectOrphan removes the objects of a job without a header. It first writes a
// void header, so that the job cannot be accepted later: the compare of an
// acceptance that is still in flight then fails. It returns false when the job
// must be checked again in a later round.
func (c *Collector) collectOrphan(ctx context.Context, id identity.JobID, now time.Time) bool {
	key := record.JobKey(id)
	found, err := c.Store.Get(ctx, key)
	if err != nil {
		return false
	}
	if found.Version != 0 {
		return true
	}
	void := record.Encode(record.Job{ID: id, State: record.StateVoid})
	result := c.Store.Commit(ctx, backend.Transaction{
		ID:       "void-" + ulid.Make().String(),
		Compares: []backend.Compare{{Key: key}},
		Writes:   []backend.Write{{Key: key, Value: void}, {Key: record.ExpiryKey(0, now.Add(voidRetention), id)}},
	})
	if result.Status != store.Applied {
		return result.Status == store.Conflict
	}
	if err := c.Blobs.DeletePrefix(ctx, record.InputObjectsPrefix(id)); err != nil {
		events.CollectFailed.Log(c.Logger, zap.String("job", string(id)), zap.Error(err))
		return false
	}
	return true
}
