package rows

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/rendezvous"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/wait"
)

const (
	// maxStatusCalls bounds the concurrent calls of Revisions.
	maxStatusCalls = 32
	// maxAuditEntries bounds the entries of one call of Audit.
	maxAuditEntries = 500
	// compactInterval is the mean time between two compactions. compactPageSize
	// is the maximum number of audit records that one compaction deletes.
	compactInterval = time.Minute
	compactPageSize = 200
)

// Revisions requests the table's state from every live node and returns the
// answers sorted by node.
func (s *Service) Revisions(ctx context.Context) []NodeTableStatus {
	members := s.bus.View().Live()
	revisions := make([]NodeTableStatus, len(members))
	var group errgroup.Group
	group.SetLimit(maxStatusCalls)
	for i, member := range members {
		group.Go(func() error {
			revisions[i] = NodeTableStatus{Node: member.ID, Zone: member.Zone}
			status, known := s.status(), true
			if member.ID != s.bus.Self() {
				answer, err := s.call(ctx, member.ID, statusRequest{Asked: true})
				status, known = answer.(statusReply)
				known = known && err == nil
			}
			if known {
				revisions[i].Known = true
				revisions[i].Revision, revisions[i].Rows, revisions[i].Ready = status.Revision, status.Rows, status.Ready
			}
			return nil
		})
	}
	_ = group.Wait() // the functions return no errors
	slices.SortFunc(revisions, func(a, b NodeTableStatus) int { return strings.Compare(string(a.Node), string(b.Node)) })
	return revisions
}

// Audit returns up to limit accepted edits after a revision, oldest first. The
// error is a *backend.Error if the store cannot be read.
func (s *Service) Audit(ctx context.Context, after uint64, limit int) ([]AuditEntry, error) {
	if limit <= 0 || limit > maxAuditEntries {
		limit = maxAuditEntries
	}
	return s.readLog(ctx, after, limit)
}

// compactLoop deletes old audit records and edit markers while this node is the
// one that rendezvous hashing selects for it.
func (s *Service) compactLoop(ctx context.Context) {
	delay := jitter(compactInterval)
	for wait.For(ctx, delay) {
		delay = jitter(compactInterval)
		owner, ok := rendezvous.Owner("rows/compaction", s.liveNodes())
		if !ok || owner != s.bus.Self() || !s.loaded.Load() {
			continue
		}
		deleted, err := s.compact(ctx, time.Now())
		if err != nil {
			events.RowsCompactionFailed.Log(s.logger, zap.Error(err))
			continue
		}
		if deleted == compactPageSize {
			delay = jitter(s.config.PollInterval) // more records may be expired
		}
	}
}

// compact deletes one page of expired audit records, each together with the
// marker of its edit. It returns the number of audit records deleted.
func (s *Service) compact(ctx context.Context, now time.Time) (int, error) {
	records, err := s.store.Table.List(ctx, logPrefix, "", compactPageSize)
	if err != nil {
		return 0, err
	}
	var writes []backend.Write
	deleted := 0
	highest := s.Table().Revision()
	for _, record := range records {
		var entry AuditEntry
		if err := json.Unmarshal(record.Value, &entry); err != nil {
			return 0, fmt.Errorf("record %s: %w", record.Key, err)
		}
		expired := now.Sub(entry.At) > s.config.LogRetention
		if !expired && entry.Revision+uint64(s.config.LogMaximum) > highest {
			break
		}
		writes = append(writes, backend.Write{Key: record.Key, Delete: true}, backend.Write{Key: markerKey(entry.EditID), Delete: true})
		deleted++
	}
	if deleted == 0 {
		return 0, nil
	}
	// The transaction needs no compares: deleting a record twice has no effect,
	// so a lost answer is harmless.
	_, err = s.store.Table.Commit(ctx, backend.Transaction{ID: fmt.Sprintf("rows-compact-%d", now.UnixNano()), Writes: writes})
	return deleted, err
}
