package catalog

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/enginechoice"
	"ringstream.example/ringstream/internal/passthrough"
)

// jsonDocuments reads entries from JSON.
type jsonDocuments struct{ passthrough.Documents }

func (jsonDocuments) Engine(_ string, document []byte) (entry passthrough.EngineEntry, err error) {
	err = json.Unmarshal(document, &entry)
	return entry, err
}

func engineRow(t *testing.T, version int64, entry passthrough.EngineEntry) passthrough.Row {
	t.Helper()
	document, err := json.Marshal(entry)
	if err != nil {
		t.Fatal(err)
	}
	return passthrough.Row{Key: entry.ID, Version: version, Value: document}
}

// An engine restarts, and rows about it arrive through the feed, in listings and from peers, in
// order and out of order.
func TestIncarnationsByRowsOfTheStore(t *testing.T) {
	const first, second, third = 1000, 2000, 3000
	of := func(born int64) passthrough.EngineEntry {
		return passthrough.EngineEntry{ID: "e0", Pool: "p", Address: "a", Slots: 4, BornMs: born}
	}
	leaving := func(entry passthrough.EngineEntry) passthrough.EngineEntry {
		entry.State = passthrough.EngineDraining
		return entry
	}
	for _, test := range []struct {
		name     string
		rows     []passthrough.Row
		want     enginechoice.Incarnation
		state    enginechoice.State
		restarts []enginechoice.Incarnation
	}{
		{
			name:     "later start, removal of the row not seen",
			rows:     []passthrough.Row{engineRow(t, 1, of(first)), engineRow(t, 2, of(second))},
			want:     enginechoice.Incarnation{ID: "e0", Born: second},
			restarts: []enginechoice.Incarnation{{ID: "e0", Born: first}},
		},
		{
			name: "same start after removal of the row",
			rows: []passthrough.Row{engineRow(t, 1, of(first)), {Key: "e0", Version: 2, Gone: true}, engineRow(t, 3, of(first))},
			want: enginechoice.Incarnation{ID: "e0", Born: first},
		},
		{
			name:     "earlier start under a later version",
			rows:     []passthrough.Row{engineRow(t, 1, of(first)), engineRow(t, 2, of(second)), engineRow(t, 3, leaving(of(first)))},
			want:     enginechoice.Incarnation{ID: "e0", Born: second},
			restarts: []enginechoice.Incarnation{{ID: "e0", Born: first}},
		},
		{
			name: "later start under an earlier version, from a lagging peer",
			rows: []passthrough.Row{engineRow(t, 5, of(first)), engineRow(t, 4, of(second))},
			want: enginechoice.Incarnation{ID: "e0", Born: first},
		},
		{
			name:     "removal of a row that a former incarnation wrote late",
			rows:     []passthrough.Row{engineRow(t, 1, of(first)), engineRow(t, 2, of(second)), engineRow(t, 3, of(first)), {Key: "e0", Version: 4, Gone: true}},
			want:     enginechoice.Incarnation{ID: "e0", Born: second},
			state:    enginechoice.Leaving,
			restarts: []enginechoice.Incarnation{{ID: "e0", Born: first}},
		},
		{
			name:  "no start time: refers to the newest",
			rows:  []passthrough.Row{engineRow(t, 1, of(first)), engineRow(t, 2, leaving(of(0)))},
			want:  enginechoice.Incarnation{ID: "e0", Born: first},
			state: enginechoice.Leaving,
		},
		{
			name:     "three starts in one change",
			rows:     []passthrough.Row{engineRow(t, 1, of(first)), engineRow(t, 2, of(second)), engineRow(t, 3, of(third))},
			want:     enginechoice.Incarnation{ID: "e0", Born: third},
			restarts: []enginechoice.Incarnation{{ID: "e0", Born: first}, {ID: "e0", Born: second}},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			engines := NewEngines("n1", jsonDocuments{}, &Routes{}, zap.NewNop())
			var restarts []enginechoice.Incarnation
			engines.OnRestart(func(former enginechoice.Incarnation) {
				engines.Use(func(*enginechoice.Set, time.Time) {}) // would deadlock if a lock were held
				restarts = append(restarts, former)
			})
			engines.Change(test.rows)
			engines.Use(func(set *enginechoice.Set, _ time.Time) {
				if newest, _ := set.Newest("e0"); newest != test.want {
					t.Errorf("newest incarnation is %v", newest)
				}
				if listed, found := set.Find(test.want); !found || listed.State != test.state {
					t.Errorf("state of %v is %v", test.want, listed.State)
				}
			})
			if !slices.Equal(restarts, test.restarts) {
				t.Errorf("reported restarts: %v", restarts)
			}
		})
	}
}
