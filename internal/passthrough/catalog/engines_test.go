package catalog

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/passthrough"
)

// anyEngineDocuments reads every document as a ready engine.
type anyEngineDocuments struct{ versionDocuments }

// Engine implements passthrough.Documents.
func (anyEngineDocuments) Engine(id string, _ []byte) (passthrough.EngineEntry, error) {
	return passthrough.EngineEntry{ID: id, Pool: "p", Address: id + ":1"}, nil
}

// Guards against a removed engine that a lagging peer restores. A peer sends rows with versions
// above the newest that the asker has seen. If an engine was added and removed between two answers
// of the feed, or was missing from a listing, its removal was not remembered. The peer's row then
// listed it again and nothing removed it, since the feed had already delivered the removal.
// Requests went to an address where nothing listens or where another engine runs by now.
func TestStalePeerRowDoesNotRestoreRemovedEngine(t *testing.T) {
	older := passthrough.Row{Key: "e1", Version: 90}
	for _, test := range []struct {
		name   string
		before func(*Engines)
		row    passthrough.Row
		serves bool
	}{
		{"removal of an unknown engine delivered", func(e *Engines) { e.Change([]passthrough.Row{{Key: "e1", Version: 95, Gone: true}}) }, older, false},
		{"later listing lacks it", func(e *Engines) { e.Replace(nil, 100) }, older, false},
		{"earlier listing lacks it", func(e *Engines) { e.Replace(nil, 80) }, older, true},
		{"added again after its removal", func(e *Engines) { e.Change([]passthrough.Row{{Key: "e1", Version: 85, Gone: true}}) }, older, true},
		{"listing of parts has it, newer than the oldest part", func(e *Engines) { e.Replace([]passthrough.Row{{Key: "e1", Version: 120}}, 100) }, older, true},
	} {
		engines := NewEngines("n", anyEngineDocuments{}, NewRoutes(versionDocuments{}, zap.NewNop()), zap.NewNop())
		test.before(engines)
		engines.Change([]passthrough.Row{test.row})
		serving := 0
		engines.Use(func(set *enginechoice.Set, _ time.Time) { serving = set.Serving("p") })
		if (serving == 1) != test.serves {
			t.Errorf("%s: %d engines serve", test.name, serving)
		}
	}
}

// A removal is passed on to asking peers even if this node never knew the engine.
func TestRemovalOfUnknownEngineIsPassedOn(t *testing.T) {
	engines := NewEngines("n", anyEngineDocuments{}, NewRoutes(versionDocuments{}, zap.NewNop()), zap.NewNop())
	engines.Learn([]passthrough.Row{{Key: "e1", Version: 95, Gone: true}})
	if rows := engines.Since(90); len(rows) != 1 || !rows[0].Gone || engines.Newest() != 95 {
		t.Errorf("rows for peers: %+v, newest version %d", rows, engines.Newest())
	}
}
