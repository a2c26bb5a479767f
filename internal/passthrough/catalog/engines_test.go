package catalog

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/passthrough"
)

// anyEngine reads every document as a ready engine.
type anyEngine struct{ versions }

// Engine implements passthrough.Documents.
func (anyEngine) Engine(id string, _ []byte) (passthrough.EngineEntry, error) {
	return passthrough.EngineEntry{ID: id, Pool: "p", Address: id + ":1"}, nil
}

// TestPeersOldRowBringsNoEngineBack: a peer that lags behind the store tells what it has with
// versions above the newest that the asker has seen. An engine that came and went between two
// answers of the feed was not remembered as gone, nor was what a listing lacks: the peer's row
// listed it again, and nothing took it off, since the feed had told of its end already.
// Requests went to an address where nothing listens, or where another engine does by now.
func TestPeersOldRowBringsNoEngineBack(t *testing.T) {
	older := passthrough.Row{Key: "e1", Version: 90}
	for _, test := range []struct {
		name   string
		before func(*Engines)
		row    passthrough.Row
		serves bool
	}{
		{"its end was told, and it was not known", func(e *Engines) { e.Change([]passthrough.Row{{Key: "e1", Version: 95, Gone: true}}) }, older, false},
		{"a listing of later lacks it", func(e *Engines) { e.Replace(nil, 100) }, older, false},
		{"a listing of before lacks it", func(e *Engines) { e.Replace(nil, 80) }, older, true},
		{"it came again since its end", func(e *Engines) { e.Change([]passthrough.Row{{Key: "e1", Version: 85, Gone: true}}) }, older, true},
		{"a listing of parts has it, newer than the oldest part", func(e *Engines) { e.Replace([]passthrough.Row{{Key: "e1", Version: 120}}, 100) }, older, true},
	} {
		engines := NewEngines("n", anyEngine{}, NewRoutes(versions{}, zap.NewNop()), zap.NewNop())
		test.before(engines)
		engines.Change([]passthrough.Row{test.row})
		serving := 0
		engines.Use(func(set *enginechoice.Set, _ time.Time) { serving = set.Serving("p") })
		if (serving == 1) != test.serves {
			t.Errorf("%s: %d engines serve", test.name, serving)
		}
	}
}

// TestEndOfAnUnknownEngineIsToldOn: a peer that asks must hear of it too.
func TestEndOfAnUnknownEngineIsToldOn(t *testing.T) {
	engines := NewEngines("n", anyEngine{}, NewRoutes(versions{}, zap.NewNop()), zap.NewNop())
	engines.Learn([]passthrough.Row{{Key: "e1", Version: 95, Gone: true}})
	if rows := engines.Since(90); len(rows) != 1 || !rows[0].Gone || engines.Newest() != 95 {
		t.Errorf("told %+v, newest %d", rows, engines.Newest())
	}
}
