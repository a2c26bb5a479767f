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
	rows     map[string]passthrough.Row // the newest of each engine, removed ones too
	listed   map[string]listedEntry     // those with a row, by their ids
	judgedBy *passroute.Table           // that the entries were last judged by
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
		rows:     make(map[string]passthrough.Row),
		listed:   make(map[string]listedEntry),

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
	for _, row := range rows {
		listed[row.Key] = true
		e.apply(row)
	}
	for id := range e.listed {
		if !listed[id] && e.rows[id].Version <= version {
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
	for _, row := range rows {
		if _, found := e.rows[row.Key]; !found && row.Version < e.listedAt {
			continue // from a peer that lags behind the listing
		}
		e.apply(row)
	}
}

func (e *Engines) apply(row passthrough.Row) {
	if row.Version < e.rows[row.Key].Version {
		return
	}
	if row.Gone {
		e.remove(row.Key, row.Version)
		return
	}
	e.judgeAnew()
	e.rows[row.Key] = row
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
	e.rows[id] = passthrough.Row{Key: id, Version: version, Gone: true}
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
	for wait.For(ctx, expireEvery) {
		e.expire(time.Now())
		e.tellRestarts() // of entries that newer routes have named
	}
	return nil
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
	var newest int64
	for _, row := range e.rows {
		newest = max(newest, row.Version)
	}
	return newest
}

// Since gives the rows with versions above one, removed ones too.
func (e *Engines) Since(version int64) []passthrough.Row {
	e.mu.Lock()
	defer e.mu.Unlock()
	var rows []passthrough.Row
	for _, row := range e.rows {
		if row.Version > version {
			rows = append(rows, row)
		}
	}
	return rows
}
