package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/streamorigin"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/wait"
)

// The software versions that have served a pool are kept in one row a pool, which is written when the
// versions change. It is among the quota rows because earlier builds follow that part and ignore the
// rows that are no queue's; a part of its own they would neither list nor pass on.
const (
	partServed = partQuotas
	// servedPrefix is the prefix of the keys. The name of a route, with which other keys of the part
	// begin, is not empty.
	servedPrefix = "/software/"
)

// servedKey returns the key of a pool's row.
func servedKey(pool string) string {
	key := servedPrefix + pool
	if len(key) > maxKeyBytes {
		return fmt.Sprintf("%s%016x", servedPrefix, xxhash.Sum64String(pool))
	}
	return key
}

// isServed reports whether a row holds the software versions of a pool.
func isServed(row passthrough.Row) bool {
	return row.Part == partServed && strings.HasPrefix(row.Key, servedPrefix)
}

// servedRow is the value of a row with the software versions of a pool.
type servedRow struct {
	Versions []servedVersion `json:"versions"`
}

type servedVersion struct {
	Software string        `json:"software"`
	LeftAt   time.Duration `json:"left_at,omitempty"` // on the store's clock; zero: it has engines
}

func encodeServed(served streamorigin.Served) ([]byte, error) {
	var row servedRow
	for _, version := range served {
		row.Versions = append(row.Versions, servedVersion(version))
	}
	return json.Marshal(row)
}

// decodeServed decodes a row with the software versions of a pool.
func decodeServed(value []byte) (streamorigin.Served, error) {
	var row servedRow
	if err := json.Unmarshal(value, &row); err != nil {
		return nil, fmt.Errorf("software versions: %w", err)
	}
	if len(row.Versions) == 0 {
		return nil, fmt.Errorf("software versions: none in %q", value)
	}
	var served streamorigin.Served
	for i, version := range row.Versions {
		if version.LeftAt < 0 || (i > 0 && version.Software <= row.Versions[i-1].Software) {
			return nil, fmt.Errorf("software versions: %q, which left at %s, after %q", version.Software, version.LeftAt, row.Versions[max(i, 1)-1].Software)
		}
		served = append(served, streamorigin.ServedVersion(version))
	}
	return served, nil
}

// servedState is a row with the software versions of a pool as last seen.
type servedState struct {
	served     streamorigin.Served
	version    int64
	unreadable bool
}

// applyServed applies a row with the software versions of a pool. The caller holds view.mu.
func (v *view) applyServed(row passthrough.Row) {
	if row.Version <= v.served[row.Key].version {
		return
	}
	if row.Gone {
		delete(v.served, row.Key)
		return
	}
	served, err := decodeServed(row.Value)
	if err != nil {
		events.JobRowUnreadable.Log(v.logger, zap.String("row", row.Key), zap.Error(err))
	}
	v.served[row.Key] = servedState{served: served, version: row.Version, unreadable: err != nil}
}

// correctServed replaces what is known of a row by what a failed compare returned, which lacks a row
// that is not there.
func (v *view) correctServed(key string, current []passthrough.Row) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.served, key)
	for _, row := range current {
		if isServed(row) {
			v.applyServed(row)
		}
	}
}

// servedState returns what is known of a pool's row. It returns false until the rows have been listed.
func (v *view) servedState(pool string) (known servedState, listed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.served[servedKey(pool)], v.listed
}

// ServedVersions returns the software versions that may have begun a stream of a pool within
// streamorigin.Retention, as kept in the store. It returns false until this node has listed the rows,
// and while the pool's row is unreadable.
func (s *Service) ServedVersions(pool string) (versions []string, known bool) {
	kept, listed := s.view.servedState(pool)
	now, clockKnown := s.storeClock()
	if !listed || !clockKnown {
		return nil, false
	}
	return kept.served.Within(now), !kept.unreadable
}

// RecordedVersions returns the software versions of which the store tells that they have engines of a
// pool. It returns nil until this node has read the pool's row.
func (s *Service) RecordedVersions(pool string) []string {
	kept, _ := s.view.servedState(pool)
	return kept.served.Serving()
}

const (
	servedInterval = 100 * time.Millisecond
	// departureDelay is how long a version must have had no engine before it counts as having left.
	// Nodes list an engine some hundred milliseconds apart, and would contradict each other.
	departureDelay = 2 * time.Second
	// maxServedEnginesAge is the age of the list of engines up to which it shows a change.
	maxServedEnginesAge = time.Second
	// servedRetryPause is the pause after a write that was not applied.
	servedRetryPause = time.Second
)

// keepServed writes changes of the pools' software versions until ctx ends.
func (s *Service) keepServed(ctx context.Context) error {
	changedSince := make(map[string]time.Time) // by pool
	for wait.For(ctx, servedInterval) {
		if s.stale() || !s.settled(time.Now()) || s.Engines.Age() > maxServedEnginesAge {
			continue
		}
		for pool, listed := range s.Engines.ListedSoftware() {
			s.keepPool(ctx, pool, listed, changedSince)
		}
	}
	return nil
}

// keepPool writes the versions of a pool if they have changed for long enough. The nodes wait in the
// order of a ranking, so that usually one of them writes.
func (s *Service) keepPool(ctx context.Context, pool string, listed []string, changedSince map[string]time.Time) {
	known, rowsListed := s.view.servedState(pool)
	next, delay, changed := s.nextServed(known.served, listed)
	if !changed || !rowsListed {
		delete(changedSince, pool)
		return
	}
	since, seen := changedSince[pool]
	if !seen {
		since = time.Now()
		changedSince[pool] = since
	}
	delay += time.Duration(min(s.recentFleet().rank(servedKey(pool), s.Self), maxClaimRank)) * claimRankDelay
	if time.Since(since) < delay {
		return
	}
	delete(changedSince, pool)
	if !s.writeServed(ctx, pool, known, next) {
		changedSince[pool] = time.Now().Add(servedRetryPause)
	}
}

// nextServed returns a pool's versions as they are to be written, whether they differ from the known
// ones, and how long they must differ before.
func (s *Service) nextServed(known streamorigin.Served, listed []string) (next streamorigin.Served, delay time.Duration, changed bool) {
	now, clockKnown := s.storeClock()
	if !clockKnown {
		return nil, 0, false
	}
	if next, changed = known.Listed(listed, now); changed {
		return next, 0, true
	}
	next, changed = known.Left(listed, now)
	return next, departureDelay, changed
}

// writeServed writes the versions of a pool if its row is unchanged, and reports whether it did so.
func (s *Service) writeServed(ctx context.Context, pool string, known servedState, next streamorigin.Served) (written bool) {
	value, err := encodeServed(next)
	if err != nil {
		return false // not reached: strings and numbers can always be encoded
	}
	row := passthrough.Row{Table: tableJobs, Part: partServed, Key: servedKey(pool), Value: value}
	result, err := s.commit(ctx, passthrough.Transaction{
		Expected: []passthrough.Expectation{{Table: row.Table, Part: row.Part, Key: row.Key, Version: known.version}},
		Put:      []passthrough.Row{row},
	})
	written = err == nil && result.Applied
	switch {
	case written:
		row.Version = known.version + 1 // a lower bound, which rows from the feed replace
		s.view.Learn(row)
	case err == nil:
		s.view.correctServed(row.Key, result.Current)
	}
	events.ServedVersionsWritten.Log(s.Logger, zap.String("pool", pool), zap.ByteString("versions", value), zap.Bool("applied", result.Applied),
		zap.Int64("expected_version", known.version), zap.Bool("outcome_unknown", errors.Is(err, passthrough.ErrOutcomeUnknown)), zap.Error(err))
	return written
}
