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

// The sweep divides the keys into shards by the first two digits of their
// name. Each shard belongs to one live node by rendezvous; two owners during a
// change of membership cost a page read twice, and their deletes are compared.
const (
	sweepShards = 256
	sweepPage   = 500
)

// sweeper is the place in a search for expired keys.
type sweeper struct {
	shard int
	after string
}

// Run deletes expired keys with their results, one page each interval, until
// ctx is done. A store that is down costs nothing but a later sweep.
func (s *Store) Run(ctx context.Context) error {
	place := sweeper{shard: rand.IntN(sweepShards)} //nolint:gosec // spreads the start, not a secret
	ticker := time.NewTicker(s.config.SweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.sweep(ctx, &place)
		}
	}
}

// sweep searches the next page of this node's shards.
func (s *Store) sweep(ctx context.Context, place *sweeper) {
	for range sweepShards {
		if place.after != "" || s.owns(place.shard) {
			break
		}
		place.shard = (place.shard + 1) % sweepShards
	}
	prefix := fmt.Sprintf("%s%02x", recordPrefix, place.shard)
	records, err := s.client.Table.List(ctx, prefix, place.after, sweepPage)
	if err != nil {
		return
	}
	if len(records) < sweepPage {
		place.shard, place.after = (place.shard+1)%sweepShards, ""
	} else {
		place.after = records[len(records)-1].Key
	}
	s.collect(ctx, expired(records, time.Now()))
}

func (s *Store) owns(shard int) bool {
	view := s.members.View()
	live := view.Live()
	nodes := make([]identity.NodeID, len(live))
	for i, member := range live {
		nodes[i] = member.ID
	}
	owner, found := rendezvous.Owner(fmt.Sprintf("idempotency-sweep/%02x", shard), nodes)
	return !found || owner == s.members.Self()
}

// expiredRecord is a record whose retention has ended.
type expiredRecord struct {
	stored backend.Record
	record core.Record
}

func expired(records []backend.Record, now time.Time) []expiredRecord {
	var old []expiredRecord
	for _, stored := range records {
		var record core.Record
		if json.Unmarshal(stored.Value, &record) == nil && !record.Kept(now) {
			old = append(old, expiredRecord{stored, record})
		}
	}
	return old
}

// collect deletes expired records, their objects first, so that no object is
// left without a record that leads to it. A record that was claimed again
// meanwhile makes the whole delete fail; the next sweep finds the rest.
func (s *Store) collect(ctx context.Context, old []expiredRecord) {
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
		events.KeysCollected.Log(s.logger, zap.Int("keys", len(old)))
	}
}

// deleteObjects deletes the results of a record's claims up to its epoch; a
// later claim's are left alone. It gives false when the store does not answer.
func (s *Store) deleteObjects(ctx context.Context, name string, record core.Record) bool {
	if record.ResultObject == "" && record.Phase == core.Done && record.Epoch == 1 {
		return true // the only claim there was kept its result in the record
	}
	objects, err := s.objects.List(ctx, name+"/", "", sweepPage)
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
