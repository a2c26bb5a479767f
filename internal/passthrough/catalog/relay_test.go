package catalog

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
)

// tableRelay tells a table's changes while it is open.
type tableRelay struct {
	table *storedTable
	shut  atomic.Bool
}

// Follow implements Relay.
func (r *tableRelay) Follow(ctx context.Context, _ string, since int64, hold time.Duration) (Told, bool) {
	if r.shut.Load() {
		return Told{}, false
	}
	snapshot, err := r.table.Feed(ctx, "", since, hold)
	if err != nil {
		return Told{}, false
	}
	return Told{Rows: snapshot.Rows, Version: snapshot.Version, AsOf: time.Now(), StoreAt: snapshot.StoreAt}, true
}

// Doubt implements Relay.
func (r *tableRelay) Doubt(string) {}

// When nodes that others follow were killed, 154 of 985 nodes asked the store themselves for half a
// second. Each had last audited a table longer ago than an audit is due, since who follows another's
// copy audits nothing, and so listed a page of 500 rows of every table at that moment: of ten such
// ways to the store nine brought one. A moment at the store brings no audit.
func TestShortWayToTheStoreBringsNoAudit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const detours = 10
		table, sink := newStoredTable(), &copySink{versions: make(map[string]int64)}
		follower := NewFollower(DefaultFollowConfig(), table, "table", []string{""}, sink, zap.NewNop())
		relay := &tableRelay{table: table}
		follower.RelayBy(relay)
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- follower.Run(ctx) }()
		for range detours {
			time.Sleep(follower.config.AuditEvery + time.Second)
			relay.shut.Store(true)
			time.Sleep(follower.config.Wait) // one answer of the store
			relay.shut.Store(false)
		}
		stop()
		<-ended
		if listed := table.listed(); listed != 0 {
			t.Errorf("%d detours brought %d lists", detours, listed)
		}
	})
}
