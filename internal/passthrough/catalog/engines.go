package catalog

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
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

	mu   sync.Mutex // guards the rest
	set  *enginechoice.Set
	rows map[string]passthrough.Row // the newest of each engine, removed ones too
	byID map[string]passthrough.EngineEntry
}

// NewEngines makes an empty list for a node.
func NewEngines(node string, documents passthrough.Documents, routes *Routes, logger *zap.Logger) *Engines {
	return &Engines{
		documents: documents, routes: routes, logger: logger,
		health: func() Health { return Health{} },
		set:    enginechoice.NewSet(node),
		rows:   make(map[string]passthrough.Row),
		byID:   make(map[string]passthrough.EngineEntry),
	}
}

// JudgeBy has the list ask how well the store is followed; called before Run.
func (e *Engines) JudgeBy(health func() Health) { e.health = health }

// Use runs a function on the set under its lock.
func (e *Engines) Use(do func(set *enginechoice.Set, now time.Time)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	do(e.set, time.Now())
}

// Replace implements Sink: engines that the listing lacks are gone, unless
// something newer than the listing is known of them.
func (e *Engines) Replace(rows []passthrough.Row, version int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	listed := make(map[string]bool, len(rows))
	for _, row := range rows {
		listed[row.Key] = true
		e.apply(row)
	}
	for id := range e.byID {
		if !listed[id] && e.rows[id].Version <= version {
			e.remove(id, version)
		}
	}
}

// Change implements Sink.
func (e *Engines) Change(rows []passthrough.Row) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, row := range rows {
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
	e.rows[row.Key] = row
	entry, err := e.documents.Engine(row.Key, row.Value)
	if err != nil {
		events.EngineUnreadable.Log(e.logger, zap.String("engine", row.Key), zap.Error(err))
		return
	}
	e.take(entry, row.Version)
}

func (e *Engines) take(entry passthrough.EngineEntry, version int64) {
	now := time.Now()
	state := enginechoice.Ready
	if entry.State == passthrough.EngineDraining {
		state = enginechoice.Leaving
	}
	known := enginechoice.Entry{ID: entry.ID, Pool: entry.Pool, Address: entry.Address, Zone: entry.Zone, Slots: entry.Slots}
	if table, _ := e.routes.Table(); table != nil {
		known.MemoryTokens = table.Pool(entry.Pool).MemoryTokens
	}
	if entry.ColdFor > 0 {
		known.ColdUntil = now.Add(entry.ColdFor)
	}
	e.byID[entry.ID] = entry
	if e.set.Upsert(known, state, now) {
		events.EngineSeen.Log(e.logger, zap.String("engine", entry.ID), zap.String("address", entry.Address), zap.Stringer("state", state), zap.Int64("store_version", version))
	}
}

func (e *Engines) remove(id string, version int64) {
	if _, known := e.byID[id]; !known {
		return
	}
	delete(e.byID, id)
	e.rows[id] = passthrough.Row{Key: id, Version: version, Gone: true}
	now := time.Now()
	health := e.health()
	sick := !health.LastBad.IsZero() && now.Sub(health.LastBad) < sickBefore
	e.set.Remove(id, sick, now)
	events.EngineGone.Log(e.logger, zap.String("engine", id), zap.Bool("store_was_sick", sick), zap.Int64("store_version", version))
}

// Run expires engines that were not listed again, until ctx ends.
func (e *Engines) Run(ctx context.Context) error {
	for wait.For(ctx, expireEvery) {
		e.expire(time.Now())
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
	for _, id := range e.set.ExpireUnlisted(now.Add(-relistTime), now) {
		events.EngineExpired.Log(e.logger, zap.String("engine", id), zap.Duration("after", relistTime))
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
