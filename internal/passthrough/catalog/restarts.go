package catalog

import (
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/events"
)

// OnRestart sets a function that is called with each incarnation that a later one has replaced. No
// lock is held during the call. OnRestart must be called before Run.
func (e *Engines) OnRestart(notify func(former enginechoice.Incarnation)) { e.onRestart = notify }

// recordNews logs what an entry changed, and records a restart. former is the newest incarnation
// before the entry. The caller holds mu.
func (e *Engines) recordNews(news enginechoice.UpsertResult, entry enginechoice.Entry, state enginechoice.State, former enginechoice.Incarnation, version int64) {
	fields := []zap.Field{zap.Stringer("engine", entry.Incarnation()), zap.String("software", entry.Software), zap.String("address", entry.Address), zap.Stringer("state", state), zap.Int64("store_version", version)}
	switch news {
	case enginechoice.Unchanged:
	case enginechoice.Changed:
		if e.summarize {
			return
		}
		events.EngineSeen.Log(e.logger, fields...)
	case enginechoice.Restarted:
		e.pendingRestarts = append(e.pendingRestarts, former)
		events.EngineRestarted.Log(e.logger, append(fields, zap.Stringer("former", former))...)
	case enginechoice.Outdated:
		events.EngineEntryOutdated.Log(e.logger, append(fields, zap.Stringer("newest", former))...)
	}
}

// maxEntryLines is the number of changed entries in one answer up to which each is logged. Without
// this limit each node would log 10,000 lines when a fleet of 10,000 engines starts together with
// its nodes.
const maxEntryLines = 16

// logSummary logs one line for entries that were not logged separately. The caller holds mu.
func (e *Engines) logSummary(rows int) {
	if e.summarize {
		e.summarize = false
		events.EnginesSeen.Log(e.logger, zap.Int("rows", rows), zap.Int64("store_version", e.newestVersion), zap.Int("engines", len(e.listed)))
	}
}

// notifyRestarts calls onRestart for the restarts recorded since its last call.
func (e *Engines) notifyRestarts() {
	e.mu.Lock()
	restarted := e.pendingRestarts
	e.pendingRestarts = nil
	e.mu.Unlock()
	for _, former := range restarted {
		e.onRestart(former)
	}
}
