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
	// headRaces is how often one edit is tried again because another edit was
	// committed first; their rows differ, so that neither has lost.
	headRaces = 20
	// headRacePause is the mean pause between two tries.
	headRacePause = 20 * time.Millisecond
	// maxEditID bounds the id of an edit, in bytes.
	maxEditID = 256
	// retryEdit is when an operator may send an edit again.
	retryEdit = 2 * time.Second
)

// Edit implements Editor. The edits of one node are committed one at a time;
// those of different nodes race on the head record's version.
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
	if edit.ID == "" || len(edit.ID) > maxEditID || strings.ContainsAny(edit.ID, "/\x00") {
		return EditResult{Status: Invalid}, apierror.Invalid("edit id: want 1 to %d bytes without /", maxEditID)
	}
	select {
	case s.editing <- struct{}{}:
		defer func() { <-s.editing }()
	case <-ctx.Done():
		return refused(ctx.Err())
	}
	if err := s.freshHead(ctx, false); err != nil {
		return refused(err)
	}
	for range headRaces {
		result, again, err := s.tryEdit(ctx, edit)
		if !again {
			return result, err
		}
		if !wait.For(ctx, jitter(headRacePause)) {
			break
		}
	}
	return refused(fmt.Errorf("other edits were committed first %d times", headRaces))
}

// tryEdit makes one commit; again means that another edit came first, and
// that the head it left behind is known.
func (s *Service) tryEdit(ctx context.Context, edit Edit) (result EditResult, again bool, err error) {
	current, err := s.syncToHead(ctx)
	if err != nil {
		result, err = refused(err)
		return result, false, err
	}
	table := s.Table()
	if table.Revision() != current.revision {
		s.forgetHead()
		return EditResult{}, true, nil
	}
	check := table.CheckEdit(edit.Row, edit.Delete)
	if check.Stale || check.Invalid != nil {
		return s.rejected(ctx, edit, current, check)
	}
	entry := auditEntry(edit, check.Current, current.revision+1)
	outcome := s.store.Commit(ctx, editTransaction(edit, entry, current))
	switch outcome.Status {
	case store.Applied:
		return s.accepted(entry, outcome), false, nil
	case store.Conflict:
		return s.lostRace(edit, outcome)
	case store.NotApplied:
		result, err = refused(outcome.Cause)
	default:
		s.forgetHead()
		result, err = uncertain(outcome.Cause)
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
// marker. The head's version stands for every row's: no row changes without it.
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

// accepted applies a committed edit here and floods it.
func (s *Service) accepted(entry AuditEntry, committed store.Result) EditResult {
	if len(committed.Versions) > 0 {
		s.noteHead(head{known: true, revision: entry.Revision, version: committed.Versions[0]})
	} else {
		s.forgetHead()
	}
	change := entry.change()
	s.apply(sourceOwn, change)
	s.bus.Flood(changeMessage{Change: change, CommittedAt: entry.At})
	result := EditResult{Status: Accepted, Revision: entry.Revision}
	if entry.After != nil {
		result.Row = *entry.After
	}
	return result
}

// lostRace reads the records that stood in the way of a commit: the edit's own
// marker means that it was accepted before, the head that another came first.
func (s *Service) lostRace(edit Edit, committed store.Result) (EditResult, bool, error) {
	s.forgetHead()
	for _, record := range committed.Conflicts {
		if record.Key == markerKey(edit.ID) && record.Version != 0 {
			result, err := s.settled(edit, record)
			return result, false, err
		}
	}
	for _, record := range committed.Conflicts {
		if current, err := decodeHead(record); record.Key == headKey && err == nil {
			s.noteHead(current)
		}
	}
	return EditResult{}, true, nil
}

// rejected answers an edit that the table at the known head does not allow,
// unless its marker shows that it was accepted: then this is the same edit sent
// again. When the head has moved since, the edit is tried on the new one.
func (s *Service) rejected(ctx context.Context, edit Edit, current head, check policy.EditCheck) (EditResult, bool, error) {
	record, err := s.store.Get(ctx, markerKey(edit.ID))
	if err == nil && record.Version != 0 {
		result, err := s.settled(edit, record)
		return result, false, err
	}
	if err == nil {
		err = s.freshHead(ctx, true)
	}
	if err != nil {
		result, err := uncertain(err)
		return result, false, err
	}
	if s.knownHead().version != current.version {
		return EditResult{}, true, nil
	}
	if check.Stale {
		return EditResult{Status: Conflict, Row: check.Current}, false, nil
	}
	return EditResult{Status: Invalid, Row: check.Current}, false, apierror.Invalid("row %s: %s", edit.Row.ID, check.Invalid)
}

// settled answers from an edit's marker.
func (s *Service) settled(edit Edit, record backend.Record) (EditResult, error) {
	var marker markerRecord
	if err := json.Unmarshal(record.Value, &marker); err != nil {
		return refused(fmt.Errorf("record %s: %w", record.Key, err))
	}
	if marker.Digest != editDigest(edit) {
		return EditResult{Status: Invalid}, apierror.New(http.StatusUnprocessableEntity, apierror.CodeKeyReuse,
			"edit id %q was used for another edit, at revision %d", edit.ID, marker.Revision)
	}
	s.ask(want{revision: marker.Revision})
	return EditResult{Status: Accepted, Row: marker.Row, Revision: marker.Revision}, nil
}

// freshHead makes the head known: read when it is not, or when force is set.
func (s *Service) freshHead(ctx context.Context, force bool) error {
	if known := s.knownHead(); known.known && known.revision >= s.Table().Revision() && !force {
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
	s.noteHead(current)
	return nil
}

// syncToHead brings the table up to the head that the commit will compare.
func (s *Service) syncToHead(ctx context.Context) (head, error) {
	if !s.knownHead().known {
		if err := s.freshHead(ctx, true); err != nil {
			return head{}, err
		}
	}
	current := s.knownHead()
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

func (s *Service) knownHead() head {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.head
}

func (s *Service) forgetHead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.head = head{}
}

func refused(cause error) (EditResult, error) {
	err := &apierror.Error{
		Status: http.StatusServiceUnavailable, Code: apierror.CodeStoreDown, RetryAfter: retryEdit, Run: outcome.Refused,
		Message: fmt.Sprintf("this call changed nothing: %v", cause),
	}
	return EditResult{Status: Refused}, err
}

func uncertain(cause error) (EditResult, error) {
	err := &apierror.Error{
		Status: http.StatusServiceUnavailable, Code: apierror.CodeStoreDown, RetryAfter: retryEdit, Run: outcome.Unknown,
		Message: fmt.Sprintf("the edit may have been made, send it again with the same id: %v", cause),
	}
	return EditResult{Status: Uncertain}, err
}
