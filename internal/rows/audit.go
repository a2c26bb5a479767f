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
	// revisionCalls bounds the calls that Revisions makes at a time.
	revisionCalls = 32
	// maxAudit bounds one page of Audit.
	maxAudit = 500
	// compactInterval is the mean time between two compactions; compactPage
	// the audit records that one deletes at most.
	compactInterval = time.Minute
	compactPage     = 200
)

// Revisions asks every live node what it holds, and gives the answers by node.
func (s *Service) Revisions(ctx context.Context) []NodeRevision {
	members := s.bus.View().Live()
	revisions := make([]NodeRevision, len(members))
	var group errgroup.Group
	group.SetLimit(revisionCalls)
	for i, member := range members {
		group.Go(func() error {
			revisions[i] = NodeRevision{Node: member.ID, Zone: member.Zone}
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
	_ = group.Wait() // its functions give no error
	slices.SortFunc(revisions, func(a, b NodeRevision) int { return strings.Compare(string(a.Node), string(b.Node)) })
	return revisions
}

// Audit gives accepted edits after a revision, oldest first, up to limit. The
// error is a *backend.Error when the store cannot be read.
func (s *Service) Audit(ctx context.Context, after uint64, limit int) ([]AuditEntry, error) {
	if limit <= 0 || limit > maxAudit {
		limit = maxAudit
	}
	return s.readLog(ctx, after, limit)
}

// compactLoop deletes old audit records and edit markers, on one node at a time.
func (s *Service) compactLoop(ctx context.Context) {
	delay := jitter(compactInterval)
	for wait.For(ctx, delay) {
		delay = jitter(compactInterval)
		owner, ok := rendezvous.Owner("rows/compaction", s.everyone())
		if !ok || owner != s.bus.Self() || !s.loaded.Load() {
			continue
		}
		deleted, err := s.compact(ctx, time.Now())
		if err != nil {
			events.RowsCompactionFailed.Log(s.logger, zap.Error(err))
			continue
		}
		if deleted == compactPage {
			delay = jitter(s.config.PollInterval) // there is more
		}
	}
}

// compact deletes one page of what is past its retention: an audit record and
// the marker of its edit go together.
func (s *Service) compact(ctx context.Context, now time.Time) (int, error) {
	records, err := s.store.Table.List(ctx, logPrefix, "", compactPage)
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
	// No compare: deleting twice does nothing, so that a lost answer is harmless.
	_, err = s.store.Table.Commit(ctx, backend.Transaction{ID: fmt.Sprintf("rows-compact-%d", now.UnixNano()), Writes: writes})
	return deleted, err
}
