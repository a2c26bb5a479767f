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

// Routes holds the routes in force. It accepts only higher versions, so a node never returns to
// older routes while it runs. It is safe for concurrent use.
type Routes struct {
	documents passthrough.Documents
	logger    *zap.Logger
	refusals  *Refusals

	mu       sync.RWMutex
	table    *passroute.Table
	document []byte
	learned  time.Time
	// confirmed is when a peer last knew the table to be the newest version.
	confirmed time.Time
	health    func() Health // how well the store is followed
	splitter  *passroute.Splitter
	changed   []func(*passroute.Table)
}

// NewRoutes returns a Routes that knows no routes yet.
func NewRoutes(documents passthrough.Documents, logger *zap.Logger) *Routes {
	return &Routes{documents: documents, logger: logger, refusals: NewRefusals(nil, logger), splitter: passroute.NewSplitter(rand.Float64), health: func() Health { return Health{} }}
}

// SetRefusals sets the counter of refused documents. It must be called before Run.
func (r *Routes) SetRefusals(refusals *Refusals) { r.refusals = refusals }

// SetHealth sets the function that reports how well the store is followed. It must be called before
// Run.
func (r *Routes) SetHealth(health func() Health) { r.health = health }

// SetSuspensionWatch corrects the time of the last peer confirmation after suspensions of the machine. It
// must be called before Run.
func (r *Routes) SetSuspensionWatch(watch *suspension.Watch) {
	watch.OnResume(func(gap time.Duration) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.confirmed.IsZero() {
			r.confirmed = r.confirmed.Add(-gap)
		}
	})
}

// Confirm records a peer's report that a version was the newest at a time.
func (r *Routes) Confirm(version int64, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.table != nil && r.table.Version() == version && at.After(r.confirmed) {
		r.confirmed = at
	}
}

// RoutesView is what a node knows of the routes at one moment.
type RoutesView struct {
	Table    *passroute.Table // nil before the first routes
	Document []byte           // the document that Table was read from
	Learned  time.Time        // when Table came into force
	// AsOf is when Table was last known to be the newest, by an answer of the store or a report of
	// a peer.
	AsOf time.Time
}

// Known returns the routes in force and the time as of which they are known to be the newest. It
// reads the follower's health before the routes, so the routes may be newer than AsOf says but
// never older.
func (r *Routes) Known() RoutesView {
	asOf := r.health().AsOf
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.confirmed.After(asOf) {
		asOf = r.confirmed
	}
	return RoutesView{Table: r.table, Document: r.document, Learned: r.learned, AsOf: asOf}
}

// Age returns the time since the routes in force were last known to be the newest.
func (r *Routes) Age() time.Duration { return time.Since(r.Known().AsOf) }

// OnChange adds a function that is called with each version that comes into force. It must not
// block. OnChange must be called before Run.
func (r *Routes) OnChange(notify func(*passroute.Table)) {
	r.changed = append(r.changed, notify)
}

// Table returns the routes in force and when they came into force. The table is nil before the
// first routes.
func (r *Routes) Table() (table *passroute.Table, learned time.Time) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.table, r.learned
}

// Document returns the document in force and its version. The document is nil before the first
// routes.
func (r *Routes) Document() (document []byte, version int64) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.table == nil {
		return nil, 0
	}
	return r.document, r.table.Version()
}

// PoolNamed returns the description of a pool in the routes in force, or the zero Pool if they do not
// have it.
func (r *Routes) PoolNamed(name string) passroute.Pool {
	table, _ := r.Table()
	if table == nil {
		return passroute.Pool{}
	}
	return table.Pool(name)
}

// Pool chooses the pool for a route's next request.
func (r *Routes) Pool(route *passroute.Route) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.splitter.Choose(route)
}

// Take applies a document if its version is higher than the one in force, and reports whether it
// did. The source is logged.
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
	events.RoutesApplied.Log(r.logger, zap.Int64("version", table.Version()), zap.Int64("replaces", old), zap.String("source", source), zap.Int("tenants", table.Tenants().Directory.Len()))
	for _, problem := range table.Tenants().Problems {
		events.TenantProblem.Log(r.logger, zap.Int64("version", table.Version()), zap.String("tenant", problem.Tenant), zap.Error(problem))
	}
	for _, notify := range r.changed {
		notify(table)
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
