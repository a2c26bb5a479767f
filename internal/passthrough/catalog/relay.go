package catalog

import (
	"context"
	"time"
)

// Relay follows another node's copy of a table. When every node called the store itself, 985 nodes
// read 2 GB for one listing of 10,000 engines, and read it again each time the store had discarded
// its history.
type Relay interface {
	// Follow returns what has changed in a table after a version. It returns as soon as there is a
	// change or the copy is known to be complete as of a later time, or after hold. It returns
	// false if no relay could be asked; the caller must then ask the store.
	Follow(ctx context.Context, table string, since int64, hold time.Duration) (CopyAnswer, bool)
	// Doubt reports that a relay has skipped changes. The relay is not asked for some time.
	Doubt(table string)
}

// fetchFromRelay asks a relay for changes. It returns false if there is no relay or it could not
// answer.
func (f *Follower) fetchFromRelay(ctx context.Context, version int64, hold time.Duration) (feedAnswer, bool) {
	if f.relay == nil {
		return feedAnswer{}, false
	}
	suspensions := f.watch.Count()
	reply, found := f.relay.Follow(ctx, f.table, version, hold)
	if !found {
		return feedAnswer{}, false
	}
	asOf := f.confirmedAt(reply.AsOf, suspensions)
	if !asOf.IsZero() {
		f.clock(reply.StoreAt, asOf)
	}
	return feedAnswer{
		rows: reply.Rows, whole: reply.Whole, version: reply.Version, relayed: true, asOf: asOf, expectedAsOf: reply.AsOf,
		storeAt: reply.StoreAt, renewing: reply.Renewing,
	}, true
}

// listFromRelay brings the copy up to date through a relay, with the changes since the followed
// version or with a whole listing.
func (f *Follower) listFromRelay(ctx context.Context) (version int64, listed bool) {
	f.mu.Lock()
	followedTo := f.progress.followedTo
	f.mu.Unlock()
	answer, found := f.fetchFromRelay(ctx, followedTo, 0)
	if !found {
		return 0, false
	}
	version = f.apply(answer)
	f.succeeded(answer.asOf, answer.storeAt)
	f.copy.setRenewing(answer.renewing)
	return version, true
}

// doubtRelay makes the next listing come from the store.
func (f *Follower) doubtRelay() {
	if f.relay != nil {
		f.relay.Doubt(f.table)
	}
}
