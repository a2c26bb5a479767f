package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/quarantine"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
)

// Crashes of engines are kept in the table of jobs, which all nodes follow. There is one row for
// each content and node. Its key is the content's key, a slash and the node's incarnation id.

// crashRow is the value of a row with crashes.
type crashRow struct {
	WrittenAt time.Duration `json:"written_at"` // on the store's clock
	Crashes   []crashEntry  `json:"crashes"`
	// Order is an operator's decision; nil in rows written by nodes.
	Order *orderEntry `json:"order,omitempty"`
}

// orderEntry is an operator's decision to block or unblock a content.
type orderEntry struct {
	BlockFor time.Duration `json:"block_for"` // from WrittenAt; 0: the content is not blocked
	Reason   string        `json:"reason"`
}

type crashEntry struct {
	Engine  uint64        `json:"engine"` // hash of the engine's incarnation id
	Age     time.Duration `json:"age"`    // when the row was written
	Excused bool          `json:"excused,omitempty"`
}

// crashRetention is how long a row with crashes is kept. A row with an operator's block is kept for
// this long after the block ends.
const crashRetention = time.Hour

// errNoStoreClock is returned before the store's clock is known, since crashes are dated by it.
var errNoStoreClock = fmt.Errorf("%w: the store's clock is not known", passthrough.ErrNothingDone)

// KeepCrashes implements guard.Keeper.
func (s *Service) KeepCrashes(ctx context.Context, key string, crashes []quarantine.Crash) error {
	at, known := s.storeClock()
	if !known {
		return errNoStoreClock
	}
	row := crashRow{WrittenAt: at}
	for _, crash := range crashes {
		row.Crashes = append(row.Crashes, crashEntry{Engine: crash.Engine, Age: crash.Age, Excused: crash.Excused})
	}
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	_, err = s.commit(ctx, passthrough.Transaction{Put: []passthrough.Row{{Table: tableJobs, Part: partCrashes, Key: key, Value: value}}})
	return err
}

// crashRowState is a row with crashes as last seen.
type crashRowState struct {
	version   int64
	writtenAt time.Duration
	retention time.Duration
	seenAt    time.Time
}

// retention returns how long the row is kept.
func (r crashRow) retention() time.Duration {
	if r.Order == nil {
		return crashRetention
	}
	return crashRetention + r.Order.BlockFor
}

// parseCrashRow parses the key and the value of a row with crashes.
func parseCrashRow(row passthrough.Row) (content quarantine.Digest, kept crashRow, err error) {
	text, _, _ := strings.Cut(row.Key, "/")
	content, err = quarantine.ParseDigest(text)
	if err == nil {
		kept, err = decodeCrashes(row.Value)
	}
	return content, kept, err
}

// applyCrashes applies a row with crashes. The caller holds view.mu.
func (v *view) applyCrashes(row passthrough.Row) {
	if row.Version <= v.crashes[row.Key].version {
		return
	}
	if row.Gone {
		delete(v.crashes, row.Key)
		return
	}
	content, kept, err := parseCrashRow(row)
	if err != nil {
		events.JobRowUnreadable.Log(v.logger, zap.String("row", row.Key), zap.Error(err))
		return
	}
	v.crashes[row.Key] = crashRowState{version: row.Version, writtenAt: kept.WrittenAt, retention: kept.retention(), seenAt: time.Now()}
	if kept.Order != nil {
		order := quarantine.Order{Content: content, Version: row.Version, Left: kept.Order.BlockFor}
		v.pendingCrashes = append(v.pendingCrashes, pendingCrash{order: &order, writtenAt: kept.WrittenAt})
	}
	for _, entry := range kept.Crashes {
		v.pendingCrashes = append(v.pendingCrashes, pendingCrash{
			crash:     quarantine.Crash{Content: content, Engine: entry.Engine, Age: entry.Age, Excused: entry.Excused},
			writtenAt: kept.WrittenAt,
		})
	}
}

// pendingCrash is a crash or an operator's order from a row that has not been passed to the guard
// yet.
type pendingCrash struct {
	crash     quarantine.Crash
	order     *quarantine.Order // nil for a crash
	writtenAt time.Duration     // on the store's clock
}

// learnCrashes passes pending crashes and orders to the guard.
func (s *Service) learnCrashes() {
	s.view.mu.Lock()
	pending := s.view.pendingCrashes
	s.view.pendingCrashes = nil
	s.view.mu.Unlock()
	if len(pending) == 0 {
		return
	}
	at, known := s.storeClock()
	crashes := make([]quarantine.Crash, 0, len(pending))
	var orders []quarantine.Order
	for _, report := range pending {
		since := time.Duration(0)
		if known {
			since = max(at-report.writtenAt, 0)
		}
		if report.order != nil {
			orders = append(orders, quarantine.Order{Content: report.order.Content, Version: report.order.Version, Left: max(report.order.Left-since, 0)})
			continue
		}
		report.crash.Age += since
		crashes = append(crashes, report.crash)
	}
	s.Guard.AddStoredCrashes(crashes)
	s.Guard.ApplyOrders(orders)
}

// removeExpiredCrashes removes rows with crashes whose retention has passed.
func (s *Service) removeExpiredCrashes(ctx context.Context, now time.Duration, fleet fleetSnapshot) {
	var old []passthrough.Row
	s.view.mu.Lock()
	for key, known := range s.view.crashes {
		if now > known.writtenAt+known.retention && time.Since(known.seenAt) > collectInterval && len(old) < maxRemovedRows {
			old = append(old, passthrough.Row{Table: tableJobs, Part: partCrashes, Key: key})
		}
	}
	s.view.mu.Unlock()
	if len(old) == 0 || fleet.rank(partCrashes, s.Self) != 0 {
		return
	}
	_, _ = s.commit(ctx, passthrough.Transaction{Remove: old}) // retried in the next round
}
