package rows

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/apierror"
	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/outcome"
	"ringstream.example/ringstream/internal/core/policy"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/store"
	"ringstream.example/ringstream/internal/wait"
)

const (
	// maxCommitAttempts is the maximum number of attempts to commit one edit. An
	// attempt fails if another edit was committed first; if that changed another
	// row, the edit is still valid.
	maxCommitAttempts = 20
	// commitRetryPause is the mean pause between two attempts.
	commitRetryPause = 20 * time.Millisecond
	// maxEditIDBytes bounds the length of an edit's ID.
	maxEditIDBytes = 256
	// editRetryAfter is how long an operator should wait before retrying an edit.
	editRetryAfter = 2 * time.Second
)

// Edit implements Editor. A node commits its edits one at a time. Concurrent
// edits of different nodes are serialized by the compare of the head record's
// version.
func (s *Service) Edit(ctx context.Context, edit Edit) (EditResult, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.EditTimeout)
	defer cancel()
	result, err := s.edit(ctx, edit)
	s.metrics.edits.WithLabelValues(result.Status.String()).Inc()
	events.RowEdit.Log(s.logger, zap.String("edit", edit.ID), zap.String("by", edit.By), zap.String("row", string(edit.Row.ID)),
		zap.Stringer("status", result.Status), zap.Uint64("revision", result.Revision))
	return result, err
}

func (s *Service) edit(ctx context.Context, edit Edit) (EditResult, error) {
	if edit.ID == "" || len(edit.ID) > maxEditIDBytes || strings.ContainsAny(edit.ID, "/\x00") {
		return EditResult{Status: Invalid}, apierror.Invalid("edit id: want 1 to %d bytes without /", maxEditIDBytes)
	}
	select {
	case s.editSlot <- struct{}{}:
		defer func() { <-s.editSlot }()
	case <-ctx.Done():
		return refusedResult(ctx.Err())
	}
	if err := s.refreshHead(ctx, false); err != nil {
		return refusedResult(err)
	}
	for range maxCommitAttempts {
		result, retry, err := s.tryEdit(ctx, edit)
		if !retry {
			return result, err
		}
		if !wait.For(ctx, jitter(commitRetryPause)) {
			break
		}
	}
	return refusedResult(fmt.Errorf("other edits were committed first %d times", maxCommitAttempts))
}

// tryEdit makes one attempt to commit an edit. retry is true if another edit was
// committed first or the table does not match the cached head; the next attempt
// reads the head from the store if it is not cached.
func (s *Service) tryEdit(ctx context.Context, edit Edit) (result EditResult, retry bool, err error) {
	current, err := s.syncToHead(ctx)
	if err != nil {
		result, err = refusedResult(err)
		return result, false, err
	}
	table := s.Table()
	if table.Revision() != current.revision {
		s.dropCachedHead()
		return EditResult{}, true, nil
	}
	check := table.CheckEdit(edit.Row, edit.Delete)
	if check.Stale || check.Invalid != nil {
		return s.rejectEdit(ctx, edit, current, check)
	}
	entry := auditEntry(edit, check.Current, current.revision+1)
	outcome := s.store.Commit(ctx, editTransaction(edit, entry, current))
	switch outcome.Status {
	case store.Applied:
		return s.applyAccepted(entry, outcome), false, nil
	case store.Conflict:
		return s.resolveConflict(edit, outcome)
	case store.NotApplied:
		result, err = refusedResult(outcome.Cause)
	default:
		s.dropCachedHead()
		result, err = uncertainResult(outcome.Cause)
	}
	return result, false, err
}

func auditEntry(edit Edit, before policy.Row, revision uint64) AuditEntry {
	entry := AuditEntry{Revision: revision, EditID: edit.ID, By: edit.By, At: time.Now().UTC()}
	if before.Revision != 0 {
		entry.Before = &before
	}
	if !edit.Delete {
		after := edit.Row
		after.Revision = revision
		entry.After = &after
	}
	return entry
}

// editTransaction writes the head, the row, the audit record and the edit's
// marker. Comparing the head's version is enough, since no row changes without
// the head.
func editTransaction(edit Edit, entry AuditEntry, current head) backend.Transaction {
	marker := markerRecord{Revision: entry.Revision, Digest: editDigest(edit)}
	row := backend.Write{Key: rowKey(edit.Row.ID), Delete: true}
	if entry.After != nil {
		marker.Row = *entry.After
		row = backend.Write{Key: rowKey(edit.Row.ID), Value: encode(entry.After)}
	}
	return backend.Transaction{
		ID: fmt.Sprintf("%s@%d", edit.ID, entry.Revision),
		Compares: []backend.Compare{
			{Key: headKey, Version: current.version},
			{Key: markerKey(edit.ID), Version: 0},
		},
		Writes: []backend.Write{
			{Key: headKey, Value: encode(headRecord{Revision: entry.Revision})},
			row,
			{Key: logKey(entry.Revision), Value: encode(entry)},
			{Key: markerKey(edit.ID), Value: encode(marker)},
		},
	}
}

// applyAccepted applies a committed edit to this node's table and floods it.
func (s *Service) applyAccepted(entry AuditEntry, committed store.Result) EditResult {
	if len(committed.Versions) > 0 {
		s.cacheHead(head{known: true, revision: entry.Revision, version: committed.Versions[0]})
	} else {
		s.dropCachedHead()
	}
	change := entry.change()
	s.apply(sourceOwn, change)
	s.bus.Broadcast(changeMessage{Change: change, CommittedAt: entry.At})
	result := EditResult{Status: Accepted, Revision: entry.Revision}
	if entry.After != nil {
		result.Row = *entry.After
	}
	return result
}

// resolveConflict evaluates the records that failed a commit's compares. If the
// edit's own marker is among them, the edit was accepted before and is answered
// from the marker. Otherwise another edit was committed first, and the result is
// true for a further attempt.
func (s *Service) resolveConflict(edit Edit, committed store.Result) (EditResult, bool, error) {
	s.dropCachedHead()
	for _, record := range committed.Conflicts {
		if record.Key == markerKey(edit.ID) && record.Version != 0 {
			result, err := s.resultFromMarker(edit, record)
			return result, false, err
		}
	}
	for _, record := range committed.Conflicts {
		if current, err := decodeHead(record); record.Key == headKey && err == nil {
			s.cacheHead(current)
		}
	}
	return EditResult{}, true, nil
}

// rejectEdit answers an edit that the table at the current head does not allow.
// If the edit's marker exists, the edit is a retry and is answered from the
// marker. If the head has changed in the meantime, retry is true and the edit is
// attempted on the new head.
func (s *Service) rejectEdit(ctx context.Context, edit Edit, current head, check policy.EditCheck) (EditResult, bool, error) {
	record, err := s.store.Get(ctx, markerKey(edit.ID))
	if err == nil && record.Version != 0 {
		result, err := s.resultFromMarker(edit, record)
		return result, false, err
	}
	if err == nil {
		err = s.refreshHead(ctx, true)
	}
	if err != nil {
		result, err := uncertainResult(err)
		return result, false, err
	}
	if s.cachedHead().version != current.version {
		return EditResult{}, true, nil
	}
	if check.Stale {
		return EditResult{Status: Conflict, Row: check.Current}, false, nil
	}
	return EditResult{Status: Invalid, Row: check.Current}, false, apierror.Invalid("row %s: %s", edit.Row.ID, check.Invalid)
}

// resultFromMarker returns an edit's result from its marker. A marker of another
// edit with the same ID is an error.
func (s *Service) resultFromMarker(edit Edit, record backend.Record) (EditResult, error) {
	var marker markerRecord
	if err := json.Unmarshal(record.Value, &marker); err != nil {
		return refusedResult(fmt.Errorf("record %s: %w", record.Key, err))
	}
	if marker.Digest != editDigest(edit) {
		return EditResult{Status: Invalid}, apierror.New(http.StatusUnprocessableEntity, apierror.CodeKeyReuse,
			"edit id %q was used for another edit, at revision %d", edit.ID, marker.Revision)
	}
	s.requestRepair(repairRequest{revision: marker.Revision})
	return EditResult{Status: Accepted, Row: marker.Row, Revision: marker.Revision}, nil
}

// refreshHead reads the head from the store if none is cached, the cached one is
// older than the table, or force is set. A head older than the table is an error.
func (s *Service) refreshHead(ctx context.Context, force bool) error {
	if known := s.cachedHead(); known.known && known.revision >= s.Table().Revision() && !force {
		return nil
	}
	record, err := s.store.Get(ctx, headKey)
	if err != nil {
		return err
	}
	current, err := decodeHead(record)
	if err != nil {
		return err
	}
	if current.revision < s.Table().Revision() {
		events.RowsStoreBehind.Log(s.logger, zap.Uint64("store", current.revision), zap.Uint64("node", s.Table().Revision()))
		return fmt.Errorf("the store's table is at revision %d, this node's at %d", current.revision, s.Table().Revision())
	}
	s.cacheHead(current)
	return nil
}

// syncToHead brings the table up to the head that the commit will compare, and
// returns that head.
func (s *Service) syncToHead(ctx context.Context) (head, error) {
	if !s.cachedHead().known {
		if err := s.refreshHead(ctx, true); err != nil {
			return head{}, err
		}
	}
	current := s.cachedHead()
	for s.Table().Revision() < current.revision {
		before := s.Table().Revision()
		if err := s.fetchFromStore(ctx); err != nil {
			return head{}, err
		}
		if s.Table().Revision() == before {
			return head{}, fmt.Errorf("the store's log ends at revision %d, its head is at %d", before, current.revision)
		}
	}
	return current, nil
}

func (s *Service) cachedHead() head {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.head
}

func (s *Service) dropCachedHead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.head = head{}
}

func refusedResult(cause error) (EditResult, error) {
	err := &apierror.Error{
		Status: http.StatusServiceUnavailable, Code: apierror.CodeStoreDown, RetryAfter: editRetryAfter, Run: outcome.Refused,
		Message: fmt.Sprintf("this call changed nothing: %v", cause),
	}
	return EditResult{Status: Refused}, err
}

func uncertainResult(cause error) (EditResult, error) {
	err := &apierror.Error{
		Status: http.StatusServiceUnavailable, Code: apierror.CodeStoreDown, RetryAfter: editRetryAfter, Run: outcome.Unknown,
		Message: fmt.Sprintf("the edit may have been made, send it again with the same id: %v", cause),
	}
	return EditResult{Status: Uncertain}, err
}
