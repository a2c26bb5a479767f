package rows

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"ringstream.example/ringstream/internal/backend"
	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/policy"
)

// The keys of the table's records.
const (
	headKey      = "rows/head"
	rowPrefix    = "rows/row/"
	logPrefix    = "rows/log/"
	markerPrefix = "rows/edit/"
)

// logPageSize is the maximum number of audit records per read of the store.
const logPageSize = 200

func rowKey(id identity.RowID) string { return rowPrefix + string(id) }
func markerKey(editID string) string  { return markerPrefix + editID }

// logKey returns the key of an audit record. Keys sort in the order of revisions.
func logKey(revision uint64) string { return fmt.Sprintf("%s%020d", logPrefix, revision) }

// headRecord is the value stored at rows/head.
type headRecord struct {
	Revision uint64 `json:"revision"`
}

// head is the last known head record, with its version for the compare of a
// commit.
type head struct {
	known    bool
	revision uint64
	version  uint64
}

// markerRecord is the value stored at rows/edit/<id>, the result of the edit.
type markerRecord struct {
	Revision uint64     `json:"revision"`
	Row      policy.Row `json:"row"`
	// Digest distinguishes a retry of the edit from another edit with the same ID.
	Digest uint64 `json:"digest"`
}

func decodeHead(record backend.Record) (head, error) {
	if record.Version == 0 {
		return head{known: true}, nil
	}
	var value headRecord
	if err := json.Unmarshal(record.Value, &value); err != nil {
		return head{}, fmt.Errorf("record %s: %w", record.Key, err)
	}
	return head{known: true, revision: value.Revision, version: record.Version}, nil
}

// editDigest returns a hash of an edit's content.
func editDigest(edit Edit) uint64 {
	return xxhash.Sum64(encode(struct {
		Row    policy.Row
		Delete bool
	}{edit.Row, edit.Delete}))
}

// encode returns a value's JSON. It panics on a value that has none, which the
// types of this package always have.
func encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("rows: %T has no JSON: %v", value, err))
	}
	return encoded
}

// readHead reads the head record once, without retries.
func (s *Service) readHead(ctx context.Context) (head, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.CallTimeout)
	defer cancel()
	record, err := s.store.Table.Get(ctx, headKey)
	if err != nil {
		return head{}, err
	}
	return decodeHead(record)
}

// readLog reads up to limit audit records after a revision.
func (s *Service) readLog(ctx context.Context, after uint64, limit int) ([]AuditEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.CallTimeout)
	defer cancel()
	records, err := s.store.Table.List(ctx, logPrefix, logKey(after), limit)
	if err != nil {
		return nil, err
	}
	entries := make([]AuditEntry, len(records))
	for i, record := range records {
		if err := json.Unmarshal(record.Value, &entries[i]); err != nil {
			return nil, fmt.Errorf("record %s: %w", record.Key, err)
		}
	}
	return entries, nil
}

// readTable reads the whole table: the head first, then the rows. The rows may
// be newer than the head, which policy.Table.Merge allows for.
func (s *Service) readTable(ctx context.Context) (uint64, []policy.Row, error) {
	current, err := s.readHead(ctx)
	if err != nil {
		return 0, nil, err
	}
	records, err := s.store.List(ctx, rowPrefix, "")
	if err != nil {
		return 0, nil, err
	}
	rows := make([]policy.Row, len(records))
	for i, record := range records {
		if err := json.Unmarshal(record.Value, &rows[i]); err != nil {
			return 0, nil, fmt.Errorf("record %s: %w", record.Key, err)
		}
	}
	s.cacheHead(current)
	return current.revision, rows, nil
}
