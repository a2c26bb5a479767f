package batch

import (
	"encoding/json"
	"fmt"
	"time"

	"ringstream.example/ringstream/internal/core/passjob"
	"ringstream.example/ringstream/internal/passthrough"
)

// The rows of the node's own tables may come from another version of this program, or
// from another writer. What cannot be relied on is refused here, so that it is taken
// neither for something else nor for nothing.

// decodeRecord reads a job's row.
func decodeRecord(row passthrough.Row) (passjob.Record, error) {
	record, err := passjob.Decode(row.Value)
	if err != nil {
		return passjob.Record{}, err
	}
	if record.ID != row.Key {
		return passjob.Record{}, fmt.Errorf("job record %s lies under the key %q", record.ID, row.Key)
	}
	return record, nil
}

// mostSlowness bounds how much longer than usual a node says that its signs may take:
// one that says more could be dead for long before that is noticed.
const mostSlowness = 1000

// decodeSign reads a node's sign of life.
func decodeSign(value []byte) (nodeSign, error) {
	var sign nodeSign
	if err := json.Unmarshal(value, &sign); err != nil {
		return nodeSign{}, fmt.Errorf("sign of life: %w", err)
	}
	if sign.Name == "" || sign.Started <= 0 {
		return nodeSign{}, fmt.Errorf("sign of life: name %q, started %d", sign.Name, sign.Started)
	}
	if sign.Capacity < 0 || sign.Slowness < 0 || sign.Slowness > mostSlowness {
		return nodeSign{}, fmt.Errorf("sign of life of %s: capacity %g, slowness %g", sign.Name, sign.Capacity, sign.Slowness)
	}
	return sign, nil
}

// mostAge keeps sums of ages and times far from overflowing.
const mostAge = 100 * 365 * 24 * time.Hour

// decodeCrashes reads a row of crashes.
func decodeCrashes(value []byte) (crashRow, error) {
	var row *crashRow
	if err := json.Unmarshal(value, &row); err != nil {
		return crashRow{}, fmt.Errorf("crashes: %w", err)
	}
	if row == nil || row.WrittenAt < 0 {
		return crashRow{}, fmt.Errorf("crashes: not written at a time: %s", value)
	}
	for _, crash := range row.Crashes {
		if crash.Engine == 0 || crash.Age < 0 || crash.Age > mostAge {
			return crashRow{}, fmt.Errorf("crashes: engine %d, age %s", crash.Engine, crash.Age)
		}
	}
	return *row, nil
}

// decodePartial reads a piece of an item's kept text.
func decodePartial(value []byte) (partial, error) {
	var piece partial
	if err := json.Unmarshal(value, &piece); err != nil {
		return partial{}, fmt.Errorf("kept text: %w", err)
	}
	if piece.First < 0 || len(piece.Pieces) == 0 {
		return partial{}, fmt.Errorf("kept text: %d pieces from %d on", len(piece.Pieces), piece.First)
	}
	return piece, nil
}
