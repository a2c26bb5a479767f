package catalog

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/passroute"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/passthrough"
)

// listedEntry is the newest entry under an engine's id, whether or not it names a usable engine.
type listedEntry struct {
	entry   passthrough.EngineEntry
	readErr error // why the document could not be read; nil if it could
	refusal error // why the entry is not used; nil if it is
	version int64 // of the row
}

// evaluate uses an entry or withholds its engine. Each change of an unused entry is logged once.
// The caller holds mu.
func (e *Engines) evaluate(id string, next listedEntry) {
	next.entry.Pool, next.entry.Zone, next.entry.Software = e.intern(next.entry.Pool), e.intern(next.entry.Zone), e.intern(next.entry.Software)
	next.refusal = e.refusalOf(next)
	former, known := e.listed[id]
	e.listed[id], e.listedSoftware = next, nil
	if next.refusal == nil {
		e.applyEntry(next.entry, next.version)
		return
	}
	newest, _ := e.set.Newest(id)
	e.set.Withhold(newest, time.Now())
	logged := known && former.refusal != nil && former.version == next.version &&
		passthrough.DocumentReasonOf(former.refusal) == passthrough.DocumentReasonOf(next.refusal)
	if !logged {
		e.refusals.note(engineDocument, events.EngineWithheld, next.refusal, zap.Stringer("engine", newest), zap.Int64("store_version", next.version))
	}
}

// maxInterned bounds the number of strings that intern keeps.
const maxInterned = 1024

// intern returns a shared copy of a string that many entries contain. The caller holds mu.
func (e *Engines) intern(text string) string {
	known, found := e.interned[text]
	if found {
		return known
	}
	if len(e.interned) < maxInterned {
		e.interned[text] = text
	}
	return text
}

// refusalOf returns why an entry is not used, or nil if it is. Until the first routes are known,
// every service name is accepted.
func (e *Engines) refusalOf(listed listedEntry) error {
	if listed.readErr != nil {
		return listed.readErr
	}
	if e.checkedAgainst == nil || e.checkedAgainst.HasPool(listed.entry.Pool) {
		return nil
	}
	return &passthrough.DocumentError{
		Reason: passthrough.DocumentUnknownService, Field: "service",
		Detail: fmt.Sprintf("%q is not named by version %d of the configuration", listed.entry.Pool, e.checkedAgainst.Version()),
	}
}

// reevaluate checks all entries against the routes in force if these have changed. The caller
// holds mu. It runs before each use of the engines, so a request that is routed by a table finds
// the engines of the pools that this table names.
func (e *Engines) reevaluate() {
	table := e.tableInForce()
	if table == e.checkedAgainst {
		return
	}
	e.checkedAgainst = table
	for id, listed := range e.listed {
		used := listed.refusal == nil
		switch {
		case listed.readErr == nil && used != (e.refusalOf(listed) == nil):
			e.evaluate(id, listed)
		case used:
			e.updateMemory(id, listed.entry.Pool)
		}
	}
}

// updateMemory sets the memory of an engine that is in use to that of the routes in force. An entry may
// arrive before the routes that tell it, and later routes may change it. The caller holds mu.
func (e *Engines) updateMemory(id, pool string) {
	engine, _ := e.set.Newest(id)
	known, found := e.set.Find(engine)
	memory := e.memoryOf(pool)
	if !found || known.Entry.MemoryTokens == memory {
		return
	}
	known.Entry.MemoryTokens = memory
	e.set.Upsert(known.Entry, known.State, time.Now())
}

// memoryOf returns the memory of a pool's engines in tokens; 0 if it is not known. The caller holds mu.
func (e *Engines) memoryOf(pool string) int {
	if e.checkedAgainst == nil {
		return 0
	}
	return e.checkedAgainst.Pool(pool).MemoryTokens
}

func (e *Engines) tableInForce() *passroute.Table {
	if e.routes == nil {
		return nil
	}
	table, _ := e.routes.Table()
	return table
}
