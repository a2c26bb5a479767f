package catalog

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
)

// An entry that goes while the store was sick within sickBefore says little:
// leases of live engines run out meanwhile, and they list themselves again
// with their next heartbeat. Such an engine is used for goneGrace longer.
const (
	sickBefore = 4 * time.Second
	goneGrace  = 4 * time.Second
)

// Engines keeps the engines of all pools, shared by all requests of a node.
type Engines struct {
	documents passthrough.Documents
	routes    *Routes
	health    func() Health
	logger    *zap.Logger

	mu       sync.Mutex // guards the rest
	set      *enginechoice.Set
	versions map[string]int64 // of rows, the removed ones too
	byID     map[string]passthrough.EngineEntry
}

// NewEngines makes an empty list for a node in the zone.
func NewEngines(zone string, documents passthrough.Documents, routes *Routes, logger *zap.Logger) *Engines {
	return &Engines{
		documents: documents, routes: routes, logger: logger,
		health:   func() Health { return Health{} },
		set:      enginechoice.NewSet(zone),
		versions: make(map[string]int64),
		byID:     make(map[string]passthrough.EngineEntry),
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
		if !listed[id] && e.versions[id] <= version {
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
	if row.Version < e.versions[row.Key] {
		return
	}
	if row.Gone {
		e.remove(row.Key, row.Version)
		return
	}
	e.versions[row.Key] = row.Version
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
	e.versions[id] = version
	grace := time.Duration(0)
	now := time.Now()
	health := e.health()
	sick := !health.LastBad.IsZero() && now.Sub(health.LastBad) < sickBefore
	if sick {
		grace = goneGrace
	}
	e.set.Remove(id, grace, now)
	events.EngineGone.Log(e.logger, zap.String("engine", id), zap.Bool("store_was_sick", sick), zap.Duration("grace", grace), zap.Int64("store_version", version))
}
