package catalog

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
)

// tableRelay relays a table's changes while it is available.
type tableRelay struct {
	table       *storedTable
	unavailable atomic.Bool
}

// Follow implements Relay.
func (r *tableRelay) Follow(ctx context.Context, _ string, since int64, hold time.Duration) (CopyAnswer, bool) {
	if r.unavailable.Load() {
		return CopyAnswer{}, false
	}
	snapshot, err := r.table.Feed(ctx, "", since, hold)
	if err != nil {
		return CopyAnswer{}, false
	}
	return CopyAnswer{Rows: snapshot.Rows, Version: snapshot.Version, AsOf: time.Now(), StoreAt: snapshot.StoreAt}, true
}

// Doubt implements Relay.
func (r *tableRelay) Doubt(string) {}

// Guards against audits by followers that fall back to the store for a moment. When nodes that
// others follow were killed, 154 of 985 nodes asked the store themselves for half a second. A
// follower of another node's copy audits nothing, so the last audit of each was longer ago than
// AuditInterval, and each listed a page of 500 rows of every table at that moment: nine of ten
// such fallbacks triggered an audit.
func TestBriefFallbackToStoreTriggersNoAudit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const fallbacks = 10
		table, sink := newStoredTable(), &copySink{versions: make(map[string]int64)}
		follower := NewFollower(DefaultFollowConfig(), table, "table", []string{""}, sink, zap.NewNop())
		relay := &tableRelay{table: table}
		follower.SetRelay(relay)
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- follower.Run(ctx) }()
		for range fallbacks {
			time.Sleep(follower.config.AuditInterval + time.Second)
			relay.unavailable.Store(true)
			time.Sleep(follower.config.Wait) // one answer of the store
			relay.unavailable.Store(false)
		}
		stop()
		<-ended
		if listed := table.listCount(); listed != 0 {
			t.Errorf("%d fallbacks to the store triggered %d listings", fallbacks, listed)
		}
	})
}
