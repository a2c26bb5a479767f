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

// An entry that goes while the store was sick within sickBefore says little:
// leases of live engines run out meanwhile, and they list themselves again
// with their next heartbeat. Such an engine is used until the store was heard
// well for relistTime: longer than a heartbeat, and shorter than a leaving
// engine may get work.
const (
	sickBefore  = 4 * time.Second
	relistTime  = 1500 * time.Millisecond
	expireEvery = 100 * time.Millisecond
	// idleEvery is the pause between two looks while no engine is to expire.
	idleEvery = 400 * time.Millisecond
)

// Engines keeps the engines of all pools, shared by all requests of a node.
type Engines struct {
	documents passthrough.Documents
	routes    *Routes
	health    func() Health
	logger    *zap.Logger
	refusals  *Refusals

	mu       sync.Mutex // guards the rest
	set      *enginechoice.Set
	listed   map[string]listedEntry     // those with a row, by their ids
	gone     map[string]int64           // versions at which the rows of others went, by their ids
	texts    map[string]string          // that many entries have, such as the names of zones
	newest   int64                      // the highest version of a row that was taken
	copied   *Copy                      // of the store's rows, for peers
	told     map[string]passthrough.Row // by peers, which copied does not have yet
	judgedBy *passroute.Table           // that the entries were last judged by
	// many: so many entries are being taken that they are logged as one.
	many bool
	// listedAt is the version of the last listing: what it lacked was gone by then.
	listedAt int64

	onRestart func(former enginechoice.Incarnation)
	restarted []enginechoice.Incarnation // that onRestart has not heard of
}

// NewEngines makes an empty list for a node.
func NewEngines(node string, documents passthrough.Documents, routes *Routes, logger *zap.Logger) *Engines {
	return &Engines{
		documents: documents, routes: routes, logger: logger,
		refusals: NewRefusals(nil, logger),
		health:   func() Health { return Health{} },
		set:      enginechoice.NewSet(node),
		listed:   make(map[string]listedEntry),
		gone:     make(map[string]int64),
		told:     make(map[string]passthrough.Row),
		texts:    make(map[string]string),
		copied:   NewCopy(),

		onRestart: func(enginechoice.Incarnation) {},
	}
}

// JudgeBy has the list ask how well the store is followed; called before Run.
func (e *Engines) JudgeBy(health func() Health) { e.health = health }

// CountBy has refused entries counted; called before Run.
func (e *Engines) CountBy(refusals *Refusals) { e.refusals = refusals }

// Use runs a function on the set under its lock.
func (e *Engines) Use(do func(set *enginechoice.Set, now time.Time)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.judgeAnew()
	do(e.set, time.Now())
}

// Replace implements Sink: engines that the listing lacks are gone, unless
// something newer than the listing is known of them.
func (e *Engines) Replace(rows []passthrough.Row, version int64) {
	defer e.tellRestarts()
	e.mu.Lock()
	defer e.mu.Unlock()
	listed := make(map[string]bool, len(rows))
	e.many = e.listedAt == 0 // the listing is logged as one
	for _, row := range rows {
		listed[row.Key] = true
		e.apply(row)
	}
	e.many = false
	for id := range e.listed {
		if !listed[id] && e.listed[id].version <= version {
			e.remove(id, version)
		}
	}
	e.listedAt = max(e.listedAt, version)
}

// Change implements Sink.
func (e *Engines) Change(rows []passthrough.Row) {
	defer e.tellRestarts()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.many = len(rows) > mostSeenLines
	defer e.tellMany(len(rows))
	for _, row := range rows {
		if !e.outdated(row) {
			e.apply(row)
		}
	}
}

// Learn takes rows that a peer has told, and tells them to others until the store does.
func (e *Engines) Learn(rows []passthrough.Row) {
	defer e.tellRestarts()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, row := range rows {
		if e.outdated(row) {
			continue
		}
		if version, _ := e.version(row.Key); row.Version > version {
			e.told[row.Key] = row
		}
		e.apply(row)
	}
}

// outdated says whether a row is of before the last listing, which lacked it: it comes from a peer
// that lags behind.
func (e *Engines) outdated(row passthrough.Row) bool {
	_, known := e.version(row.Key)
	return !known && row.Version < e.listedAt
}

// version gives the newest version that is known of a row, removed ones too.
func (e *Engines) version(id string) (version int64, known bool) {
	if entry, listed := e.listed[id]; listed {
		return entry.version, true
	}
	version, known = e.gone[id]
	return version, known
}

func (e *Engines) apply(row passthrough.Row) {
	version, _ := e.version(row.Key)
	_, listed := e.listed[row.Key]
	if row.Version < version || row.Version == version && listed && !row.Gone {
		return // older, or the same again: a listing of 10,000 engines tells a handful of news
	}
	e.newest = max(e.newest, row.Version)
	if row.Gone {
		e.remove(row.Key, row.Version)
		return
	}
	e.judgeAnew()
	delete(e.gone, row.Key)
	entry, err := e.documents.Engine(row.Key, row.Value)
	e.judge(row.Key, listedEntry{entry: entry, unread: err, version: row.Version})
}

func (e *Engines) take(entry passthrough.EngineEntry, version int64) {
	now := time.Now()
	state := enginechoice.Ready
	if entry.State == passthrough.EngineDraining {
		state = enginechoice.Leaving
	}
	known := enginechoice.Entry{ID: entry.ID, Pool: entry.Pool, Address: entry.Address, Zone: entry.Zone, Slots: entry.Slots, Born: entry.BornMs}
	if table, _ := e.routes.Table(); table != nil {
		known.MemoryTokens = table.Pool(entry.Pool).MemoryTokens
	}
	if entry.ColdFor > 0 {
		known.ColdUntil = now.Add(entry.ColdFor)
	}
	former, _ := e.set.Newest(entry.ID)
	if entry.BornMs == 0 { // it says nothing of a start: it speaks of the newest
		known.Born = former.Born
	}
	e.noteNews(e.set.Upsert(known, state, now), known, state, former, version)
}

func (e *Engines) remove(id string, version int64) {
	e.gone[id] = version
	e.newest = max(e.newest, version)
	if _, known := e.listed[id]; !known {
		return
	}
	delete(e.listed, id)
	now := time.Now()
	health := e.health()
	sick := !health.LastBad.IsZero() && now.Sub(health.LastBad) < sickBefore
	engine, _ := e.set.Newest(id)
	e.set.Remove(engine, sick, now)
	events.EngineGone.Log(e.logger, zap.Stringer("engine", engine), zap.Bool("store_was_sick", sick), zap.Int64("store_version", version))
}

// Run expires engines that were not listed again, until ctx ends.
func (e *Engines) Run(ctx context.Context) error {
	for pause := expireEvery; wait.For(ctx, pause); {
		e.expire(time.Now())
		e.tellRestarts() // of entries that newer routes have named
		pause = idleEvery
		if e.anyUnlisted() {
			pause = expireEvery
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
	if now.Sub(health.LastBad) < relistTime || now.Sub(health.AsOf) > relistTime {
		return // the list still says little
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, engine := range e.set.ExpireUnlisted(now.Add(-relistTime), now) {
		events.EngineExpired.Log(e.logger, zap.Stringer("engine", engine), zap.Duration("after", relistTime))
	}
}

// Newest gives the newest version of a row that is known.
func (e *Engines) Newest() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest
}

// CopyBy has peers told what a copy of the table has; called before Run.
func (e *Engines) CopyBy(copied *Copy) { e.copied = copied }

// Since gives the rows with versions above one, for a peer; where removed ones are not remembered
// so long, those that there are.
func (e *Engines) Since(version int64) []passthrough.Row {
	told, _ := e.copied.Since(version)
	e.mu.Lock()
	defer e.mu.Unlock()
	rows := told.Rows
	for id, row := range e.told {
		switch {
		case row.Version <= told.Version:
			delete(e.told, id)
		case row.Version > version:
			rows = append(rows, row)
		}
	}
	return rows
}
