package batch

import (
	"encoding/json"
	"fmt"
	"time"

	"ringstream.example/ringstream/internal/core/passjob"
	"ringstream.example/ringstream/internal/passthrough"
)

// The rows of the node's own tables may come from another version of this program, or from another
// writer. The decoders return an error for an invalid row, so that it is neither misread nor taken
// for a missing row.

// decodeRecord decodes a job's row.
func decodeRecord(row passthrough.Row) (passjob.Record, error) {
	record, err := passjob.Decode(row.Value)
	if err != nil {
		return passjob.Record{}, err
	}
	if record.ID != row.Key {
		return passjob.Record{}, fmt.Errorf("job record %s is stored under the key %q", record.ID, row.Key)
	}
	return record, nil
}

// maxHeartbeatSlowness bounds the slowness in a heartbeat row. A node with a higher value could be
// dead for long before that is detected.
const maxHeartbeatSlowness = 1000

// decodeHeartbeat decodes a heartbeat row.
func decodeHeartbeat(value []byte) (heartbeatRow, error) {
	var heartbeat heartbeatRow
	if err := json.Unmarshal(value, &heartbeat); err != nil {
		return heartbeatRow{}, fmt.Errorf("heartbeat row: %w", err)
	}
	if heartbeat.Name == "" || heartbeat.Started <= 0 {
		return heartbeatRow{}, fmt.Errorf("heartbeat row: invalid name %q or start time %d", heartbeat.Name, heartbeat.Started)
	}
	if heartbeat.Capacity < 0 || heartbeat.Slowness < 0 || heartbeat.Slowness > maxHeartbeatSlowness {
		return heartbeatRow{}, fmt.Errorf("heartbeat row of %s: invalid capacity %g or slowness %g", heartbeat.Name, heartbeat.Capacity, heartbeat.Slowness)
	}
	return heartbeat, nil
}

// maxCrashAge keeps sums of ages and times from overflowing.
const maxCrashAge = 100 * 365 * 24 * time.Hour

// decodeCrashes decodes a row with crashes.
func decodeCrashes(value []byte) (crashRow, error) {
	var row *crashRow
	if err := json.Unmarshal(value, &row); err != nil {
		return crashRow{}, fmt.Errorf("crashes: %w", err)
	}
	if row == nil || row.WrittenAt < 0 {
		return crashRow{}, fmt.Errorf("crashes: not written at a time: %s", value)
	}
	for _, crash := range row.Crashes {
		if crash.Engine == 0 || crash.Age < 0 || crash.Age > maxCrashAge {
			return crashRow{}, fmt.Errorf("crashes: engine %d, age %s", crash.Engine, crash.Age)
		}
	}
	if order := row.Order; order != nil && (order.BlockFor < 0 || order.BlockFor > LongestBlock) {
		return crashRow{}, fmt.Errorf("crashes: blocked for %s by an operator", order.BlockFor)
	}
	return *row, nil
}

// decodePartial decodes a row with a part of an item's text.
func decodePartial(value []byte) (partial, error) {
	var piece partial
	if err := json.Unmarshal(value, &piece); err != nil {
		return partial{}, fmt.Errorf("partial text: %w", err)
	}
	if piece.First < 0 || len(piece.Pieces) == 0 {
		return partial{}, fmt.Errorf("partial text: invalid number of pieces %d or first piece %d", len(piece.Pieces), piece.First)
	}
	return piece, nil
}
