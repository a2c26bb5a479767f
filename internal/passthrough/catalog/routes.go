package catalog

import (
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/passroute"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/suspension"
)

// Routes keeps the routes in force. Only higher versions are taken, so that a
// node never goes back within its life.
type Routes struct {
	documents passthrough.Documents
	logger    *zap.Logger
	refusals  *Refusals

	mu       sync.RWMutex
	table    *passroute.Table
	document []byte
	learned  time.Time
	// confirmed is when the table was last known to be the newest.
	confirmed time.Time
	health    func() Health // of the following of the store
	splitter  *passroute.Splitter
	changed   []func(*passroute.Table)
}

// NewRoutes makes a holder that knows no routes yet.
func NewRoutes(documents passthrough.Documents, logger *zap.Logger) *Routes {
	return &Routes{documents: documents, logger: logger, refusals: NewRefusals(nil, logger), splitter: passroute.NewSplitter(rand.Float64), health: func() Health { return Health{} }}
}

// CountBy has refused documents counted; called before Run.
func (r *Routes) CountBy(refusals *Refusals) { r.refusals = refusals }

// JudgeBy has the routes ask how well the store is followed; called before Run.
func (r *Routes) JudgeBy(health func() Health) { r.health = health }

// WatchBy has the routes correct the age of what peers confirmed after a suspension;
// called before Run.
func (r *Routes) WatchBy(watch *suspension.Watch) {
	watch.OnWake(func(gap time.Duration) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.confirmed.IsZero() {
			r.confirmed = r.confirmed.Add(-gap)
		}
	})
}

// Confirm takes word of a peer that a version was the newest at a time.
func (r *Routes) Confirm(version int64, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.table != nil && r.table.Version() == version && at.After(r.confirmed) {
		r.confirmed = at
	}
}

// Known is what a node knows of the routes at one moment.
type Known struct {
	Table    *passroute.Table // nil before the first
	Document []byte           // behind Table
	Learned  time.Time        // when Table was taken
	// AsOf is when Table was last known to be the newest, by the store's word or a peer's.
	AsOf time.Time
}

// Known gives the routes in force and of when they are. What the store's word rests on is
// asked before the routes are read: they may then be newer than AsOf says, and never older.
func (r *Routes) Known() Known {
	asOf := r.health().AsOf
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.confirmed.After(asOf) {
		asOf = r.confirmed
	}
	return Known{Table: r.table, Document: r.document, Learned: r.learned, AsOf: asOf}
}

// Age gives how long ago the routes in force were known to be the newest.
func (r *Routes) Age() time.Duration { return time.Since(r.Known().AsOf) }

// OnChange adds a function that hears of each version taken. It is called
// before Run, and must not block.
func (r *Routes) OnChange(hear func(*passroute.Table)) {
	r.changed = append(r.changed, hear)
}

// Table gives the routes in force and since when; nil before the first.
func (r *Routes) Table() (table *passroute.Table, learned time.Time) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.table, r.learned
}

// Document gives the document in force and its version; nil before the first.
func (r *Routes) Document() (document []byte, version int64) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.table == nil {
		return nil, 0
	}
	return r.document, r.table.Version()
}

// Pool chooses the pool of a route's next request.
func (r *Routes) Pool(route *passroute.Route) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.splitter.Choose(route)
}

// Take applies a document when its version is higher than the one in force.
// Source says in the log where it came from.
func (r *Routes) Take(document []byte, source string) bool {
	table, err := r.documents.Routes(document)
	if err != nil {
		r.refusals.note(routesDocument, events.RoutesRefused, err, zap.String("source", source))
		return false
	}
	r.mu.Lock()
	old := int64(-1)
	if r.table != nil {
		old = r.table.Version()
	}
	if table.Version() <= old {
		r.mu.Unlock()
		return false
	}
	r.table, r.document, r.learned, r.confirmed = table, document, time.Now(), time.Time{}
	r.splitter.Retain(table)
	r.mu.Unlock()
	events.RoutesTaken.Log(r.logger, zap.Int64("version", table.Version()), zap.Int64("replaces", old), zap.String("source", source), zap.Int("tenants", table.Tenants().Directory.Len()))
	for _, problem := range table.Tenants().Problems {
		events.TenantProblem.Log(r.logger, zap.Int64("version", table.Version()), zap.String("tenant", problem.Tenant), zap.Error(problem))
	}
	for _, hear := range r.changed {
		hear(table)
	}
	return true
}

// Replace implements Sink.
func (r *Routes) Replace(rows []passthrough.Row, _ int64) { r.Change(rows) }

// Change implements Sink.
func (r *Routes) Change(rows []passthrough.Row) {
	key := r.documents.Places().RoutesKey
	for _, row := range rows {
		if row.Key == key && !row.Gone {
			r.Take(row.Value, "store")
		}
	}
}
