package catalog

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/passroute"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
)

// listedEntry is the newest entry under an engine's id, whether it names an engine to
// use or not.
type listedEntry struct {
	entry   passthrough.EngineEntry
	unread  error // why the document gave no entry; nil: it did
	refused error // why the entry is not used; nil: it is
	version int64 // of the row
}

// judge uses an entry, or withholds the engine; the caller holds mu. Each change of an
// entry that is not used is told once.
func (e *Engines) judge(id string, next listedEntry) {
	next.entry.Pool, next.entry.Zone = e.common(next.entry.Pool), e.common(next.entry.Zone)
	next.refused = e.refusalOf(next)
	former, known := e.listed[id]
	e.listed[id] = next
	if next.refused == nil {
		e.take(next.entry, next.version)
		return
	}
	newest, _ := e.set.Newest(id)
	e.set.Withhold(newest, time.Now())
	told := known && former.refused != nil && former.version == next.version &&
		passthrough.DocumentReasonOf(former.refused) == passthrough.DocumentReasonOf(next.refused)
	if !told {
		e.refusals.note(engineDocument, events.EngineWithheld, next.refused, zap.Stringer("engine", newest), zap.Int64("store_version", next.version))
	}
}

// mostCommon bounds the texts that common keeps.
const mostCommon = 1024

// common gives a text as many entries have it, kept once for all of them; the caller holds mu.
func (e *Engines) common(text string) string {
	known, found := e.texts[text]
	if found {
		return known
	}
	if len(e.texts) < mostCommon {
		e.texts[text] = text
	}
	return text
}

// refusalOf gives why an entry is not used; nil: it is. Before the first routes every
// service may be named yet.
func (e *Engines) refusalOf(listed listedEntry) error {
	if listed.unread != nil {
		return listed.unread
	}
	if e.judgedBy == nil || e.judgedBy.HasPool(listed.entry.Pool) {
		return nil
	}
	return &passthrough.DocumentError{
		Reason: passthrough.DocumentUnknownService, Field: "service",
		Detail: fmt.Sprintf("%q is not named by version %d of the configuration", listed.entry.Pool, e.judgedBy.Version()),
	}
}

// judgeAnew judges the entries by the routes in force, where these have changed; the
// caller holds mu. Since it comes before each use of the engines, a request that is
// routed by a table finds the engines that this table names.
func (e *Engines) judgeAnew() {
	table := e.tableInForce()
	if table == e.judgedBy {
		return
	}
	e.judgedBy = table
	for id, listed := range e.listed {
		used := listed.refused == nil
		if listed.unread == nil && used != (e.refusalOf(listed) == nil) {
			e.judge(id, listed)
		}
	}
}

func (e *Engines) tableInForce() *passroute.Table {
	if e.routes == nil {
		return nil
	}
	table, _ := e.routes.Table()
	return table
}
