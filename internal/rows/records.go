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

// logPage is how many audit records one read of the store gives.
const logPage = 200

func rowKey(id identity.RowID) string { return rowPrefix + string(id) }
func markerKey(editID string) string  { return markerPrefix + editID }

// logKey sorts as its revision does.
func logKey(revision uint64) string { return fmt.Sprintf("%s%020d", logPrefix, revision) }

// headRecord is the value of rows/head.
type headRecord struct {
	Revision uint64 `json:"revision"`
}

// head is the head record as last read, with the version to compare.
type head struct {
	known    bool
	revision uint64
	version  uint64
}

// markerRecord is the value of rows/edit/<id>: what the edit did.
type markerRecord struct {
	Revision uint64     `json:"revision"`
	Row      policy.Row `json:"row"`
	// Digest tells another edit under the same id from the same edit.
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

// editDigest is a hash of what an edit asks for.
func editDigest(edit Edit) uint64 {
	return xxhash.Sum64(encode(struct {
		Row    policy.Row
		Delete bool
	}{edit.Row, edit.Delete}))
}

// encode gives a value's JSON; the types here always have one.
func encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("rows: %T has no JSON: %v", value, err))
	}
	return encoded
}

// readHead reads the head once, without retries.
func (s *Service) readHead(ctx context.Context) (head, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.CallTimeout)
	defer cancel()
	record, err := s.store.Table.Get(ctx, headKey)
	if err != nil {
		return head{}, err
	}
	return decodeHead(record)
}

// readLog reads up to a page of audit records after a revision.
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

// readTable reads the whole table: the head first, then the rows, which may
// be newer than it; policy.Table.Merge allows for that.
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
	s.noteHead(current)
	return current.revision, rows, nil
}
