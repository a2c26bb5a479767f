package catalog

import (
	"slices"
	"testing"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/passthrough"
)

// softwareDocuments reads a document as an engine of the software version that it holds.
type softwareDocuments struct{ versionDocuments }

// Engine implements passthrough.Documents.
func (softwareDocuments) Engine(id string, document []byte) (passthrough.EngineEntry, error) {
	return passthrough.EngineEntry{ID: id, Pool: "p", Address: id + ":1", Software: string(document)}, nil
}

// Guards against versions whose engines have left long ago, and against those of changed or removed
// entries.
func TestListedSoftwareFollowsTheEntries(t *testing.T) {
	engines := NewEngines("n", softwareDocuments{}, NewRoutes(versionDocuments{}, zap.NewNop()), zap.NewNop())
	for _, step := range []struct {
		row  passthrough.Row
		want []string
	}{
		{passthrough.Row{Key: "e1", Value: []byte("v1"), Version: 1}, []string{"v1"}},
		{passthrough.Row{Key: "e2", Value: []byte("v2"), Version: 2}, []string{"v1", "v2"}},
		{passthrough.Row{Key: "e3", Value: []byte("v2"), Version: 3}, []string{"v1", "v2"}},
		{passthrough.Row{Key: "e2", Version: 4, Gone: true}, []string{"v1", "v2"}},
		{passthrough.Row{Key: "e1", Value: []byte("v3"), Version: 5}, []string{"v2", "v3"}},
		{passthrough.Row{Key: "e1", Version: 6, Gone: true}, []string{"v2"}},
		{passthrough.Row{Key: "e3", Version: 7, Gone: true}, nil},
	} {
		engines.Change([]passthrough.Row{step.row})
		if listed := engines.ListedSoftware()["p"]; !slices.Equal(listed, step.want) {
			t.Errorf("after %+v: %v, want %v", step.row, listed, step.want)
		}
	}
}
