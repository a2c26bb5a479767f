package catalog

import (
	"context"
	"time"
)

// Relay asks another node's copy of a table. Where every node asked the store itself, 985 nodes
// read 2 GB for one listing of 10,000 engines, and each forgotten history had them read it again.
type Relay interface {
	// Follow gives what has changed in a table after a version, as soon as there is something
	// or the copy is known to be complete as of a later moment, or after hold. False: no relay
	// could be asked, and the store is to be.
	Follow(ctx context.Context, table string, since int64, hold time.Duration) (Told, bool)
	// Doubt says that a relay has passed changes over: it is not asked for some time.
	Doubt(table string)
}

// askRelay asks a relay; false: there is none, or it could not answer.
func (f *Follower) askRelay(ctx context.Context, version int64, hold time.Duration) (answered, bool) {
	if f.relay == nil {
		return answered{}, false
	}
	suspensions := f.watch.Count()
	told, found := f.relay.Follow(ctx, f.table, version, hold)
	if !found {
		return answered{}, false
	}
	asOf := f.confirmed(told.AsOf, suspensions)
	if !asOf.IsZero() {
		f.clock(told.StoreAt, asOf)
	}
	return answered{
		rows: told.Rows, whole: told.Whole, version: told.Version, relayed: true, asOf: asOf, shownBy: told.AsOf,
		storeAt: told.StoreAt, renewing: told.Renewing,
	}, true
}

// listByRelay brings the copy up to date by way of a relay, with what has changed since it was
// followed, or with a whole listing.
func (f *Follower) listByRelay(ctx context.Context) (version int64, listed bool) {
	f.mu.Lock()
	followedTo := f.told.followedTo
	f.mu.Unlock()
	told, found := f.askRelay(ctx, followedTo, 0)
	if !found {
		return 0, false
	}
	version = f.take(told)
	f.succeeded(told.asOf, told.storeAt)
	f.copy.renew(told.renewing)
	return version, true
}

// doubtRelay has the table listed from the store.
func (f *Follower) doubtRelay() {
	if f.relay != nil {
		f.relay.Doubt(f.table)
	}
}
