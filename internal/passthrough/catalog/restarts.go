package catalog

import (
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/events"
)

// OnRestart has a function hear of each incarnation that another has taken the place of; no
// lock is held meanwhile. Called before Run.
func (e *Engines) OnRestart(hear func(former enginechoice.Incarnation)) { e.onRestart = hear }

// noteNews logs what an entry meant; former is the newest incarnation before it. The caller
// holds mu.
func (e *Engines) noteNews(news enginechoice.News, entry enginechoice.Entry, state enginechoice.State, former enginechoice.Incarnation, version int64) {
	fields := []zap.Field{zap.Stringer("engine", entry.Incarnation()), zap.String("address", entry.Address), zap.Stringer("state", state), zap.Int64("store_version", version)}
	switch news {
	case enginechoice.Unchanged:
	case enginechoice.Changed:
		if e.many {
			return
		}
		events.EngineSeen.Log(e.logger, fields...)
	case enginechoice.Restarted:
		e.restarted = append(e.restarted, former)
		events.EngineRestarted.Log(e.logger, append(fields, zap.Stringer("former", former))...)
	case enginechoice.Outdated:
		events.EngineEntryOutdated.Log(e.logger, append(fields, zap.Stringer("newest", former))...)
	}
}

// mostSeenLines is how many changed entries of one answer are logged each. A fleet of 10,000 engines
// that starts with its nodes would have each of these log 10,000 lines.
const mostSeenLines = 16

// tellMany logs entries that were not logged each; the caller holds mu.
func (e *Engines) tellMany(rows int) {
	if e.many {
		e.many = false
		events.EnginesSeen.Log(e.logger, zap.Int("rows", rows), zap.Int64("store_version", e.newest), zap.Int("engines", len(e.listed)))
	}
}

// tellRestarts tells of the restarts noted since the last call.
func (e *Engines) tellRestarts() {
	e.mu.Lock()
	restarted := e.restarted
	e.restarted = nil
	e.mu.Unlock()
	for _, former := range restarted {
		e.onRestart(former)
	}
}
