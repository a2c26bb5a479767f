package catalog

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/core/passroute"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
	"ringstream.example/ringstream/internal/wait"
)

// If an engine's entry is removed within storeFailureWindow after a failure of the store, the
// removal is doubtful: leases of live engines expire during such a failure, and the engines list
// themselves again with their next heartbeat. Such an engine stays in use until the store has
// answered without failure for relistTimeout, which is longer than a heartbeat and shorter than
// the time for which a draining engine may get work.
const (
	storeFailureWindow = 4 * time.Second
	relistTimeout      = 1500 * time.Millisecond
	expireInterval     = 100 * time.Millisecond
	// idleExpireInterval is the check interval while no engine waits to expire.
	idleExpireInterval = 400 * time.Millisecond
)

// Engines holds the engines of all pools. All requests of a node share it. It is safe for
// concurrent use.
type Engines struct {
	documents passthrough.Documents
	routes    *Routes
	health    func() Health
	logger    *zap.Logger
	refusals  *Refusals

	mu             sync.Mutex // guards the rest
	set            *enginechoice.Set
	listed         map[string]listedEntry     // engines with a row, by id
	removed        map[string]int64           // versions at which other engines' rows were removed, by id
	interned       map[string]string          // strings that many entries contain, such as zone names
	newestVersion  int64                      // the highest row version applied
	tableCopy      *Copy                      // the copy of the store's rows, for peers
	fromPeers      map[string]passthrough.Row // rows from peers that tableCopy does not contain yet
	checkedAgainst *passroute.Table           // the routes that the entries were last checked against
	// listedSoftware holds the result of ListedSoftware; nil after a change of listed.
	listedSoftware map[string][]string
	// summarize is set while so many entries are applied that they are logged in one line.
	summarize bool
	// listedVersion is the version of the last listing. A row that the listing lacked was removed
	// by then.
	listedVersion int64

	onRestart       func(former enginechoice.Incarnation)
	pendingRestarts []enginechoice.Incarnation // restarts that onRestart has not been called for
}

// NewEngines returns an empty set of engines for a node.
func NewEngines(node string, documents passthrough.Documents, routes *Routes, logger *zap.Logger) *Engines {
	return &Engines{
		documents: documents, routes: routes, logger: logger,
		refusals:  NewRefusals(nil, logger),
		health:    func() Health { return Health{} },
		set:       enginechoice.NewSet(node),
		listed:    make(map[string]listedEntry),
		removed:   make(map[string]int64),
		fromPeers: make(map[string]passthrough.Row),
		interned:  make(map[string]string),
		tableCopy: NewCopy(),

		onRestart: func(enginechoice.Incarnation) {},
	}
}

// SetHealth sets the function that reports how well the store is followed. It must be called before
// Run.
func (e *Engines) SetHealth(health func() Health) { e.health = health }

// SetRefusals sets the counter of refused entries. It must be called before Run.
func (e *Engines) SetRefusals(refusals *Refusals) { e.refusals = refusals }

// Use calls a function with the set while holding its lock.
func (e *Engines) Use(do func(set *enginechoice.Set, now time.Time)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reevaluate()
	do(e.set, time.Now())
}

// Replace implements Sink. Engines that the listing lacks are removed, unless their known row is
// newer than the listing.
func (e *Engines) Replace(rows []passthrough.Row, version int64) {
	defer e.notifyRestarts()
	e.mu.Lock()
	defer e.mu.Unlock()
	listed := make(map[string]bool, len(rows))
	e.summarize = e.listedVersion == 0 // the first listing is logged in one line
	for _, row := range rows {
		listed[row.Key] = true
		e.apply(row)
	}
	e.summarize = false
	for id := range e.listed {
		if !listed[id] && e.listed[id].version <= version {
			e.remove(id, version)
		}
	}
	e.listedVersion = max(e.listedVersion, version)
}

// Change implements Sink.
func (e *Engines) Change(rows []passthrough.Row) {
	defer e.notifyRestarts()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.summarize = len(rows) > maxEntryLines
	defer e.logSummary(len(rows))
	for _, row := range rows {
		if !e.outdated(row) {
			e.apply(row)
		}
	}
}

// Learn applies rows received from a peer, and passes them on to other peers until the store
// reports them.
func (e *Engines) Learn(rows []passthrough.Row) {
	defer e.notifyRestarts()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, row := range rows {
		if e.outdated(row) {
			continue
		}
		if version, _ := e.version(row.Key); row.Version > version {
			e.fromPeers[row.Key] = row
		}
		e.apply(row)
	}
}

// outdated reports whether a row is older than the last listing, which lacked it. Such a row comes
// from a peer that lags behind.
func (e *Engines) outdated(row passthrough.Row) bool {
	_, known := e.version(row.Key)
	return !known && row.Version < e.listedVersion
}

// version returns the newest known version of a row, including removed rows.
func (e *Engines) version(id string) (version int64, known bool) {
	if entry, listed := e.listed[id]; listed {
		return entry.version, true
	}
	version, known = e.removed[id]
	return version, known
}

func (e *Engines) apply(row passthrough.Row) {
	version, _ := e.version(row.Key)
	_, listed := e.listed[row.Key]
	if row.Version < version || row.Version == version && listed && !row.Gone {
		return // older or unchanged; a listing of 10,000 engines contains only a few changes
	}
	e.newestVersion = max(e.newestVersion, row.Version)
	if row.Gone {
		e.remove(row.Key, row.Version)
		return
	}
	e.reevaluate()
	delete(e.removed, row.Key)
	entry, err := e.documents.Engine(row.Key, row.Value)
	e.evaluate(row.Key, listedEntry{entry: entry, readErr: err, version: row.Version})
}

func (e *Engines) applyEntry(entry passthrough.EngineEntry, version int64) {
	now := time.Now()
	state := enginechoice.Ready
	if entry.State == passthrough.EngineDraining {
		state = enginechoice.Leaving
	}
	known := enginechoice.Entry{ID: entry.ID, Pool: entry.Pool, Address: entry.Address, Zone: entry.Zone, Slots: entry.Slots, Born: entry.BornMs, Software: entry.Software, MemoryTokens: e.memoryOf(entry.Pool)}
	if entry.ColdFor > 0 {
		known.ColdUntil = now.Add(entry.ColdFor)
	}
	former, _ := e.set.Newest(entry.ID)
	if entry.BornMs == 0 { // without a start time the entry refers to the newest incarnation
		known.Born = former.Born
	}
	e.recordNews(e.set.Upsert(known, state, now), known, state, former, version)
}

func (e *Engines) remove(id string, version int64) {
	e.removed[id] = version
	e.newestVersion = max(e.newestVersion, version)
	if _, known := e.listed[id]; !known {
		return
	}
	delete(e.listed, id)
	e.listedSoftware = nil
	now := time.Now()
	health := e.health()
	storeFailed := !health.LastFailure.IsZero() && now.Sub(health.LastFailure) < storeFailureWindow
	engine, _ := e.set.Newest(id)
	e.set.Remove(engine, storeFailed, now)
	events.EngineGone.Log(e.logger, zap.Stringer("engine", engine), zap.Bool("store_was_sick", storeFailed), zap.Int64("store_version", version))
}

// Run expires engines that were not listed again, until ctx ends.
func (e *Engines) Run(ctx context.Context) error {
	for pause := expireInterval; wait.For(ctx, pause); {
		e.expire(time.Now())
		e.notifyRestarts() // for entries that newer routes have made usable
		pause = idleExpireInterval
		if e.anyUnlisted() {
			pause = expireInterval
		}
	}
	return nil
}

func (e *Engines) anyUnlisted() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.set.AnyUnlisted()
}

func (e *Engines) expire(now time.Time) {
	health := e.health()
	if now.Sub(health.LastFailure) < relistTimeout || now.Sub(health.AsOf) > relistTimeout {
		return // the list is not reliable yet
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, engine := range e.set.ExpireUnlisted(now.Add(-relistTimeout), now) {
		events.EngineExpired.Log(e.logger, zap.Stringer("engine", engine), zap.Duration("after", relistTimeout))
	}
}

// Newest returns the newest known row version.
func (e *Engines) Newest() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newestVersion
}

// SetCopy sets the copy of the table whose rows are passed on to peers. It must be called before
// Run.
func (e *Engines) SetCopy(copied *Copy) { e.tableCopy = copied }

// Since returns the rows with versions above the given one, for a peer. If removals are no longer
// remembered back to that version, it returns all present rows.
func (e *Engines) Since(version int64) []passthrough.Row {
	reply, _ := e.tableCopy.Since(version)
	e.mu.Lock()
	defer e.mu.Unlock()
	rows := reply.Rows
	for id, row := range e.fromPeers {
		switch {
		case row.Version <= reply.Version:
			delete(e.fromPeers, id)
		case row.Version > version:
			rows = append(rows, row)
		}
	}
	return rows
}
