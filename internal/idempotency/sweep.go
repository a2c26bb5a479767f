package idempotency

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/oklog/ulid/v2"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/backend"
	core "ringstream.example/ringstream/internal/core/idempotency"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/rendezvous"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/store"
)

// The sweep divides the keys into shards by the first two hex digits of their
// name. Rendezvous hashing assigns each shard to one live node. Two owners during
// a membership change only read a page twice, because each delete compares the
// record's version.
const (
	sweepShards   = 256
	sweepPageSize = 500
)

// sweepCursor is the position of the search for expired keys.
type sweepCursor struct {
	shard int
	after string
}

// Run deletes expired keys with their results, one page per SweepInterval, until
// ctx is done. An unavailable store only delays the sweep.
func (s *Store) Run(ctx context.Context) error {
	cursor := sweepCursor{shard: rand.IntN(sweepShards)} //nolint:gosec // spreads the start, not a secret
	ticker := time.NewTicker(s.config.SweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.sweep(ctx, &cursor)
		}
	}
}

// sweep searches the next page of the shards that this node owns.
func (s *Store) sweep(ctx context.Context, cursor *sweepCursor) {
	for range sweepShards {
		if cursor.after != "" || s.ownsShard(cursor.shard) {
			break
		}
		cursor.shard = (cursor.shard + 1) % sweepShards
	}
	prefix := fmt.Sprintf("%s%02x", recordPrefix, cursor.shard)
	records, err := s.client.Table.List(ctx, prefix, cursor.after, sweepPageSize)
	if err != nil {
		return
	}
	if len(records) < sweepPageSize {
		cursor.shard, cursor.after = (cursor.shard+1)%sweepShards, ""
	} else {
		cursor.after = records[len(records)-1].Key
	}
	s.deleteExpired(ctx, expiredRecords(records, time.Now()))
}

func (s *Store) ownsShard(shard int) bool {
	view := s.members.View()
	live := view.Live()
	nodes := make([]identity.NodeID, len(live))
	for i, member := range live {
		nodes[i] = member.ID
	}
	owner, found := rendezvous.Owner(fmt.Sprintf("idempotency-sweep/%02x", shard), nodes)
	return !found || owner == s.members.Self()
}

// expiredRecord is a record whose retention has expired.
type expiredRecord struct {
	stored backend.Record
	record core.Record
}

func expiredRecords(records []backend.Record, now time.Time) []expiredRecord {
	var old []expiredRecord
	for _, stored := range records {
		var record core.Record
		if json.Unmarshal(stored.Value, &record) == nil && !record.Kept(now) {
			old = append(old, expiredRecord{stored, record})
		}
	}
	return old
}

// deleteExpired deletes expired records and their objects. It deletes the objects
// first, so that no object remains without a record that refers to it. If one of
// the records was claimed again meanwhile, the whole transaction fails, and a
// later sweep deletes the rest.
func (s *Store) deleteExpired(ctx context.Context, old []expiredRecord) {
	if len(old) == 0 {
		return
	}
	transaction := backend.Transaction{ID: ulid.Make().String()}
	for _, each := range old {
		if !s.deleteObjects(ctx, each.stored.Key, each.record) {
			return
		}
		transaction.Compares = append(transaction.Compares, backend.Compare{Key: each.stored.Key, Version: each.stored.Version})
		transaction.Writes = append(transaction.Writes, backend.Write{Key: each.stored.Key, Delete: true})
	}
	if s.client.Commit(ctx, transaction).Status == store.Applied {
		events.ExpiredKeysDeleted.Log(s.logger, zap.Int("keys", len(old)))
	}
}

// deleteObjects deletes the results of a record's claims up to its epoch and keeps
// those of later claims. It returns false if the store fails.
func (s *Store) deleteObjects(ctx context.Context, name string, record core.Record) bool {
	if record.ResultObject == "" && record.Phase == core.Done && record.Epoch == 1 {
		return true // the only claim stored its result in the record
	}
	objects, err := s.objects.List(ctx, name+"/", "", sweepPageSize)
	if err != nil {
		return false
	}
	for _, object := range objects {
		if objectEpoch(object) > record.Epoch {
			continue
		}
		if err := s.objects.Delete(ctx, object); err != nil && !notFound(err) {
			return false
		}
	}
	return true
}
